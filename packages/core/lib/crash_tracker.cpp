// Evidence is a set of pairs of key and endpoint, so that it can be merged in
// any order. The times of events are estimated from their age on arrival.
#include "sycamorelock/core/crash_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorelock::core
{

namespace
{

using std::chrono::milliseconds;

milliseconds age_of(time_point now, time_point at)
{
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(now - at));
}

/// Mixes the bits of a number (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

} // namespace

std::string_view to_string(crash_event::change what)
{
    using enum crash_event::change;
    switch (what)
    {
    case counted:
        return "counted";
    case quarantined:
        return "quarantined";
    case probed:
        return "probed";
    case released:
        return "released";
    case withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

void crash_tracker::set_members(std::vector<instance_id> members)
{
    members_ = std::move(members);
}

void crash_tracker::suspect(time_point now, endpoint_id endpoint, crash_key key)
{
    std::vector<suspicion>& known = suspicions_[endpoint];
    std::erase_if(
        known, [&](const suspicion& each)
        { return each.key == key || now - each.at > suspicion_lifetime; });
    if (known.size() < max_keys)
        known.push_back({key, now});
}

void crash_tracker::note_terminated(time_point now, endpoint_id endpoint)
{
    const auto found = suspicions_.find(endpoint);
    if (found == suspicions_.end())
        return;
    for (const suspicion& each : found->second)
    {
        if (now - each.at > suspicion_lifetime)
            continue;
        if (count_crash(now, each.key, {endpoint, each.at}, false))
            unreported_.push_back(
                {crash_evidence::crashed, each.key, endpoint, each.at});
    }
    suspicions_.erase(found);
}

void crash_tracker::note_response(time_point now, endpoint_id endpoint,
                                  time_point sent)
{
    if (const auto found = suspicions_.find(endpoint);
        found != suspicions_.end())
    {
        std::erase_if(found->second,
                      [sent](const suspicion& each) { return each.at < sent; });
        if (found->second.empty())
            suspicions_.erase(found);
    }
    if (keys_.empty())
        return;
    if (apply_survival(now, endpoint, sent, false))
        unreported_.push_back(
            {crash_evidence::survived, crash_key(), endpoint, sent});
}

void crash_tracker::note_success(time_point now, crash_key key)
{
    if (apply_success(now, key, now, false))
        unreported_.push_back(
            {crash_evidence::succeeded, key, endpoint_id(), now});
}

bool crash_tracker::count_crash(time_point now, crash_key key,
                                const crash& counted, bool is_remote)
{
    const auto survived = survivors_.find(counted.endpoint);
    if (survived != survivors_.end() && counted.at < survived->second)
        return false;
    record& known = keys_[key];
    known.used_at = std::max(known.used_at, now);
    const bool is_known = std::any_of(
        known.crashes.begin(), known.crashes.end(),
        [&](const crash& each) { return each.endpoint == counted.endpoint; });
    if (is_known || counted.at <= known.succeeded_at)
        return false;
    const bool was_quarantined = has_reached_limit(known);
    if (!was_quarantined)
        std::erase_if(known.crashes, [&](const crash& each)
                      { return counted.at - each.at > crash_lifetime; });
    if (known.crashes.size() >= max_crashes_per_key)
        known.crashes.pop_back();
    const auto place = std::upper_bound(
        known.crashes.begin(), known.crashes.end(), counted.at,
        [](time_point at, const crash& each) { return at < each.at; });
    known.crashes.insert(place, counted);
    update_limited(key, known);
    const duration age = now - counted.at;
    emit({crash_event::change::counted, key, counted.endpoint,
          known.crashes.size(), age, is_remote});
    if (!was_quarantined && has_reached_limit(known))
        emit({crash_event::change::quarantined, key, counted.endpoint,
              known.crashes.size(), age, is_remote});
    drop_excess_keys();
    return true;
}

void crash_tracker::remove_crashes(
    time_point now, crash_key key, record& from,
    const std::function<bool(const crash&)>& is_void, bool is_remote)
{
    const bool was_quarantined = has_reached_limit(from);
    std::erase_if(from.crashes, is_void);
    update_limited(key, from);
    from.used_at = std::max(from.used_at, now);
    if (was_quarantined && !has_reached_limit(from))
        emit({crash_event::change::released, key, endpoint_id(),
              from.crashes.size(), duration(0), is_remote});
}

bool crash_tracker::apply_success(time_point now, crash_key key, time_point at,
                                  bool is_remote)
{
    const auto found = keys_.find(key);
    if (found == keys_.end())
        return false;
    record& known = found->second;
    if (at <= known.succeeded_at)
        return false;
    known.succeeded_at = at;
    const std::size_t before = known.crashes.size();
    remove_crashes(
        now, key, known, [at](const crash& each) { return each.at <= at; },
        is_remote);
    return known.crashes.size() != before;
}

bool crash_tracker::apply_survival(time_point now, endpoint_id endpoint,
                                   time_point at, bool is_remote)
{
    bool changed = false;
    for (auto& [key, known] : keys_)
    {
        const std::size_t before = known.crashes.size();
        remove_crashes(
            now, key, known,
            [&](const crash& each)
            { return each.endpoint == endpoint && each.at < at; },
            is_remote);
        if (known.crashes.size() == before)
            continue;
        changed = true;
        emit({crash_event::change::withdrawn, key, endpoint,
              known.crashes.size(), now - at, is_remote});
    }
    // A crash that was reported late must not count after all.
    if (changed || is_remote)
        survivors_[endpoint] = std::max(survivors_[endpoint], at);
    return changed;
}

bool crash_tracker::is_stronger(const record& one, const record& other)
{
    if (one.crashes.size() != other.crashes.size())
        return one.crashes.size() > other.crashes.size();
    return one.succeeded_at < other.succeeded_at;
}

bool crash_tracker::is_explained(crash_key key, const record& known) const
{
    const auto explains = [&](crash_key each, endpoint_id endpoint)
    {
        if (each == key)
            return false;
        const record& candidate = keys_.at(each);
        return is_stronger(candidate, known) &&
               std::any_of(candidate.crashes.begin(), candidate.crashes.end(),
                           [endpoint](const crash& counted)
                           { return counted.endpoint == endpoint; });
    };
    return std::all_of(known.crashes.begin(), known.crashes.end(),
                       [&](const crash& counted)
                       {
                           return std::any_of(
                               limited_.begin(), limited_.end(),
                               [&](crash_key each)
                               { return explains(each, counted.endpoint); });
                       });
}

bool crash_tracker::is_ambiguous(crash_key key, const record& known) const
{
    const auto has_same_crashes = [&](const record& candidate)
    {
        return candidate.crashes.size() == known.crashes.size() &&
               std::equal(known.crashes.begin(), known.crashes.end(),
                          candidate.crashes.begin(),
                          [](const crash& one, const crash& other)
                          { return one.endpoint == other.endpoint; });
    };
    return std::any_of(limited_.begin(), limited_.end(),
                       [&](crash_key each) {
                           return each != key &&
                                  has_same_crashes(keys_.at(each));
                       });
}

const crash_tracker::record*
crash_tracker::find_quarantined(crash_key key) const
{
    if (!limited_.contains(key))
        return nullptr;
    const record& known = keys_.at(key);
    return is_explained(key, known) ? nullptr : &known;
}

bool crash_tracker::is_quarantined(crash_key key) const
{
    return find_quarantined(key) != nullptr;
}

bool crash_tracker::is_any_quarantined(std::span<const crash_key> keys) const
{
    return std::any_of(keys.begin(), keys.end(),
                       [this](crash_key each) { return is_quarantined(each); });
}

void crash_tracker::update_limited(crash_key key, const record& known)
{
    if (has_reached_limit(known))
        limited_.insert(key);
    else
        limited_.erase(key);
}

time_point crash_tracker::probe_due(crash_key key, const record& known) const
{
    // The time from the first crash to the last one is that of all probes so
    // far, so that the delay at least doubles without a counter.
    const duration span = known.crashes.back().at - known.crashes.front().at;
    const duration min_delay =
        is_ambiguous(key, known) ? min_ambiguous_probe_delay : min_probe_delay;
    return known.crashes.back().at +
           std::clamp(2 * span, min_delay, max_probe_delay);
}

bool crash_tracker::is_chosen(crash_key key, std::int64_t period) const
{
    const auto rank = [&](instance_id each)
    {
        return mix(key.value() ^
                   mix(each.value() ^ mix(static_cast<std::uint64_t>(period))));
    };
    const std::uint64_t own = rank(self_);
    return std::none_of(members_.begin(), members_.end(),
                        [&](instance_id each)
                        { return each != self_ && rank(each) > own; });
}

bool crash_tracker::may_probe(time_point now, crash_key key,
                              const record& known) const
{
    const duration since_due = now - probe_due(key, known);
    if (since_due < duration(0))
        return false;
    const std::int64_t period = since_due / probe_period;
    const duration within = since_due % probe_period;
    const bool is_inside =
        within >= probe_margin && within < probe_period - probe_margin;
    return is_inside && known.probed_period != period && is_chosen(key, period);
}

crash_tracker::admission crash_tracker::admit(time_point now,
                                              std::span<const crash_key> keys)
{
    if (limited_.empty())
        return admission::admitted;
    std::vector<crash_key> quarantined;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(quarantined),
                 [this](crash_key each) { return is_quarantined(each); });
    if (quarantined.empty())
        return admission::admitted;
    for (const crash_key each : quarantined)
        keys_.at(each).used_at = now;
    // A probe with several quarantined keys could not tell which one crashes
    // its endpoint.
    const crash_key key = quarantined.front();
    record& known = keys_.at(key);
    if (quarantined.size() > 1 || !may_probe(now, key, known))
        return admission::refused;
    known.probed_period = (now - probe_due(key, known)) / probe_period;
    emit({crash_event::change::probed, key, endpoint_id(), known.crashes.size(),
          now - known.crashes.back().at, false});
    return admission::probe;
}

duration crash_tracker::time_to_probe(time_point now,
                                      std::span<const crash_key> keys) const
{
    duration longest(0);
    for (const crash_key key : keys)
    {
        const record* known = find_quarantined(key);
        if (known == nullptr)
            continue;
        const duration left = probe_due(key, *known) - now;
        longest = std::max(longest, left > duration(0) ? left : probe_period);
    }
    return longest;
}

void crash_tracker::add_remote(time_point now,
                               std::span<const crash_note> notes)
{
    for (const crash_note& note : notes)
    {
        const time_point at = now - note.age;
        switch (note.evidence)
        {
        case crash_evidence::crashed:
            count_crash(now, note.key, {note.endpoint, at}, true);
            break;
        case crash_evidence::succeeded:
            apply_success(now, note.key, at, true);
            break;
        case crash_evidence::survived:
            apply_survival(now, note.endpoint, at, true);
            break;
        }
    }
}

std::vector<crash_note> crash_tracker::take_unreported(time_point now)
{
    expire(now);
    std::vector<crash_note> notes;
    for (const pending_note& each : unreported_)
        notes.push_back(
            {each.evidence, each.key, each.endpoint, age_of(now, each.at)});
    unreported_.clear();
    return notes;
}

std::vector<crash_note> crash_tracker::copy(time_point now) const
{
    std::vector<crash_note> notes;
    for (const auto& [endpoint, at] : survivors_)
        notes.push_back(
            {crash_evidence::survived, crash_key(), endpoint, age_of(now, at)});
    for (const auto& [key, known] : keys_)
    {
        for (const crash& each : known.crashes)
            notes.push_back({crash_evidence::crashed, key, each.endpoint,
                             age_of(now, each.at)});
    }
    return notes;
}

void crash_tracker::requeue_reports(time_point now)
{
    unreported_.clear();
    for (const crash_note& note : copy(now))
        unreported_.push_back(
            {note.evidence, note.key, note.endpoint, now - note.age});
}

std::vector<crash_event> crash_tracker::take_events()
{
    return std::exchange(events_, {});
}

std::size_t crash_tracker::quarantined() const
{
    return static_cast<std::size_t>(
        std::count_if(limited_.begin(), limited_.end(),
                      [this](crash_key each) { return is_quarantined(each); }));
}

void crash_tracker::drop_excess_keys()
{
    if (keys_.size() <= max_keys)
        return;
    const auto oldest =
        std::min_element(keys_.begin(), keys_.end(),
                         [](const auto& one, const auto& other)
                         { return one.second.used_at < other.second.used_at; });
    limited_.erase(oldest->first);
    keys_.erase(oldest);
    ++dropped_;
}

void crash_tracker::expire(time_point now)
{
    std::erase_if(suspicions_, [now](const auto& each)
                  { return now - each.second.back().at > suspicion_lifetime; });
    std::erase_if(survivors_, [now](const auto& each)
                  { return now - each.second > crash_lifetime; });
    std::erase_if(keys_,
                  [this, now](const auto& each)
                  {
                      const duration lifetime = has_reached_limit(each.second)
                                                    ? quarantine_lifetime
                                                    : crash_lifetime;
                      if (now - each.second.used_at <= lifetime)
                          return false;
                      limited_.erase(each.first);
                      return true;
                  });
}

} // namespace sycamorelock::core
