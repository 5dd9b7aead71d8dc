// The receiving end of connections between instances.
#include "http.hpp"
#include "memory_share.hpp"
#include "peer_socket.hpp"
#include "push_pull.hpp"
#include "shared_io.hpp"
#include "sp_framing.hpp"

#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/adapters/descriptor_limits.hpp"
#include "sycamorelock/wire/codec.hpp"

#include <algorithm>
#include <functional>
#include <mutex>
#include <set>
#include <stdexcept>
#include <vector>

namespace sycamorelock::adapters
{

namespace
{

/// Read at a time from one peer, so that none of them holds up the others.
constexpr std::size_t read_size = 64 * 1024;
/// Time for a peer's greeting.
constexpr std::chrono::seconds greeting_limit{10};
/// Pause after an accept that failed, as when descriptors are used up.
constexpr std::chrono::milliseconds accept_pause{100};
/// For incomplete messages: four of the largest at the same time, or thousands
/// of usual ones. Any host can connect, and a message is authenticated only
/// when it is complete.
const core::connection_memory_limits message_memory{
    core::byte_count(4 * wire::max_datagram), core::byte_count(1024),
    std::chrono::seconds(1)};

} // namespace

/// One mutex guards everything: the inbox may be closed on any thread, and
/// operations complete on the thread of the io_context. They hold the listener
/// and their peer, so that a close need not wait for them.
class pull_inbox::listener : public std::enable_shared_from_this<listener>
{
  public:
    listener(asio::io_context& io, receiver on_bytes,
             violation_handler on_violation)
        : on_bytes_(std::move(on_bytes)),
          on_violation_(std::move(on_violation)),
          memory_(message_memory, counters_),
          most_peers_(peer_connections(descriptor_limit())), acceptor_(io),
          pause_(io), scratch_(read_size)
    {
    }

    void start(const std::string& at)
    {
        const tcp::endpoint own = parse_address(at);
        const std::lock_guard lock(mutex_);
        acceptor_.open(own.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(own);
        acceptor_.listen(asio::socket_base::max_listen_connections);
        accept();
    }

    void close()
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        pause_.cancel();
        while (!peers_.empty())
            drop(*peers_.begin());
    }

  private:
    struct peer
    {
        peer(tcp::socket accepted, memory_pool& pool,
             std::function<void(peer*)> on_evicted)
            : socket(std::move(accepted)), greeting(socket.get_executor()),
              memory(pool, [this, on_evicted = std::move(on_evicted)]
                     { on_evicted(this); })
        {
        }
        tcp::socket socket;
        asio::steady_timer greeting;
        sp::frame_reader reader{sp::protocol::push, wire::max_datagram};
        memory_share memory;
        core::time_point heard_at = now();
    };
    using peer_pointer = std::shared_ptr<peer>;

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code error, tcp::socket socket)
            {
                const std::lock_guard lock(self->mutex_);
                if (self->closed_)
                    return;
                if (error)
                    return self->accept_later();
                self->make_room();
                self->add(
                    std::make_shared<peer>(std::move(socket), self->memory_,
                                           [owner = self.get()](peer* which)
                                           { owner->evict(which); }));
                self->accept();
            });
    }

    /// Ends the connection that has been silent longest. Instances send several
    /// times a second and reconnect.
    void make_room()
    {
        if (peers_.size() < most_peers_)
            return;
        const auto quietest = std::ranges::min_element(
            peers_, {},
            [](const peer_pointer& each) { return each->heard_at; });
        end(*quietest, sp::violation::evicted);
    }

    void evict(peer* which)
    {
        const auto found =
            std::ranges::find_if(peers_, [which](const peer_pointer& each)
                                 { return each.get() == which; });
        if (found != peers_.end())
            end(*found, sp::violation::evicted);
    }

    void accept_later()
    {
        pause_.expires_after(accept_pause);
        pause_.async_wait(
            [self = shared_from_this()](error_code)
            {
                const std::lock_guard lock(self->mutex_);
                if (!self->closed_)
                    self->accept();
            });
    }

    void add(const peer_pointer& from)
    {
        prepare_peer_socket(from->socket);
        probe_resting_peer(from->socket);
        const auto greeting = sp::greeting_of(sp::protocol::pull);
        error_code error;
        from->socket.write_some(asio::buffer(greeting), error);
        if (error)
            return;
        peers_.insert(from);
        limit_greeting(from);
        wait_for(from);
    }

    void limit_greeting(const peer_pointer& from)
    {
        from->greeting.expires_after(greeting_limit);
        from->greeting.async_wait(
            [self = shared_from_this(), from](error_code error)
            {
                const std::lock_guard lock(self->mutex_);
                if (!error && !from->reader.greeted())
                    self->end(from, sp::violation::no_greeting);
            });
    }

    void wait_for(const peer_pointer& from)
    {
        from->socket.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), from](error_code error)
            { self->on_readable(from, error); });
    }

    void on_readable(const peer_pointer& from, error_code error)
    {
        const std::lock_guard lock(mutex_);
        if (!peers_.contains(from))
            return;
        std::size_t size = 0;
        if (!error)
            size = from->socket.read_some(asio::buffer(scratch_), error);
        if (error == asio::error::would_block)
            return wait_for(from);
        if (error)
            return end(from, from->reader.at_end());
        from->heard_at = now();
        sp::violation found =
            from->reader.read({scratch_.data(), size}, [this](std::string bytes)
                              { on_bytes_(std::move(bytes)); });
        from->memory.note_progress();
        if (found == sp::violation::none &&
            !from->memory.hold(memory_part::unparsed, from->reader.held()))
            found = sp::violation::evicted;
        if (found != sp::violation::none)
            return end(from, found);
        if (from->reader.greeted())
            from->greeting.cancel();
        wait_for(from);
    }

    // By value: the set may hold the last other reference.
    void end(peer_pointer from, sp::violation why)
    {
        if (!peers_.contains(from))
            return;
        error_code error;
        const tcp::endpoint address = from->socket.remote_endpoint(error);
        drop(from);
        if (why != sp::violation::none && on_violation_)
            on_violation_(error ? "unknown" : address.address().to_string(),
                          to_string(why));
    }

    void drop(peer_pointer from)
    {
        error_code ignored;
        from->socket.close(ignored);
        from->greeting.cancel();
        peers_.erase(from);
    }

    std::mutex mutex_;
    receiver on_bytes_;
    violation_handler on_violation_;
    caller_metrics counters_;
    memory_pool memory_;
    std::size_t most_peers_;
    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::set<peer_pointer> peers_;
    std::vector<char> scratch_;
    bool closed_ = false;
};

pull_inbox::pull_inbox(const std::string& at, receiver on_bytes)
    : pull_inbox(shared_io(), at, std::move(on_bytes), {})
{
}

pull_inbox::pull_inbox(boost::asio::io_context& io, const std::string& at,
                       receiver on_bytes, violation_handler on_violation)
    : listener_(std::make_shared<listener>(io, std::move(on_bytes),
                                           std::move(on_violation)))
{
    try
    {
        listener_->start(at);
    }
    catch (const std::exception& error)
    {
        throw std::runtime_error("listen on " + at + ": " + error.what());
    }
}

pull_inbox::~pull_inbox()
{
    listener_->close();
}

} // namespace sycamorelock::adapters
