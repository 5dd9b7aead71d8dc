// The only source that speaks to nng.
#include "nng_link.hpp"

#include "sycamorelock/wire/codec.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace sycamorelock::adapters
{

namespace
{

/// Messages kept for a peer that does not read. More would only be stale.
constexpr int send_queue = 64;
constexpr int receive_queue = 256;
constexpr nng_duration reconnect_least = 100;
constexpr nng_duration reconnect_most = 1000;
/// Once nobody receives, nng takes one more message from each connection. After
/// this time none is under way, and the close leaves no receive unfinished.
constexpr std::chrono::milliseconds inbox_pause{20};

/// Closes sockets one after the other on a thread of its own. In nng 1.5 the
/// thread that frees connections may wait forever for one that ended while
/// messages came, and from then on no close of the process returns.
class socket_closer
{
  public:
    /// Lives as long as the process: its thread may never return.
    static socket_closer& instance()
    {
        static auto* const only = new socket_closer;
        return *only;
    }

    /// \param kept what callbacks of the socket use until it is closed.
    /// \param pause time for messages that are under way to arrive.
    void close(nng_socket socket, std::shared_ptr<void> kept,
               std::chrono::milliseconds pause = std::chrono::milliseconds(0))
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back({socket, std::move(kept), pause});
        more_.notify_one();
    }

    /// Closes have ceased to return: sockets that are closed stay.
    [[nodiscard]] bool is_stuck() const
    {
        const std::lock_guard lock(mutex_);
        return waiting_.size() > most_waiting;
    }

  private:
    struct item
    {
        nng_socket socket{};
        std::shared_ptr<void> kept;
        std::chrono::milliseconds pause{0};
    };
    /// A close takes some ms, and an instance closes a few sockets a second.
    static constexpr std::size_t most_waiting = 16;

    socket_closer()
    {
        std::thread([this] { run(); }).detach();
    }

    void run()
    {
        for (;;)
        {
            std::unique_lock lock(mutex_);
            more_.wait(lock, [this] { return !waiting_.empty(); });
            const item next = waiting_.front();
            lock.unlock();
            std::this_thread::sleep_for(next.pause);
            nng_close(next.socket);
            lock.lock();
            waiting_.pop_front();
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable more_;
    /// The first one is being closed.
    std::deque<item> waiting_;
};

void check(int status, const std::string& what)
{
    if (status != 0)
        throw std::runtime_error(what + ": " + nng_strerror(status));
}

} // namespace

push_link::push_link(const std::string& from, const std::string& to)
    // The source address lets operators and tests tell peers apart.
    : url_("tcp://" + from + ';' + to)
{
    open();
}

void push_link::open()
{
    check(nng_push0_open(&socket_), "push socket");
    nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, &push_link::on_pipe,
                    shared_.get());
    nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, &push_link::on_pipe,
                    shared_.get());
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, send_queue);
    nng_socket_set_bool(socket_, NNG_OPT_TCP_KEEPALIVE, true);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, reconnect_least);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, reconnect_most);
    nng_dial(socket_, url_.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

void push_link::connect_anew()
{
    // The socket goes on dialling by itself. Another one besides would cost
    // memory and descriptors for good.
    if (socket_closer::instance().is_stuck())
        return;
    socket_closer::instance().close(socket_, shared_);
    shared_ = std::make_shared<shared_state>();
    open();
}

push_link::~push_link()
{
    socket_closer::instance().close(socket_, shared_);
}

void push_link::redial()
{
    const std::uint32_t id = shared_->pipe.exchange(0);
    nng_pipe pipe = NNG_PIPE_INITIALIZER;
    pipe.id = id;
    if (id != 0)
        nng_pipe_close(pipe);
}

bool push_link::send(const std::string& bytes)
{
    nng_msg* content = nullptr;
    if (nng_msg_alloc(&content, 0) != 0)
        return false;
    nng_msg_append(content, bytes.data(), bytes.size());
    if (nng_sendmsg(socket_, content, NNG_FLAG_NONBLOCK) == 0)
        return true;
    nng_msg_free(content);
    return false;
}

void push_link::on_pipe(nng_pipe pipe, nng_pipe_ev event, void* shared)
{
    auto& link = *static_cast<shared_state*>(shared);
    const bool added = event == NNG_PIPE_EV_ADD_POST;
    link.pipe = added ? pipe.id : 0;
    link.now = added ? state::connected : state::lost;
}

pull_inbox::pull_inbox(const std::string& at, receiver on_bytes)
    : on_bytes_(std::move(on_bytes))
{
    check(nng_pull0_open(&socket_), "pull socket");
    nng_socket_set_int(socket_, NNG_OPT_RECVBUF, receive_queue);
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, wire::max_datagram);
    check(nng_aio_alloc(&aio_, &pull_inbox::on_receive, this), "aio");
    const std::string url = "tcp://" + at;
    check(nng_listen(socket_, url.c_str(), nullptr, 0), "listen on " + url);
    nng_recv_aio(socket_, aio_);
}

pull_inbox::~pull_inbox()
{
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
    socket_closer::instance().close(socket_, nullptr, inbox_pause);
}

void pull_inbox::on_receive(void* self)
{
    static_cast<pull_inbox*>(self)->receive();
}

void pull_inbox::receive()
{
    if (nng_aio_result(aio_) != 0)
        return;
    nng_msg* content = nng_aio_get_msg(aio_);
    on_bytes_(std::string(static_cast<const char*>(nng_msg_body(content)),
                          nng_msg_len(content)));
    nng_msg_free(content);
    nng_recv_aio(socket_, aio_);
}

} // namespace sycamorelock::adapters
