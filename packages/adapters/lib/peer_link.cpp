// One inbox to receive, one link for each peer.
#include "sycamorelock/adapters/peer_link.hpp"

#include "push_pull.hpp"

#include <map>

namespace sycamorelock::adapters
{

class peer_link::impl
{
  public:
    impl(boost::asio::io_context& io, peer_link_settings settings,
         peer_metrics& metrics, receiver on_bytes,
         violation_handler on_violation)
        : io_(io), settings_(std::move(settings)), metrics_(metrics),
          inbox_(io, settings_.address + ':' + std::to_string(settings_.port),
                 std::move(on_bytes), std::move(on_violation))
    {
    }

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
            target.link = std::make_unique<push_link>(io_, settings_.address,
                                                      target.address);
        }
        transmit(*target.link, to, std::move(messages));
    }

    void send_to_seed(const std::string& address,
                      std::vector<core::peer_message> messages)
    {
        auto& link = seeds_[address];
        if (!link)
            link = std::make_unique<push_link>(io_, settings_.address, address);
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
        std::unique_ptr<push_link> link;
    };

    /// Length prefix of a message plus the TCP and IP headers of one segment.
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

    void transmit(push_link& link, core::instance_id to,
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
            ++metrics_.dropped_full;
        metrics_.sent_bytes += bytes.size() + framing;
        ++metrics_.sent_messages;
    }

    boost::asio::io_context& io_;
    peer_link_settings settings_;
    peer_metrics& metrics_;
    wire::replay_filter filter_;
    std::map<core::instance_id, std::string> addresses_;
    std::map<core::instance_id, peer> peers_;
    std::map<core::instance_id, std::uint32_t> incarnations_;
    std::map<std::string, std::unique_ptr<push_link>> seeds_;
    std::uint64_t sequence_ = 0;
    /// Last, so that nothing arrives before the rest stands or after it is
    /// gone.
    pull_inbox inbox_;
};

peer_link::peer_link(boost::asio::io_context& io, peer_link_settings settings,
                     peer_metrics& metrics, receiver on_bytes,
                     violation_handler on_violation)
    : impl_(std::make_unique<impl>(io, std::move(settings), metrics,
                                   std::move(on_bytes),
                                   std::move(on_violation)))
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
