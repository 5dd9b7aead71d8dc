// The sending end of a connection between instances.
#include "http.hpp"
#include "peer_socket.hpp"
#include "push_pull.hpp"
#include "shared_io.hpp"
#include "sp_framing.hpp"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <random>

namespace sycamorelock::adapters
{

namespace
{

using std::chrono::milliseconds;

/// Messages kept for a peer that does not read. More would only be stale.
constexpr std::size_t send_queue = 64;
/// Bytes kept for it; a single message may be larger.
constexpr std::size_t send_queue_bytes = 1024 * 1024;
/// Pause before the next attempt to connect, doubled with each that fails.
constexpr milliseconds reconnect_least{100};
constexpr milliseconds reconnect_most{1000};
/// Time for an attempt, with both greetings.
constexpr std::chrono::seconds attempt_limit{10};

} // namespace

/// One mutex guards everything: senders call on their threads, and operations
/// complete on the thread of the io_context. An operation of a socket that has
/// been replaced since finds another one in `socket_` and does nothing.
class push_link::connection : public std::enable_shared_from_this<connection>
{
  public:
    connection(asio::io_context& io, const std::string& from,
               const std::string& to)
        : io_(io), timer_(io), random_(std::random_device{}())
    {
        error_code error;
        const auto own = asio::ip::make_address(from, error);
        if (error)
            return;
        try
        {
            peer_ = parse_address(to);
            own_ = own;
            valid_ = true;
        }
        catch (const std::exception&)
        {
            // A peer may tell anything as its address.
            valid_ = false;
        }
    }

    void start()
    {
        const std::lock_guard lock(mutex_);
        dial();
    }

    void close()
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        timer_.cancel();
        drop_socket();
        waiting_.clear();
    }

    bool send(std::string_view bytes)
    {
        const std::lock_guard lock(mutex_);
        if (now_ == state::connected && waiting_.empty())
            return write_at_once(bytes);
        const bool fits = make_room(bytes.size());
        keep(bytes, 0);
        return fits;
    }

    void redial()
    {
        const std::lock_guard lock(mutex_);
        if (now_ != state::connected)
            return;
        now_ = state::lost;
        dial();
    }

    void connect_anew()
    {
        const std::lock_guard lock(mutex_);
        waiting_.clear();
        waiting_bytes_ = 0;
        now_ = state::new_link;
        dial();
    }

    [[nodiscard]] bool lost() const { return now_ == state::lost; }
    [[nodiscard]] bool connected() const { return now_ == state::connected; }

  private:
    enum class state : std::uint8_t
    {
        new_link,
        connected,
        lost,
    };
    /// What is left to write of a message.
    struct outgoing
    {
        std::string frame;
        std::size_t written = 0;
    };
    using socket_pointer = std::shared_ptr<tcp::socket>;

    void drop_socket()
    {
        error_code ignored;
        if (socket_)
            socket_->close(ignored);
        socket_.reset();
        writing_ = false;
        // The peer has not taken a message that was cut off.
        if (!waiting_.empty())
            waiting_.front().written = 0;
    }

    void dial()
    {
        drop_socket();
        if (closed_ || !valid_)
            return;
        socket_ = std::make_shared<tcp::socket>(io_);
        reader_ = sp::frame_reader(sp::protocol::pull, 0);
        error_code error;
        socket_->open(peer_.protocol(), error);
        if (!error)
            // The source address lets operators and tests tell peers apart.
            socket_->bind({own_, 0}, error);
        if (error)
            return dial_later();
        prepare_peer_socket(*socket_);
        limit_attempt();
        socket_->async_connect(
            peer_, [self = shared_from_this(), socket = socket_](error_code end)
            { self->on_connect(socket, end); });
    }

    void limit_attempt()
    {
        timer_.expires_after(attempt_limit);
        timer_.async_wait(
            [self = shared_from_this(), socket = socket_](error_code error)
            {
                const std::lock_guard lock(self->mutex_);
                if (!error && socket == self->socket_ && !self->connected())
                    self->dial_later();
            });
    }

