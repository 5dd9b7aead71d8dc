// Connections between instances: one inbox receives, one link for each peer
// sends. They speak the Scalability Protocols' push and pull over TCP.
//
// No close waits for anybody: neither for the peer, nor for a thread, nor for
// an operation that is under way.
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamorelock::adapters
{

/// Sends to one address and connects to it in the background, again and again.
/// All members may be called on any thread.
class push_link
{
  public:
    /// Connects on a thread that all links without an io_context share.
    /// \param from IP address to connect from.
    /// \param to   IP:port of the peer. A link to anything else never connects.
    push_link(const std::string& from, const std::string& to);
    /// \param io must outlive the link.
    push_link(boost::asio::io_context& io, const std::string& from,
              const std::string& to);
    ~push_link();
    push_link(const push_link&) = delete;
    push_link& operator=(const push_link&) = delete;

    /// Keeps a message until it can be written. Returns false if older ones
    /// were dropped because too many wait.
    bool send(std::string_view bytes);

    /// The connection stood once and does not now.
    [[nodiscard]] bool lost() const;
    [[nodiscard]] bool connected() const;

    /// Drops the connection, if there is one, and connects again.
    void redial();
    /// The same for a connection that does not come about: the attempt that is
    /// under way is given up, and messages that wait for it are dropped.
    void connect_anew();

  private:
    class connection;
    std::shared_ptr<connection> connection_;
};

/// Takes connections of links and hands over what arrives on them.
class pull_inbox
{
  public:
    /// Called with the bytes of a message, on the thread that runs the inbox's
    /// io_context. Must not destroy the inbox.
    using receiver = std::function<void(std::string)>;
    /// Called there too when a peer's bytes end its connection, with the peer's
    /// address and the reason. Must not destroy the inbox either.
    using violation_handler =
        std::function<void(const std::string&, std::string_view)>;

    /// Receives on a thread that all links without an io_context share.
    /// \param at IP:port to listen on.
    /// \throws std::runtime_error if the address cannot be listened on.
    pull_inbox(const std::string& at, receiver on_bytes);
    /// \param io must outlive the inbox.
    /// \throws std::runtime_error if the address cannot be listened on.
    pull_inbox(boost::asio::io_context& io, const std::string& at,
               receiver on_bytes, violation_handler on_violation);
    /// Nothing is called afterwards; waits for a call that is under way.
    ~pull_inbox();
    pull_inbox(const pull_inbox&) = delete;
    pull_inbox& operator=(const pull_inbox&) = delete;

  private:
    class listener;
    std::shared_ptr<listener> listener_;
};

} // namespace sycamorelock::adapters
