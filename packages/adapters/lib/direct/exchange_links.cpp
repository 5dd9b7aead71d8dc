// One link to each other instance.
#include "exchange_links.hpp"

#include "../shared_io.hpp"

#include <algorithm>

namespace sycamorelock::adapters::direct
{

namespace
{

/// A link that was not used for this time is closed: its instance is gone.
/// Those of a large fleet talk to each other only now and then, but closing and
/// opening links costs more than keeping some hundred of them.
constexpr core::duration idle_link = std::chrono::seconds(60);
} // namespace

exchange_links::exchange_links(const std::string& self,
                               pull_inbox::receiver on_bytes)
    : exchange_links(shared_io(), self, std::move(on_bytes), {})
{
}

exchange_links::exchange_links(boost::asio::io_context& io,
                               const std::string& self,
                               pull_inbox::receiver on_bytes,
                               pull_inbox::violation_handler on_violation)
    : io_(io), ip_(self.substr(0, self.rfind(':'))),
      inbox_(io, self, std::move(on_bytes), std::move(on_violation))
{
}

void exchange_links::send(const std::string& to, const std::string& bytes,
                          core::time_point at)
{
    link& used = open_.try_emplace(to, io_, ip_, to, at).first->second;
    used.used_at = at;
    if (used.socket.connected())
    {
        used.connected_at = at;
        used.patience = link::first_patience;
    }
    else if (at - used.connected_at > used.patience)
    {
        used.socket.connect_anew();
        used.connected_at = at;
        used.patience = std::min(2 * used.patience, link::longest_patience);
    }
    used.socket.send(bytes);
}

void exchange_links::close_idle(core::time_point at)
{
    std::erase_if(open_, [at](const auto& entry)
                  { return at - entry.second.used_at > idle_link; });
}

void exchange_links::redial(const std::string& to)
{
    const auto found = open_.find(to);
    if (found != open_.end())
        found->second.socket.redial();
}

} // namespace sycamorelock::adapters::direct
