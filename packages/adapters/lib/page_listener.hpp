// Listeners for readers of small pages: balancers, operators, collectors of
// metrics.
#pragma once

#include "listener.hpp"
#include "request_reader.hpp"
#include "socket_state.hpp"
#include "spare_descriptor.hpp"

#include <algorithm>
#include <list>
#include <tuple>

namespace sycamorelock::adapters
{

using page_request = http::request<http::string_body>;
using page_response = http::response<http::string_body>;

inline page_response make_page(const page_request& asked, http::status status,
                               const char* type, std::string body)
{
    page_response result(status, asked.version());
    result.set(http::field::content_type, type);
    result.keep_alive(asked.keep_alive());
    result.body() = std::move(body);
    finish_answer(result, asked.method() == http::verb::head);
    return result;
}

/// Base of a server of pages, which has a member
/// `asio::awaitable<page_response> respond(page_request)`. Everything runs on
/// the thread of the io_context.
template <class Server>
class page_listener : public std::enable_shared_from_this<page_listener<Server>>
{
  public:
    /// \param most_connections that may be open at once; beyond them, one that
    /// rests ends for each that comes.
    /// \throws boost::system::system_error if the address cannot be listened
    /// on.
    page_listener(asio::io_context& io, const tcp::endpoint& at,
                  std::size_t most_connections, event_log* log,
                  accept_report::events events, listener_metrics& metrics)
        : io_(io), metrics_(metrics),
          memory_({core::byte_count((most_connections + 1) * connection_bytes),
                   core::byte_count(connection_bytes / 2), connection_timeout},
                  counters_),
          listener_(std::make_shared<listener<page_listener>>(
              io, at, *this, listener_limits{most_connections},
              accept_report(log, events, metrics)))
    {
    }
    ~page_listener() { listener_->stop(); }
    page_listener(const page_listener&) = delete;
    page_listener& operator=(const page_listener&) = delete;

    void start() { listener_->start(); }
    void stop() { listener_->stop(); }
    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }

    asio::io_context& next_context() { return io_; }
    void serve(tcp::socket accepted)
    {
        asio::co_spawn(io_,
                       run(std::make_unique<listed>(this->shared_from_this(),
                                                    std::move(accepted))),
                       asio::detached);
    }
    [[nodiscard]] std::size_t connections() const
    {
        const auto ended = std::ranges::count_if(
            open_, [](const connection& each) { return each.ended; });
        return open_.size() - static_cast<std::size_t>(ended);
    }
    /// Ends the connection that has waited longest for its reader.
    bool make_room()
    {
        connection* longest = nullptr;
        for (connection& each : open_)
        {
            if (each.ended || !waits_for_reader(each))
                continue;
            if (longest == nullptr || is_before(each, *longest))
                longest = &each;
        }
        if (longest == nullptr)
            return open_.empty() && spare_.release();
        longest->ended = true;
        longest->stream.close();
        ++metrics_.closed_for_room;
        return true;
    }

  private:
    /// Time of one request, and of the pause before it.
    static constexpr std::chrono::seconds connection_timeout{30};
    static constexpr request_limits limits{8192, 4096};
    /// Memory for a connection, on average: a header and a body of the limits,
    /// with what their fields take beside their text.
    static constexpr std::size_t connection_bytes = 32UL * 1024;

    enum class phase : std::uint8_t
    {
        reading,
        writing,
        making,
    };

    struct connection
    {
        connection(tcp::socket accepted, memory_pool& pool)
            : stream(std::move(accepted)), memory(pool, [this] { evict(); }),
              reader(stream.socket(), memory)
        {
        }
        void evict()
        {
            reader.drop();
            stream.close();
        }
        void enter(phase next)
        {
            now_in = next;
            since = now();
        }
        beast::tcp_stream stream;
        memory_share memory;
        request_reader reader;
        phase now_in = phase::reading;
        core::time_point since = now();
        bool ended = false;
    };
    using connections_list = std::list<connection>;

    /// Keeps a connection in its listener's list, and the listener.
    class listed
    {
      public:
        listed(std::shared_ptr<page_listener> owner, tcp::socket accepted)
            : owner_(std::move(owner)),
              at_(owner_->open_.emplace(owner_->open_.end(),
                                        std::move(accepted), owner_->memory_))
        {
        }
        ~listed()
        {
            owner_->open_.erase(at_);
            owner_->spare_.renew();
        }
        listed(const listed&) = delete;
        listed& operator=(const listed&) = delete;
        page_listener& owner() { return *owner_; }
        connection& get() { return *at_; }

      private:
        std::shared_ptr<page_listener> owner_;
        typename connections_list::iterator at_;
    };

    /// Whether nothing can be done for a connection until its reader acts.
    static bool waits_for_reader(connection& which)
    {
        if (which.now_in == phase::reading)
            return look_at(which.stream.socket()) != socket_state::readable;
        return which.now_in == phase::writing;
    }

    /// Whether a connection is to end before another.
    static bool is_before(const connection& one, const connection& other)
    {
        return std::tie(one.now_in, one.since) <
               std::tie(other.now_in, other.since);
    }

    static asio::awaitable<void> run(std::unique_ptr<listed> held)
    {
        connection& own = held->get();
        while (own.memory.is_open())
        {
            own.enter(phase::reading);
            if (co_await read(own))
                co_return;
            own.enter(phase::making);
            page_response answer = co_await static_cast<Server&>(held->owner())
                                       .respond(own.reader.take());
            own.memory.drop_request();
            own.enter(phase::writing);
            own.stream.expires_after(connection_timeout);
            auto [unsent, sent] =
                co_await http::async_write(own.stream, answer, as_result);
            if (unsent || !answer.keep_alive())
                co_return;
        }
    }

    static asio::awaitable<error_code> read(connection& own)
    {
        asio::steady_timer limit(own.stream.get_executor(), connection_timeout);
        // Null once the read has ended, so that a late expiry closes nothing.
        const auto reading = std::make_shared<connection*>(&own);
        limit.async_wait(
            [reading](error_code ended)
            {
                if (!ended && *reading != nullptr)
                    (*reading)->stream.close();
            });
        const error_code error = co_await own.reader.read(limits);
        *reading = nullptr;
        co_return error;
    }

    asio::io_context& io_;
    listener_metrics& metrics_;
    caller_metrics counters_;
    memory_pool memory_;
    connections_list open_;
    // Balancers go by the pages, also when others have all descriptors.
    spare_descriptor spare_;
    std::shared_ptr<listener<page_listener>> listener_;
};

} // namespace sycamorelock::adapters