    void dial_later()
    {
        drop_socket();
        std::uniform_int_distribution<milliseconds::rep> part(
            pause_.count() / 2, pause_.count());
        timer_.expires_after(milliseconds(part(random_)));
        pause_ = std::min(2 * pause_, reconnect_most);
        timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                const std::lock_guard lock(self->mutex_);
                if (!error && !self->socket_)
                    self->dial();
            });
    }

    void on_connect(const socket_pointer& socket, error_code error)
    {
        const std::lock_guard lock(mutex_);
        if (socket != socket_)
            return;
        const auto greeting = sp::greeting_of(sp::protocol::push);
        if (!error)
            socket_->write_some(asio::buffer(greeting), error);
        if (error)
            return dial_later();
        wait_to_read();
    }

    /// The peer sends its greeting and nothing else; what comes besides is the
    /// end of the connection.
    void wait_to_read()
    {
        socket_->async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), socket = socket_](error_code error)
            { self->on_readable(socket, error); });
    }

    void on_readable(const socket_pointer& socket, error_code error)
    {
        const std::lock_guard lock(mutex_);
        if (socket != socket_)
            return;
        std::array<char, 64> bytes{};
        std::size_t size = 0;
        if (!error)
            size = socket_->read_some(asio::buffer(bytes), error);
        if (error == asio::error::would_block)
            return wait_to_read();
        bool sent_message = false;
        const auto found =
            reader_.read({bytes.data(), size},
                         [&](const std::string&) { sent_message = true; });
        if (error || sent_message || found != sp::violation::none)
            return lose();
        if (reader_.greeted() && now_ != state::connected)
        {
            now_ = state::connected;
            pause_ = reconnect_least;
            timer_.cancel();
            flush();
        }
        if (socket == socket_)
            wait_to_read();
    }

    void lose()
    {
        if (now_ == state::connected)
            now_ = state::lost;
        dial_later();
    }

    /// Drops the oldest messages until another one fits, as newer ones replace
    /// what they tell. Returns false if it dropped any.
    bool make_room(std::size_t size)
    {
        bool fits = true;
        while (!waiting_.empty() && (waiting_.size() >= send_queue ||
                                     waiting_bytes_ + size > send_queue_bytes))
        {
            // The rest of a message that is partly written must follow.
            const bool begun = waiting_.front().written > 0;
            if (begun && waiting_.size() == 1)
                break;
            const auto oldest = waiting_.begin() + (begun ? 1 : 0);
            waiting_bytes_ -= oldest->frame.size();
            waiting_.erase(oldest);
            fits = false;
        }
        return fits;
    }

    void keep(std::string_view bytes, std::size_t written)
    {
        const auto prefix = sp::length_prefix(bytes.size());
        std::string frame(prefix.begin(), prefix.end());
        frame.append(bytes);
        waiting_bytes_ += frame.size();
        waiting_.push_back({std::move(frame), written});
    }

    /// Most messages need no copy and no turn of the event loop.
    bool write_at_once(std::string_view bytes)
    {
        const auto prefix = sp::length_prefix(bytes.size());
        const std::array<asio::const_buffer, 2> frame = {
            asio::buffer(prefix), asio::buffer(bytes.data(), bytes.size())};
        error_code error;
        const std::size_t written = socket_->write_some(frame, error);
        if (written == prefix.size() + bytes.size())
            return true;
        keep(bytes, written);
        if (error && error != asio::error::would_block)
            lose();
        else
            wait_to_write();
        return true;
    }

    void wait_to_write()
    {
        if (writing_)
            return;
        writing_ = true;
        socket_->async_wait(
            tcp::socket::wait_write,
            [self = shared_from_this(), socket = socket_](error_code error)
            {
                const std::lock_guard lock(self->mutex_);
                if (socket != self->socket_)
                    return;
                self->writing_ = false;
                if (error)
                    return self->lose();
                self->flush();
            });
    }

    void flush()
    {
        while (!waiting_.empty())
        {
            outgoing& next = waiting_.front();
            error_code error;
            next.written += socket_->write_some(
                asio::buffer(next.frame) + next.written, error);
            if (error == asio::error::would_block)
                return wait_to_write();
            if (error)
                return lose();
            if (next.written < next.frame.size())
                continue;
            waiting_bytes_ -= next.frame.size();
            waiting_.pop_front();
        }
    }

    mutable std::mutex mutex_;
    asio::io_context& io_;
    asio::ip::address own_;
    tcp::endpoint peer_;
    bool valid_ = false;
    bool closed_ = false;
    std::atomic<state> now_{state::new_link};
    socket_pointer socket_;
    sp::frame_reader reader_{sp::protocol::pull, 0};
    /// Of the attempt that is under way, or of the pause before the next.
    asio::steady_timer timer_;
    milliseconds pause_ = reconnect_least;
    std::minstd_rand random_;
    /// A wait for room in the socket is under way.
    bool writing_ = false;
    std::deque<outgoing> waiting_;
    std::size_t waiting_bytes_ = 0;
};

push_link::push_link(const std::string& from, const std::string& to)
    : push_link(shared_io(), from, to)
{
}

push_link::push_link(boost::asio::io_context& io, const std::string& from,
                     const std::string& to)
    : connection_(std::make_shared<connection>(io, from, to))
{
    connection_->start();
}

push_link::~push_link()
{
    connection_->close();
}

bool push_link::send(std::string_view bytes)
{
    return connection_->send(bytes);
}

bool push_link::lost() const
{
    return connection_->lost();
}

bool push_link::connected() const
{
    return connection_->connected();
}

void push_link::redial()
{
    connection_->redial();
}

void push_link::connect_anew()
{
    connection_->connect_anew();
}

} // namespace sycamorelock::adapters
