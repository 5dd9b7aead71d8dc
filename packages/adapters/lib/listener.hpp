// Accepts connections, in the same way for every listener of an instance.
#pragma once

#include "accept_report.hpp"

#include "sycamorelock/adapters/clocks.hpp"

#include <concepts>
#include <memory>

namespace sycamorelock::adapters
{

/// Pause after an accept that failed, as when no descriptor is free: tried
/// again at once, it fails again and takes the processor from what would free
/// one.
inline constexpr std::chrono::milliseconds accept_pause{20};
/// Accepts have recovered when none has failed for this long.
inline constexpr std::chrono::seconds accept_calm{1};

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
    /// Ends connections that rest, so that others find descriptors.
    server.make_room();
};

struct listener_limits
{
    /// Connections that the kernel keeps until they are accepted.
    int backlog = asio::socket_base::max_listen_connections;
    /// Connections accepted in one turn of the event loop.
    int accepts_a_turn = 1;
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
        acceptor_.bind(at);
        acceptor_.listen(limits_.backlog);
        acceptor_.non_blocking(true);
    }

    void start() { accept(); }

    /// Takes the connections that wait to be accepted, and no more of them: the
    /// kernel resets those that are not accepted when the listener closes.
    void close()
    {
        if (!acceptor_.is_open())
            return;
        accept_waiting(limits_.backlog);
        close_acceptor();
    }

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
    void close_acceptor()
    {
        error_code ignored;
        acceptor_.close(ignored);
        pause_.cancel();
        calm_.cancel();
    }

    void accept()
    {
        acceptor_.async_accept(
            server_->next_context(),
            [self = this->shared_from_this()](error_code error,
                                              tcp::socket accepted)
            {
                if (self->server_ == nullptr)
                    return;
                // One may have been accepted before the listener closed.
                if (!error)
                    self->server_->serve(std::move(accepted));
                if (!self->acceptor_.is_open())
                    return;
                if (error)
                    return self->accept_later(error);
                self->accept_waiting(self->limits_.accepts_a_turn - 1);
                self->accept();
            });
    }

    void accept_waiting(int most)
    {
        for (int i = 0; i < most; ++i)
        {
            error_code error;
            tcp::socket accepted(server_->next_context());
            acceptor_.accept(accepted, error);
            if (error)
                return;
            server_->serve(std::move(accepted));
        }
    }

    void accept_later(error_code why)
    {
        report_.failed(now(), why, server_->connections());
        server_->make_room();
        wait_for_calm();
        pause_.expires_after(accept_pause);
        pause_.async_wait(
            [self = this->shared_from_this()](error_code error)
            {
                if (!error && self->acceptor_.is_open())
                    self->accept();
            });
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
};

} // namespace sycamorelock::adapters
