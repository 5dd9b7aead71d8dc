// Everything in memory under one lock.
#include "direct_store.hpp"

#include "base64.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds poll_step{10};

} // namespace

direct_store::direct_store(const std::string& address)
    : server_(runner_, address,
              [this](beast::tcp_stream& s, request asked)
              { return answer(s, std::move(asked)); })
{
}

direct_store::~direct_store()
{
    runner_.stop();
}

void direct_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    const change made{++revision_, key, value, false};
    items_[key] = made;
    history_.push_back(made);
}

void direct_store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    history_.push_back({++revision_, key, "", true});
}

void direct_store::set_endless(const endless_bytes& what)
{
    const std::lock_guard lock(mutex_);
    endless_ = what;
    mode_ = store_mode::endless;
}

void direct_store::forget_history()
{
    const std::lock_guard lock(mutex_);
    oldest_ = ++revision_;
    history_.clear();
}

std::string direct_store::item(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found == items_.end())
        return {};
    return json::serialize(
        json::object{{"key", key},
                     {"value", to_base64(found->second.value)},
                     {"revision", found->second.revision},
                     {"as_of", revision_}});
}

std::string direct_store::range(const std::string& prefix)
{
    const std::lock_guard lock(mutex_);
    json::array entries;
    for (const auto& [key, held] : items_)
    {
        if (key.starts_with(prefix))
            entries.push_back(json::object{{"key", key},
                                           {"value", to_base64(held.value)},
                                           {"revision", held.revision}});
    }
    return json::serialize(json::object{
        {"entries", entries}, {"more_pages", false}, {"as_of", revision_}});
}

std::string direct_store::changes(std::uint64_t after)
{
    const std::lock_guard lock(mutex_);
    json::array events;
    for (const change& each : history_)
    {
        if (each.revision <= after)
            continue;
        if (each.gone)
            events.push_back(json::object{{"key", each.key},
                                          {"revision", each.revision},
                                          {"tombstone", true}});
        else
            events.push_back(json::object{{"key", each.key},
                                          {"value", to_base64(each.value)},
                                          {"revision", each.revision}});
    }
    if (events.empty())
        return {};
    return json::serialize(
        json::object{{"events", events}, {"as_of", revision_}});
}

asio::awaitable<bool> direct_store::watch(beast::tcp_stream& stream,
                                          const request& asked)
{
    const std::string target(asked.target());
    const auto after =
        static_cast<std::uint64_t>(query_number(target, "after", 0));
    long left_ms = query_number(target, "wait_ms", 0);
    for (;;)
    {
        if (mode_ == store_mode::closed)
            co_return false;
        bool forgotten = false;
        {
            const std::lock_guard lock(mutex_);
            forgotten = after < oldest_;
        }
        if (forgotten)
            co_return co_await write(
                stream, make_response(http::status::gone, ""), asked);
        const std::string news = changes(after);
        if (!news.empty())
            co_return co_await write(
                stream, make_response(http::status::ok, news), asked);
        if (left_ms <= 0)
            break;
        co_await sleep_for(poll_step);
        left_ms -= poll_step.count();
    }
    const std::string none = json::serialize(
        json::object{{"events", json::array()}, {"as_of", after}});
    co_return co_await write(stream, make_response(http::status::ok, none),
                             asked);
}

asio::awaitable<bool> direct_store::answer(beast::tcp_stream& stream,
                                           request asked)
{
    ++calls_;
    if (mode_ == store_mode::closed)
        co_return false;
    while (mode_ == store_mode::silent)
        co_await sleep_for(poll_step);
    if (mode_ == store_mode::endless)
    {
        endless_bytes what;
        {
            const std::lock_guard lock(mutex_);
            what = endless_;
        }
        co_await send_endlessly(stream, std::move(what), endless_sent_);
        co_return false;
    }
    if (mode_ == store_mode::busy)
        co_return co_await write(
            stream, make_response(http::status::service_unavailable, ""),
            asked);
    const std::string target(asked.target());
    if (target.starts_with("/v1/kv-watch"))
        co_return co_await watch(stream, asked);
    const std::string body = target.starts_with("/v1/kv-key")
                                 ? item(query_value(target, "key"))
                                 : range(query_value(target, "prefix"));
    const http::status status =
        body.empty() ? http::status::not_found : http::status::ok;
    co_return co_await write(stream, make_response(status, body), asked);
}

} // namespace standin
