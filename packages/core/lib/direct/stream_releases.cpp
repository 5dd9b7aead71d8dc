// A stream is looked for among those of this instance, those that others told,
// and last by the releases that its service has had.
#include "sycamorelock/core/direct/stream_releases.hpp"

#include <algorithm>

namespace sycamorelock::core::direct
{

std::string_view to_string(stream_source source)
{
    switch (source)
    {
    case stream_source::unknown:
        return "unknown";
    case stream_source::own:
        return "own";
    case stream_source::told:
        return "told";
    case stream_source::sole:
        return "sole";
    }
    return "unknown";
}

const stream_releases::entry*
stream_releases::memory::find(stream_key key) const
{
    const auto found = known.find(key);
    return found == known.end() ? nullptr : &found->second;
}

stream_releases::entry& stream_releases::memory::renew(time_point now,
                                                       stream_key key)
{
    entry& made = known[key];
    if (made.at != now)
        order.push_back({now, key});
    made.at = now;
    return made;
}

std::size_t stream_releases::memory::drop(time_point oldest, std::size_t most)
{
    std::size_t dropped = 0;
    while (!order.empty())
    {
        const bool excess = known.size() > most || order.size() > 2 * most;
        if (!excess && order.front().at >= oldest)
            break;
        const auto found = known.find(order.front().key);
        if (found != known.end() && found->second.at == order.front().at)
        {
            dropped += order.front().at >= oldest ? 1 : 0;
            known.erase(found);
        }
        order.pop_front();
    }
    return dropped;
}

void stream_releases::set_longest(milliseconds timeout)
{
    kept_for_ =
        std::clamp<duration>(2 * duration(timeout), least_kept, most_kept);
}

void stream_releases::see(time_point at, service_id service, release_id release)
{
    history& of = services_[service];
    time_point& last = of.seen[release];
    last = std::max(last, at);
    if (of.seen.size() <= most_releases)
        return;
    const auto oldest = std::min_element(of.seen.begin(), of.seen.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.second < b.second; });
    of.seen.erase(oldest);
    // One is missing from the history now.
    watched_since_.reset();
}

void stream_releases::set_listed(
    time_point now, const std::map<service_id, std::set<release_id>>& listed)
{
    for (auto& [service, of] : services_)
    {
        for (const release_id release : of.listed)
            of.seen[release] = now;
        of.listed.clear();
    }
    for (const auto& [service, releases] : listed)
    {
        for (const release_id release : releases)
            see(now, service, release);
        services_[service].listed = releases;
    }
}

void stream_releases::set_current(time_point now, time_point at)
{
    if (!started_)
        started_ = now;
    if (at <= current_at_)
        return;
    // What came and went meanwhile may not have been seen.
    if (at - current_at_ > fresh_for)
    {
        watched_since_.reset();
        asked_since_ = now;
        is_informed_ = false;
    }
    if (!watched_since_)
        watched_since_ = at;
    current_at_ = at;
}

void stream_releases::note_moved(time_point now, service_id service)
{
    services_[service].moved = now;
}

void stream_releases::set_shared(std::set<service_id> services)
{
    shared_ = std::move(services);
}

bool stream_releases::note(time_point now, const stream_note& sent)
{
    const entry* const known = own_.find(sent.key);
    const bool moves = known != nullptr && known->release != sent.release;
    // An attempt that was withheld gives its number to the next one.
    const unsigned least =
        known == nullptr ? 0 : known->attempt + (moves ? 1 : 0);
    const bool is_news = known == nullptr || moves;
    entry& made = own_.renew(now, sent.key);
    made.service = sent.service;
    made.release = sent.release;
    made.attempt = std::max(sent.attempt, least);
    made.ended.reset();
    if (is_news)
        remember_untold(sent.key, made);
    return moves;
}

void stream_releases::remember_untold(stream_key key, entry& sent)
{
    if (!sent.is_pending)
        untold_.push_back(key);
    sent.is_pending = true;
}

void stream_releases::note_resumed(time_point now, stream_key key,
                                   service_id service, release_id release)
{
    const entry* const known = own_.find(key);
    if (known != nullptr && known->release != release)
        return;
    entry& made = own_.renew(now, key);
    made.service = service;
    made.release = release;
    made.ended.reset();
    remember_untold(key, made);
}

void stream_releases::end(time_point now, stream_key key)
{
    const auto found = own_.known.find(key);
    if (found != own_.known.end())
        found->second.ended = now;
}

void stream_releases::learn(time_point now, const stream_note& told)
{
    const entry* const known = told_.find(told.key);
    const bool moves = known != nullptr && known->release != told.release;
    if (moves && told.attempt <= known->attempt)
        return;
    entry& made = told_.renew(now, told.key);
    made.service = told.service;
    made.release = told.release;
    made.attempt = std::max(made.attempt, told.attempt);
}

void stream_releases::hear(time_point now, std::span<const stream_note> told)
{
    for (const stream_note& each : told)
    {
        see(now, each.service, each.release);
        const entry* const own = own_.find(each.key);
        // It was resumed elsewhere, or a relay brings back what was told here.
        if (own != nullptr && own->release == each.release)
            own_.renew(now, each.key);
        else
            learn(now, each);
    }
    dropped_ += told_.drop(now - kept_for_, most_told);
}

