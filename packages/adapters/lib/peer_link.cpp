// One pull socket to receive, one push socket for each peer.
#include "sycamorelock/adapters/peer_link.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>
#include <stdexcept>

namespace sycamorelock::adapters
{

namespace
{

/// Messages kept for a peer that does not read. More would only be stale.
constexpr int send_queue = 64;
constexpr int receive_queue = 256;
constexpr nng_duration reconnect_least = 100;
constexpr nng_duration reconnect_most = 1000;

void check(int status, const std::string& what)
{
    if (status != 0)
        throw std::runtime_error(what + ": " + nng_strerror(status));
}

/// A push socket that dials one address in the background.
class outgoing
{
  public:
    outgoing(const std::string& from, const std::string& to)
    {
        check(nng_push0_open(&socket_), "push socket");
        nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, &outgoing::on_pipe,
                        this);
        nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, &outgoing::on_pipe,
                        this);
        nng_socket_set_int(socket_, NNG_OPT_SENDBUF, send_queue);
        nng_socket_set_bool(socket_, NNG_OPT_TCP_KEEPALIVE, true);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, reconnect_least);
        nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, reconnect_most);
        // The source address lets operators and tests tell peers apart.
        const std::string url = "tcp://" + from + ';' + to;
        nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ~outgoing() { nng_close(socket_); }
    outgoing(const outgoing&) = delete;
    outgoing& operator=(const outgoing&) = delete;

    bool send(const std::string& bytes)
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

    /// The connection stood once and does not now.
    [[nodiscard]] bool lost() const { return state_ == state::lost; }

  private:
    enum class state
    {
        new_link,
        connected,
        lost,
    };

    /// Called on an nng thread.
    static void on_pipe(nng_pipe, nng_pipe_ev event, void* self)
    {
        auto& link = *static_cast<outgoing*>(self);
        link.state_ =
            event == NNG_PIPE_EV_ADD_POST ? state::connected : state::lost;
    }

    nng_socket socket_{};
    std::atomic<state> state_{state::new_link};
};

} // namespace

class peer_link::impl
{
  public:
    impl(peer_link_settings settings, peer_metrics& metrics, receiver on_bytes)
        : settings_(std::move(settings)), metrics_(metrics),
          on_bytes_(std::move(on_bytes))
    {
        check(nng_pull0_open(&inbox_), "pull socket");
        nng_socket_set_int(inbox_, NNG_OPT_RECVBUF, receive_queue);
        nng_socket_set_size(inbox_, NNG_OPT_RECVMAXSZ, wire::max_datagram);
        check(nng_aio_alloc(&aio_, &impl::on_receive, this), "aio");
        const std::string url =
            "tcp://" + settings_.address + ':' + std::to_string(settings_.port);
        check(nng_listen(inbox_, url.c_str(), nullptr, 0), "listen on " + url);
        nng_recv_aio(inbox_, aio_);
    }

