// Links to the other instances. Delivery is best effort: the core
// repeats what matters.
#pragma once

#include "sycamorelock/adapters/metrics.hpp"
#include "sycamorelock/core/topology.hpp"
#include "sycamorelock/wire/codec.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

struct peer_link_settings
{
    core::instance_id self;
    std::uint32_t incarnation = 0;
    /// IP address to listen on and to connect from.
    std::string address;
    std::uint16_t port = 0;
    std::string key;
};

class peer_link
{
  public:
    /// Called with raw bytes on the thread that runs the io_context.
    using receiver = std::function<void(std::string)>;
    /// Called there when a connection ends because its bytes cannot be read,
    /// with the other side's IP address and the reason.
    using violation_handler =
        std::function<void(const std::string&, std::string_view)>;

    /// \param io must outlive the links.
    /// \throws std::runtime_error if the address cannot be listened on.
    peer_link(boost::asio::io_context& io, peer_link_settings settings,
              peer_metrics& metrics, receiver on_bytes,
              violation_handler on_violation);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Follows the member list: closes links to instances that left it or
    /// moved. Links are opened when first used.
    void set_members(const core::membership& list);

    /// Sends to a listed instance; drops the oldest messages if its queue is
    /// full.
    void send(core::instance_id to, std::vector<core::peer_message> messages);

    /// Sends to an address whose instance is not known yet.
    void send_to_seed(const std::string& address,
                      std::vector<core::peer_message> messages);

    /// Instances whose connection broke and has not been made again.
    [[nodiscard]] std::set<core::instance_id> lost() const;

    /// Checks and decodes received bytes; nothing if they must be dropped.
    /// Called on the control thread only.
    std::optional<wire::envelope> accept(const std::string& bytes);

  private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters
