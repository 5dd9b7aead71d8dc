// What endpoints say of themselves in a round of the soak, and what instances
// may send them afterwards.
#pragma once

#include "soak_callers.hpp"
#include "soak_script.hpp"

#include <map>
#include <string>
#include <vector>

namespace soak
{

/// An endpoint asks for rest, or says that it leaves.
struct notice_action
{
    milliseconds at{0};
    /// For how long it turns requests away.
    milliseconds length{0};
    /// Leaves for good instead.
    bool leaves = false;
    /// Index of an endpoint, taken modulo their number.
    std::size_t target = 0;
};

/// Drawn apart from the script, whose seeds tell of faults that were mended.
std::vector<notice_action> draw_notices(std::uint64_t seed,
                                        milliseconds length);

/// Spans of time by instance or endpoint in which nothing is promised.
struct excuse
{
    std::size_t of = 0;
    clock::time_point from;
    clock::time_point to;
};

[[nodiscard]] bool overlaps(const std::vector<excuse>& excuses, std::size_t of,
                            clock::time_point from, clock::time_point to);

class notice_check
{
  public:
    notice_check(const std::vector<record>& records,
                 std::vector<excuse> instances, std::vector<excuse> endpoints);

    /// What an endpoint was sent against its notices, a line each.
    /// \param index of the endpoint in the excuses.
    [[nodiscard]] std::vector<std::string>
    broken_at(std::size_t index, const standin::direct_engine& endpoint) const;

  private:
    /// Arrivals at an endpoint from one instance.
    using arrivals = std::vector<const standin::arrival*>;

    void check_leaving(const arrivals& all, std::size_t instance,
                       const std::string& boot,
                       std::vector<std::string>& broken) const;
    void check_rest(const arrivals& all, std::size_t instance,
                    std::size_t index, const std::string& boot,
                    std::vector<std::string>& broken) const;

    std::map<std::string, const record*> records_;
    std::vector<excuse> instances_;
    std::vector<excuse> endpoints_;
};

} // namespace soak