    ~impl()
    {
        nng_close(inbox_);
        nng_aio_stop(aio_);
        nng_aio_free(aio_);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void set_members(const core::membership& list)
    {
        std::erase_if(peers_,
                      [&](const auto& entry)
                      {
                          const auto found = list.members.find(entry.first);
                          return found == list.members.end() ||
                                 found->second.address != entry.second.address;
                      });
        addresses_.clear();
        for (const auto& [id, member] : list.members)
            addresses_[id] = member.address;
    }

    void send(core::instance_id to, std::vector<core::peer_message> messages)
    {
        const auto address = addresses_.find(to);
        if (address == addresses_.end())
            return;
        peer& target = peers_[to];
        if (!target.link)
        {
            target.address = address->second;
            target.link =
                std::make_unique<outgoing>(settings_.address, target.address);
        }
        transmit(*target.link, to, std::move(messages));
    }

    void send_to_seed(const std::string& address,
                      std::vector<core::peer_message> messages)
    {
        auto& link = seeds_[address];
        if (!link)
            link = std::make_unique<outgoing>(settings_.address, address);
        transmit(*link, core::instance_id{}, std::move(messages));
    }

    [[nodiscard]] std::set<core::instance_id> lost() const
    {
        std::set<core::instance_id> result;
        for (const auto& [id, target] : peers_)
        {
            if (target.link && target.link->lost())
                result.insert(id);
        }
        return result;
    }

    std::optional<wire::envelope> accept(const std::string& bytes)
    {
        metrics_.received_bytes += bytes.size() + framing;
        ++metrics_.received_messages;
        try
        {
            wire::envelope content =
                wire::decode(bytes, settings_.self, settings_.key);
            if (content.sender != settings_.self && filter_.accept(content))
            {
                renew_link(content);
                return content;
            }
        }
        catch (const wire::decode_error&)
        {
        }
        ++metrics_.dropped_invalid;
        return std::nullopt;
    }

  private:
    struct peer
    {
        std::string address;
        std::unique_ptr<outgoing> link;
    };

    /// Length prefix of nng plus the TCP and IP headers of one segment.
    static constexpr std::size_t framing = 8 + 52;

    /// A restarted peer cannot read what was sent to its earlier self, and the
    /// old connection may be half open: the next message dials anew.
    void renew_link(const wire::envelope& content)
    {
        std::uint32_t& known = incarnations_[content.sender];
        if (known != 0 && known != content.incarnation)
            peers_.erase(content.sender);
        known = content.incarnation;
    }

    void transmit(outgoing& link, core::instance_id to,
                  std::vector<core::peer_message> messages)
    {
        wire::envelope content;
        content.sender = settings_.self;
        content.incarnation = settings_.incarnation;
        content.receiver = to;
        content.sequence = ++sequence_;
        content.messages = std::move(messages);
        for (const core::peer_message& message : content.messages)
            ++metrics_.sent_by_type.at(message.index());
        const std::string bytes = wire::encode(content, settings_.key);
        if (!link.send(bytes))
        {
            ++metrics_.dropped_full;
            return;
        }
        metrics_.sent_bytes += bytes.size() + framing;
        ++metrics_.sent_messages;
    }

    static void on_receive(void* self) { static_cast<impl*>(self)->receive(); }

    void receive()
    {
        if (nng_aio_result(aio_) != 0)
            return;
        nng_msg* content = nng_aio_get_msg(aio_);
        on_bytes_(std::string(static_cast<const char*>(nng_msg_body(content)),
                              nng_msg_len(content)));
        nng_msg_free(content);
        nng_recv_aio(inbox_, aio_);
    }

    peer_link_settings settings_;
    peer_metrics& metrics_;
    receiver on_bytes_;
    nng_socket inbox_{};
    nng_aio* aio_ = nullptr;
    wire::replay_filter filter_;
    std::map<core::instance_id, std::string> addresses_;
    std::map<core::instance_id, peer> peers_;
    std::map<core::instance_id, std::uint32_t> incarnations_;
    std::map<std::string, std::unique_ptr<outgoing>> seeds_;
    std::uint64_t sequence_ = 0;
};

peer_link::peer_link(peer_link_settings settings, peer_metrics& metrics,
                     receiver on_bytes)
    : impl_(std::make_unique<impl>(std::move(settings), metrics,
                                   std::move(on_bytes)))
{
}

peer_link::~peer_link() = default;

void peer_link::set_members(const core::membership& list)
{
    impl_->set_members(list);
}

void peer_link::send(core::instance_id to,
                     std::vector<core::peer_message> messages)
{
    impl_->send(to, std::move(messages));
}

void peer_link::send_to_seed(const std::string& address,
                             std::vector<core::peer_message> messages)
{
    impl_->send_to_seed(address, std::move(messages));
}

std::optional<wire::envelope> peer_link::accept(const std::string& bytes)
{
    return impl_->accept(bytes);
}

std::set<core::instance_id> peer_link::lost() const
{
    return impl_->lost();
}

} // namespace sycamorelock::adapters
