// Lookup order: streams of this instance, streams reported by other instances,
// then the only release that the service has had.
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
    case stream_source::reported:
        return "told";
    case stream_source::sole:
        return "sole";
    }
    return "unknown";
}

const stream_releases::entry*
stream_releases::stream_table::find(stream_key key) const
{
    const auto found = known.find(key);
    return found == known.end() ? nullptr : &found->second;
}

stream_releases::entry& stream_releases::stream_table::refresh(time_point now,
                                                               stream_key key)
{
    entry& stored = known[key];
    if (stored.at != now)
        order.push_back({now, key});
    stored.at = now;
    return stored;
}

std::size_t stream_releases::stream_table::evict(time_point oldest,
                                                 std::size_t max_size)
{
    std::size_t dropped = 0;
    while (!order.empty())
    {
        const bool over_limit =
            known.size() > max_size || order.size() > 2 * max_size;
        if (!over_limit && order.front().at >= oldest)
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

void stream_releases::set_max_stream_duration(milliseconds timeout)
{
    retention_ = std::clamp<duration>(2 * duration(timeout), min_retention,
                                      max_retention);
}

void stream_releases::record_release(time_point at, service_id service,
                                     release_id release)
{
    service_history& history = services_[service];
    time_point& last = history.last_listed[release];
    last = std::max(last, at);
    if (history.last_listed.size() <= max_releases_per_service)
        return;
    const auto oldest = std::min_element(
        history.last_listed.begin(), history.last_listed.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    history.last_listed.erase(oldest);
    // The history now lacks a release, so it is no longer complete.
    observed_since_.reset();
}

void stream_releases::set_listed(
    time_point now, const std::map<service_id, std::set<release_id>>& listed)
{
    for (auto& [service, history] : services_)
    {
        for (const release_id release : history.listed)
            history.last_listed[release] = now;
        history.listed.clear();
    }
    for (const auto& [service, releases] : listed)
    {
        for (const release_id release : releases)
            record_release(now, service, release);
        services_[service].listed = releases;
    }
}

void stream_releases::set_listing_time(time_point now, time_point at)
{
    if (!started_)
        started_ = now;
    if (at <= listing_time_)
        return;
    // A release may have been added and removed during the gap.
    if (at - listing_time_ > max_listing_age)
    {
        observed_since_.reset();
        requesting_since_ = now;
        has_release_copy_ = false;
    }
    if (!observed_since_)
        observed_since_ = at;
    listing_time_ = at;
}

void stream_releases::note_route_moved(time_point now, service_id service)
{
    services_[service].route_moved_at = now;
}

void stream_releases::set_shared(std::set<service_id> services)
{
    shared_ = std::move(services);
}

bool stream_releases::note(time_point now, const stream_note& sent)
{
    const entry* const known = own_.find(sent.key);
    const bool release_changed =
        known != nullptr && known->release != sent.release;
    // The attempt after a withheld one has the same number, so a change of
    // release increments it.
    const unsigned min_attempt =
        known == nullptr ? 0 : known->attempt + (release_changed ? 1 : 0);
    const bool is_unreported = known == nullptr || release_changed;
    entry& stored = own_.refresh(now, sent.key);
    stored.service = sent.service;
    stored.release = sent.release;
    stored.attempt = std::max(sent.attempt, min_attempt);
    stored.ended_at.reset();
    if (is_unreported)
        queue_report(sent.key, stored);
    return release_changed;
}

void stream_releases::queue_report(stream_key key, entry& sent)
{
    if (!sent.is_queued)
        unreported_.push_back(key);
    sent.is_queued = true;
}

void stream_releases::note_resumed(time_point now, stream_key key,
                                   service_id service, release_id release)
{
    const entry* const known = own_.find(key);
    if (known != nullptr && known->release != release)
        return;
    entry& stored = own_.refresh(now, key);
    stored.service = service;
    stored.release = release;
    stored.ended_at.reset();
    queue_report(key, stored);
}

void stream_releases::end(time_point now, stream_key key)
{
    const auto found = own_.known.find(key);
    if (found != own_.known.end())
        found->second.ended_at = now;
}

void stream_releases::store_remote(time_point now, const stream_note& remote)
{
    const entry* const known = remote_.find(remote.key);
    const bool release_changed =
        known != nullptr && known->release != remote.release;
    if (release_changed && remote.attempt <= known->attempt)
        return;
    entry& stored = remote_.refresh(now, remote.key);
    stored.service = remote.service;
    stored.release = remote.release;
    stored.attempt = std::max(stored.attempt, remote.attempt);
}

void stream_releases::add_remote(time_point now,
                                 std::span<const stream_note> remote)
{
    for (const stream_note& each : remote)
    {
        record_release(now, each.service, each.release);
        const entry* const own = own_.find(each.key);
        // The stream was resumed at another instance, or an aggregator relayed
        // this instance's own report back.
        if (own != nullptr && own->release == each.release)
            own_.refresh(now, each.key);
        else
            store_remote(now, each);
    }
    dropped_ += remote_.evict(now - retention_, max_remote_streams);
}

stream_releases::stream_origin stream_releases::find(time_point now,
                                                     stream_key key) const
{
    const auto unexpired = [&](const entry* stream)
    {
        return stream != nullptr && now - stream->at <= retention_ ? stream
                                                                   : nullptr;
    };
    const entry* const own = unexpired(own_.find(key));
    const entry* const remote = unexpired(remote_.find(key));
    const bool use_own = own != nullptr &&
                         (remote == nullptr || remote->attempt <= own->attempt);
    const entry* const chosen = use_own ? own : remote;
    if (chosen == nullptr)
        return {};
    return {use_own ? stream_source::own : stream_source::reported,
            chosen->service, chosen->release};
}

std::optional<release_id> stream_releases::sole(time_point now,
                                                service_id service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || must_report(now, service))
        return std::nullopt;
    for (const auto& [release, last] : found->second.last_listed)
    {
        if (may_own_streams(now, found->second, release, last))
            return release;
    }
    return std::nullopt;
}

bool stream_releases::must_report(time_point now, service_id service) const
{
    const auto found = services_.find(service);
    if (!knows_all_releases(now) || shared_.contains(service) ||
        found == services_.end())
        return true;
    const service_history& history = found->second;
    if (history.route_moved_at &&
        now - *history.route_moved_at <= release_lifetime())
        return true;
    const auto count = std::count_if(
        history.last_listed.begin(), history.last_listed.end(),
        [&](const auto& each)
        { return may_own_streams(now, history, each.first, each.second); });
    return count > 1;
}

bool stream_releases::any_must_report(time_point now) const
{
    return !knows_all_releases(now) ||
           std::any_of(services_.begin(), services_.end(),
                       [&](const auto& each)
                       { return must_report(now, each.first); });
}

std::vector<stream_note> stream_releases::take_unreported(time_point now)
{
    remove_expired(now);
    std::vector<stream_note> result;
    if (!any_must_report(now))
        return result;
    std::erase_if(unreported_,
                  [&](stream_key key)
                  {
                      const auto found = own_.known.find(key);
                      if (found == own_.known.end())
                          return true;
                      entry& sent = found->second;
                      if (dequeue_if_due(now, sent))
                          result.push_back(
                              {key, sent.service, sent.release, sent.attempt});
                      return !sent.is_queued;
                  });
    return result;
}

bool stream_releases::dequeue_if_due(time_point now, entry& sent) const
{
    const bool is_expired =
        sent.ended_at && now - *sent.ended_at > resume_grace_period;
    const bool due =
        sent.is_queued && !is_expired && must_report(now, sent.service);
    sent.is_queued = sent.is_queued && !is_expired && !due;
    return due;
}

void stream_releases::requeue_reports()
{
    for (auto& [key, sent] : own_.known)
        queue_report(key, sent);
}

bool stream_releases::wants_streams(time_point now) const
{
    return !has_stream_copy_ && started_ &&
           now - *started_ < copy_request_period;
}

bool stream_releases::wants_releases(time_point now) const
{
    return !has_release_copy_ && observed_since_ &&
           now - requesting_since_ < copy_request_period;
}

std::optional<stream_copy> stream_releases::copy(time_point now,
                                                 bool has_started) const
{
    const std::optional<time_point>& since =
        has_started ? started_ : observed_since_;
    if (!since || now - *since < min_observation_time)
        return std::nullopt;
    stream_copy result;
    for (const stream_table* from : {&own_, &remote_})
    {
        // Newest first, so that the size limit omits the oldest streams.
        for (auto each = from->order.rbegin();
             each != from->order.rend() &&
             result.streams.size() < max_copied_streams;
             ++each)
        {
            const entry* const known = from->find(each->key);
            if (known != nullptr && known->at == each->at)
                result.streams.push_back({each->key, known->service,
                                          known->release, known->attempt});
        }
    }
    for (const auto& [service, history] : services_)
    {
        for (const auto& [release, last] : history.last_listed)
        {
            const bool listed = history.listed.contains(release);
            result.releases.seen.push_back(
                {service, release,
                 listed ? milliseconds(0)
                        : std::chrono::floor<milliseconds>(now - last)});
        }
    }
    if (is_listing_current(now) && observed_since_)
        result.releases.observed_for =
            std::chrono::floor<milliseconds>(now - *observed_since_);
    return result;
}

void stream_releases::adopt(time_point now, const stream_copy& known)
{
    has_stream_copy_ = true;
    for (const stream_note& each : known.streams)
        store_remote(now, each);
    dropped_ += remote_.evict(now - retention_, max_remote_streams);
    for (const known_release& each : known.releases.seen)
        record_release(now - each.age, each.service, each.release);
    // Without a current endpoint listing this instance may lack a release that
    // was added after the copy was made.
    if (!observed_since_ || !is_listing_current(now))
        return;
    observed_since_ = std::min<time_point>(*observed_since_,
                                           now - known.releases.observed_for);
    has_release_copy_ = known.releases.observed_for >= min_observation_time;
}

void stream_releases::remove_expired(time_point now)
{
    dropped_ += own_.evict(now - retention_, max_own_streams);
    dropped_ += remote_.evict(now - retention_, max_remote_streams);
    if (unreported_.size() > 2 * own_.size())
        std::erase_if(unreported_, [this](stream_key key)
                      { return own_.find(key) == nullptr; });
    for (auto& [service, history] : services_)
        std::erase_if(history.last_listed,
                      [&history = history, now](const auto& each)
                      {
                          return !history.listed.contains(each.first) &&
                                 now - each.second >
                                     max_retention + listing_skew;
                      });
}

} // namespace sycamorelock::core::direct
