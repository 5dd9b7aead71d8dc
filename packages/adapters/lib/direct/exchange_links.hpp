// Links to the other instances of a fleet that routes directly.
#pragma once

#include "../nng_link.hpp"

#include "sycamorelock/core/strong_types.hpp"

#include <map>
#include <string>

namespace sycamorelock::adapters::direct
{

/// Takes messages of others, and opens a link to each when first used.
class exchange_links
{
  public:
    /// \param self     IP:port that others connect to.
    /// \param on_bytes called on a thread of nng.
    exchange_links(std::string self, pull_inbox::receiver on_bytes);

    void send(const std::string& to, const std::string& bytes,
              core::time_point at);
    /// Closes links that were not used for long.
    void close_idle(core::time_point at);
    /// Connects anew.
    void redial(const std::string& to);

  private:
    struct link
    {
        link(const std::string& from, const std::string& to) : socket(from, to)
        {
        }
        push_link socket;
        core::time_point used_at;
    };

    std::string ip_;
    std::map<std::string, link> open_;
    pull_inbox inbox_;
};

} // namespace sycamorelock::adapters::direct
