// Documents by version with long polling.
#include "platform.hpp"

#include <boost/asio/write.hpp>

namespace standin
{

namespace
{
constexpr std::chrono::milliseconds poll_step{20};
} // namespace

platform::platform(const std::string& address)
    : server_(runner_, address,
              [this](beast::tcp_stream& s, request asked)
              { return answer(s, std::move(asked)); })
{
}

platform::~platform()
{
    runner_.stop();
}

void platform::publish_config(std::uint64_t version, std::string text)
{
    const std::lock_guard lock(mutex_);
    config_ = {version, std::move(text)};
}

void platform::publish_members(std::uint64_t version, std::string text)
{
    const std::lock_guard lock(mutex_);
    members_ = {version, std::move(text)};
}

void platform::set_mode(platform_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
    stale_config_ = config_;
    stale_members_ = members_;
}

void platform::set_answer(const std::string& bytes)
{
    const std::lock_guard lock(mutex_);
    answer_ = bytes;
}

platform::held platform::current(bool members)
{
    const std::lock_guard lock(mutex_);
    if (mode_ == platform_mode::stale)
        return members ? stale_members_ : stale_config_;
    return members ? members_ : config_;
}

asio::awaitable<bool> platform::answer(beast::tcp_stream& stream, request asked)
{
    const std::string target(asked.target());
    const bool members = target.starts_with("/v1/members");
    const auto after =
        static_cast<std::uint64_t>(query_number(target, "after", 0));
    long left_ms = query_number(target, "wait_ms", 0);
    for (;;)
    {
        platform_mode mode = platform_mode::up;
        std::string bytes;
        {
            const std::lock_guard lock(mutex_);
            mode = mode_;
            bytes = answer_;
        }
        if (!bytes.empty())
        {
            co_await asio::async_write(stream, asio::buffer(bytes), as_result);
            co_return false;
        }
        if (mode == platform_mode::down)
            co_return false;
        const held document = current(members);
        // A stale platform hands out old documents to anyone who asks.
        const bool news =
            document.version != 0 &&
            (document.version > after ||
             (mode == platform_mode::stale && document.version < after));
        if (news)
        {
            response found = make_response(http::status::ok, document.text);
            found.set("X-Version", std::to_string(document.version));
            co_return co_await write(stream, std::move(found), asked);
        }
        if (left_ms <= 0)
            co_return co_await write(
                stream, make_response(http::status::not_modified, ""), asked);
        co_await sleep_for(poll_step);
        left_ms -= poll_step.count();
    }
}

} // namespace standin
