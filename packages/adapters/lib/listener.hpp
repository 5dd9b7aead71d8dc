// Accepts connections, in the same way for every listener of an instance.
#pragma once

#include "accept_report.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <concepts>
#include <memory>

#include <poll.h>

namespace sycamorelock::adapters
{

/// Pause after an accept that failed, as when no descriptor is free: tried
/// again at once, it fails again and takes the processor from what would free
/// one.
inline constexpr std::chrono::milliseconds accept_pause{20};
/// Accepts have recovered when none has failed for this long.
inline constexpr std::chrono::seconds accept_calm{1};

/// Connections accepted in one turn of the event loop. With one a turn, an
/// instance with hundreds of busy connections took a few new ones a second, all
/// of which had given up by then.
inline constexpr int accepts_a_turn = 64;

/// What a listener needs of the server behind it, on the listener's thread.
template <class Server>
concept connection_server = requires(Server& server, const Server& seen,
                                     tcp::socket accepted)
{
    /// Where the next connection is served.
    {
        server.next_context()
        } -> std::same_as<asio::io_context&>;
    server.serve(std::move(accepted));
    /// Connections that are open.
    {
        seen.connections()
        } -> std::same_as<std::size_t>;
    /// Ends connections without a request, so that others find room. Returns
    /// whether there is some at once.
    {
        server.make_room()
        } -> std::same_as<bool>;
};

struct listener_limits
{
    /// Connections that may be open at once. Others wait.
    std::size_t connections;
    /// Connections that the kernel keeps until they are accepted.
    int backlog = asio::socket_base::max_listen_connections;
};

/// Accepts until it is closed. The server stops it before it ends itself.
template <class Server>
class listener : public std::enable_shared_from_this<listener<Server>>
{
  public:
    /// \throws boost::system::system_error if the address cannot be listened
    /// on.
    listener(asio::io_context& io, const tcp::endpoint& at, Server& server,
             listener_limits limits, accept_report report)
        : server_(&server), limits_(limits), report_(report), acceptor_(io),
          pause_(io), calm_(io)
    {
        static_assert(connection_server<Server>);
        acceptor_.open(at.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        // Accepted sockets inherit it, which saves a call for each.
        acceptor_.set_option(tcp::no_delay(true));
        // Otherwise a call that must not wait does, after a connection that
        // ended while it waited.
        acceptor_.set_option(
            asio::socket_base::enable_connection_aborted(true));
        acceptor_.bind(at);
        acceptor_.listen(limits_.backlog);
        acceptor_.non_blocking(true);
    }

    void start() { wait_for_connection(); }

    /// Takes the connections that wait to be accepted and closes, which may
    /// need time if no descriptor is free: the kernel resets those that are not
    /// accepted.
    void close()
    {
        closing_ = true;
        if (!acceptor_.is_open())
            return;
        error_code error;
        for (int i = 0; i < limits_.backlog && !error; ++i)
            error = accept_one();
        if (error && connection_waits())
            on_failure(error);
        else
            close_acceptor();
    }

    [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }

    /// Closes at once. The server is not called afterwards.
    void stop()
    {
        server_ = nullptr;
        close_acceptor();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

  private:
    /// The error of an accept does not tell: without a descriptor it fails also
    /// when nobody waits.
    [[nodiscard]] bool connection_waits()
    {
        pollfd state{acceptor_.native_handle(), POLLIN, 0};
        return poll(&state, 1, 0) > 0;
    }

    void close_acceptor()
    {
        error_code ignored;
        acceptor_.close(ignored);
        pause_.cancel();
        calm_.cancel();
    }

    /// Accepts only when a connection waits: the kernel looks for a descriptor
    /// first, so without one an accept fails also when nobody waits.
    void wait_for_connection()
    {
        acceptor_.async_wait(tcp::acceptor::wait_read,
                             [self = this->shared_from_this()](error_code error)
                             {
                                 if (self->server_ == nullptr ||
                                     !self->acceptor_.is_open())
                                     return;
                                 if (error)
                                     self->on_failure(error);
                                 else
                                     self->accept_waiting();
                             });
    }

    void accept_waiting()
    {
        if (closing_)
            return;
        for (int i = 0; i < accepts_a_turn; ++i)
        {
            // Whether another one waits is not known: room is made only for
            // one that does.
            if (is_full() && i > 0)
                break;
            if (is_full() && !server_->make_room())
            {
                note_failure("as many connections as allowed");
                return accept_later();
            }
            const error_code error = accept_one();
            if (error == asio::error::would_block || (error && i > 0))
                break;
            if (error)
                return on_failure(error);
            retried_ = false;
        }
        wait_for_connection();
    }

    error_code accept_one()
    {
        error_code error;
        tcp::socket accepted(server_->next_context());
        acceptor_.accept(accepted, error);
        if (!error)
            server_->serve(std::move(accepted));
        return error;
    }

    [[nodiscard]] bool is_full() const
    {
        return server_->connections() >= limits_.connections;
    }

    void on_failure(error_code why)
    {
        note_failure(why.message());
        // Others may have taken what was made free, so only once.
        const bool again = server_->make_room() && !retried_;
        retried_ = again;
        if (again)
            accept_again();
        else
            accept_later();
    }

    void accept_again()
    {
        if (closing_)
            close();
        else
            accept_waiting();
    }

    void note_failure(const std::string& why)
    {
        report_.failed(now(), why, server_->connections());
        wait_for_calm();
    }

    void accept_later()
    {
        pause_.expires_after(accept_pause);
        pause_.async_wait(
            [self = this->shared_from_this()](error_code error)
            {
                if (!error && self->server_ != nullptr &&
                    self->acceptor_.is_open())
                    self->after_pause();
            });
    }

    void after_pause()
    {
        if (closing_)
            close();
        else
            wait_for_connection();
    }

    void wait_for_calm()
    {
        calm_.expires_after(accept_calm);
        calm_.async_wait(
            [self = this->shared_from_this()](error_code error)
            {
                if (!error && self->server_ != nullptr)
                    self->report_.recovered(now());
            });
    }

    Server* server_;
    listener_limits limits_;
    accept_report report_;
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    asio::steady_timer calm_;
    /// The last accept failed and was tried again without a pause.
    bool retried_ = false;
    bool closing_ = false;
};

} // namespace sycamorelock::adapters