stream_releases::finding stream_releases::find(time_point now,
                                               stream_key key) const
{
    const auto kept = [&](const entry* which) {
        return which != nullptr && now - which->at <= kept_for_ ? which
                                                                : nullptr;
    };
    const entry* const own = kept(own_.find(key));
    const entry* const told = kept(told_.find(key));
    const bool is_own =
        own != nullptr && (told == nullptr || told->attempt <= own->attempt);
    const entry* const best = is_own ? own : told;
    if (best == nullptr)
        return {};
    return {is_own ? stream_source::own : stream_source::told, best->service,
            best->release};
}

std::optional<release_id> stream_releases::sole(time_point now,
                                                service_id service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || must_tell(now, service))
        return std::nullopt;
    for (const auto& [release, last] : found->second.seen)
    {
        if (may_have_begun(now, found->second, release, last))
            return release;
    }
    return std::nullopt;
}

bool stream_releases::must_tell(time_point now, service_id service) const
{
    const auto found = services_.find(service);
    if (!is_complete(now) || shared_.contains(service) ||
        found == services_.end())
        return true;
    const history& of = found->second;
    if (of.moved && now - *of.moved <= history_for())
        return true;
    const auto count = std::count_if(
        of.seen.begin(), of.seen.end(),
        [&](const auto& each)
        { return may_have_begun(now, of, each.first, each.second); });
    return count > 1;
}

bool stream_releases::any_must_tell(time_point now) const
{
    return !is_complete(now) ||
           std::any_of(services_.begin(), services_.end(),
                       [&](const auto& each)
                       { return must_tell(now, each.first); });
}

std::vector<stream_note> stream_releases::take_untold(time_point now)
{
    sweep(now);
    std::vector<stream_note> result;
    if (!any_must_tell(now))
        return result;
    std::erase_if(untold_,
                  [&](stream_key key)
                  {
                      const auto found = own_.known.find(key);
                      if (found == own_.known.end())
                          return true;
                      entry& sent = found->second;
                      if (is_due(now, sent))
                          result.push_back(
                              {key, sent.service, sent.release, sent.attempt});
                      return !sent.is_pending;
                  });
    return result;
}

bool stream_releases::is_due(time_point now, entry& sent) const
{
    const bool is_over = sent.ended && now - *sent.ended > ended_for;
    const bool is_due =
        sent.is_pending && !is_over && must_tell(now, sent.service);
    sent.is_pending = sent.is_pending && !is_over && !is_due;
    return is_due;
}

void stream_releases::retell()
{
    for (auto& [key, sent] : own_.known)
        remember_untold(key, sent);
}

bool stream_releases::wants_streams(time_point now) const
{
    return !has_copy_ && started_ && now - *started_ < patience;
}

bool stream_releases::wants_releases(time_point now) const
{
    return !is_informed_ && watched_since_ && now - asked_since_ < patience;
}

std::optional<stream_copy> stream_releases::copy(time_point now,
                                                 bool has_started) const
{
    const std::optional<time_point>& since =
        has_started ? started_ : watched_since_;
    if (!since || now - *since < settled_after)
        return std::nullopt;
    stream_copy made;
    for (const memory* from : {&own_, &told_})
    {
        // Newest first: the oldest are left out.
        for (auto each = from->order.rbegin();
             each != from->order.rend() && made.streams.size() < most_copied;
             ++each)
        {
            const entry* const known = from->find(each->key);
            if (known != nullptr && known->at == each->at)
                made.streams.push_back({each->key, known->service,
                                        known->release, known->attempt});
        }
    }
    for (const auto& [service, of] : services_)
    {
        for (const auto& [release, last] : of.seen)
        {
            const bool listed = of.listed.contains(release);
            made.releases.seen.push_back(
                {service, release,
                 listed ? milliseconds(0)
                        : std::chrono::floor<milliseconds>(now - last)});
        }
    }
    if (is_fresh(now) && watched_since_)
        made.releases.watched_for =
            std::chrono::floor<milliseconds>(now - *watched_since_);
    return made;
}

void stream_releases::adopt(time_point now, const stream_copy& known)
{
    has_copy_ = true;
    for (const stream_note& each : known.streams)
        learn(now, each);
    dropped_ += told_.drop(now - kept_for_, most_told);
    for (const release_sight& each : known.releases.seen)
        see(now - each.age, each.service, each.release);
    // Without news of its own this instance may miss what came since.
    if (!watched_since_ || !is_fresh(now))
        return;
    watched_since_ =
        std::min<time_point>(*watched_since_, now - known.releases.watched_for);
    is_informed_ = known.releases.watched_for >= settled_after;
}

void stream_releases::sweep(time_point now)
{
    dropped_ += own_.drop(now - kept_for_, most_own);
    dropped_ += told_.drop(now - kept_for_, most_told);
    if (untold_.size() > 2 * own_.size())
        std::erase_if(untold_, [this](stream_key key)
                      { return own_.find(key) == nullptr; });
    for (auto& [service, of] : services_)
        std::erase_if(of.seen,
                      [&of = of, now](const auto& each)
                      {
                          return !of.listed.contains(each.first) &&
                                 now - each.second > most_kept + listing_skew;
                      });
}

} // namespace sycamorelock::core::direct
