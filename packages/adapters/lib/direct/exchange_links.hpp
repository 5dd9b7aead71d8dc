// Links to the other instances of a fleet that routes directly.
#pragma once

#include "../push_pull.hpp"

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <string>

namespace sycamorelock::adapters::direct
{

/// Takes messages of others, and opens a link to each when first used.
class exchange_links
{
  public:
    /// Works on a thread that all links without an io_context share.
    /// \param self IP:port that others connect to.
    exchange_links(const std::string& self, pull_inbox::receiver on_bytes);
    /// \param io must outlive the links.
    exchange_links(boost::asio::io_context& io, const std::string& self,
                   pull_inbox::receiver on_bytes,
                   pull_inbox::violation_handler on_violation);

    void send(const std::string& to, const std::string& bytes,
              core::time_point at);
    /// Closes links that were not used for long.
    void close_idle(core::time_point at);
    /// Connects anew.
    void redial(const std::string& to);

  private:
    struct link
    {
        /// A connection within a region takes a few ms. Where the first packet
        /// was lost, as the other machine had no power yet or a cut lasts, the
        /// kernel sends it again only after one, three and seven seconds;
        /// another connection may stand long before. After 13 instances lost
        /// power, the first to start knew of the others 0.4 s after its start,
        /// 1.1 s if the kernel alone tries again.
        static constexpr core::duration first_patience =
            std::chrono::milliseconds(250);
        static constexpr core::duration longest_patience =
            std::chrono::seconds(2);

        link(boost::asio::io_context& io, const std::string& from,
             const std::string& to, core::time_point at)
            : socket(io, from, to), connected_at(at)
        {
        }
        push_link socket;
        core::time_point used_at;
        /// When it last stood, or was last dialled.
        core::time_point connected_at;
        /// How long it may take to connect.
        core::duration patience = first_patience;
    };

    boost::asio::io_context& io_;
    std::string ip_;
    std::map<std::string, link> open_;
    pull_inbox inbox_;
};

} // namespace sycamorelock::adapters::direct
