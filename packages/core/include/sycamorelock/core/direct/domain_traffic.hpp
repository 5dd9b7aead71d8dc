// Price of traffic between failure domains, in the unit of a placement's cost.
#pragma once

#include <map>
#include <string>

namespace sycamorelock::core::direct
{

/// Delay, in ms, that operators accept to keep one kilobyte of traffic within a
/// failure domain; 0 if traffic between failure domains has no price.
class domain_price
{
  public:
    domain_price() = default;
    explicit domain_price(double ms_per_kb) : ms_per_kb_(ms_per_kb) {}

    [[nodiscard]] bool is_stated() const { return ms_per_kb_ > 0; }
    [[nodiscard]] double price_ms(double bytes) const
    {
        return bytes / bytes_per_kb * ms_per_kb_;
    }

  private:
    static constexpr double bytes_per_kb = 1000;
    double ms_per_kb_ = 0;
};

/// Expected traffic of requests that leave their failure domain, and its price.
class domain_traffic
{
  public:
    explicit domain_traffic(domain_price price) : price_(price) {}

    /// Whether traffic between failure domains has a price.
    [[nodiscard]] bool is_priced() const { return price_.is_stated(); }
    /// Records the size of a complete answer to a request of a route.
    void note_answer(const std::string& route, double bytes);
    /// Drops the answer sizes of routes that a new configuration lacks.
    /// \param is_known whether the configuration has a route of this name.
    template <class Predicate> void keep_routes(Predicate is_known)
    {
        std::erase_if(answers_, [&is_known](const auto& entry)
                      { return !is_known(entry.first); });
    }
    /// Mean size of the answers to a route's requests.
    [[nodiscard]] double expected_answer_bytes(const std::string& route) const;
    /// Price, in ms, of sending one request to another failure domain.
    [[nodiscard]] double price_ms(const std::string& route,
                                  double request_bytes) const
    {
        return price_.price_ms(request_bytes + expected_answer_bytes(route));
    }

  private:
    struct answer_sizes
    {
        double mean_bytes = 0;
        double weight = 0;
    };

    domain_price price_;
    std::map<std::string, answer_sizes> answers_;
};

} // namespace sycamorelock::core::direct
