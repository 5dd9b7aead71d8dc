// Strong types for identifiers and units shared by every package.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sycamorelock::core
{

/// Returns the 32-bit digest (CRC-32) of a configured name. It is the same in
/// every process and release.
std::uint32_t digest_of_name(std::string_view name);

/// Identifier made from a configured name. Its value is the same in every
/// process and release, so it can travel between instances in four bytes. The
/// settings checker reports two names of the same type whose digests collide.
template <class Tag> class name_id
{
  public:
    constexpr name_id() = default;
    constexpr explicit name_id(std::uint32_t value) : value_(value) {}

    static name_id of(std::string_view name)
    {
        return name_id(digest_of_name(name));
    }

    [[nodiscard]] constexpr std::uint32_t value() const { return value_; }
    constexpr auto operator<=>(const name_id&) const = default;

  private:
    std::uint32_t value_ = 0;
};

using account_id = name_id<struct account_tag>;
using instance_id = name_id<struct instance_tag>;
using service_id = name_id<struct service_tag>;
using endpoint_id = name_id<struct endpoint_tag>;
using domain_id = name_id<struct domain_tag>;

/// A 64-bit digest of a name, the same in every process.
template <class Tag> class digest_id
{
  public:
    constexpr digest_id() = default;
    constexpr explicit digest_id(std::uint64_t value) : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    constexpr auto operator<=>(const digest_id&) const = default;

  private:
    std::uint64_t value_ = 0;
};

/// A number with a unit. Arithmetic stays within the unit.
template <class Tag, class Rep> class quantity
{
  public:
    constexpr quantity() = default;
    constexpr explicit quantity(Rep value) : value_(value) {}

    [[nodiscard]] constexpr Rep value() const { return value_; }
    constexpr auto operator<=>(const quantity&) const = default;
    constexpr quantity operator+(quantity other) const
    {
        return quantity(value_ + other.value_);
    }
    constexpr quantity operator-(quantity other) const
    {
        return quantity(value_ - other.value_);
    }
    constexpr quantity& operator+=(quantity other)
    {
        value_ += other.value_;
        return *this;
    }

  private:
    Rep value_ = 0;
};

/// Amount of service that a request received: generated tokens for a model
/// service, milliseconds of slot time for a plain service.
using cost = quantity<struct cost_tag, std::int64_t>;

/// Cost divided by the account's weight.
using virtual_time = quantity<struct virtual_time_tag, double>;

/// Monotonic time that also counts while the process or machine is suspended
/// (CLOCK_BOOTTIME in the daemon).
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};
using duration = core_clock::duration;
using time_point = core_clock::time_point;

/// Converts a duration to milliseconds.
inline double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Milliseconds since the Unix epoch, as idempotency keys carry them.
using wall_time = std::chrono::milliseconds;

/// Identifies an accepted request in the whole fleet. The incarnation is drawn
/// at process start, so a restarted instance never reuses an id.
struct request_id
{
    instance_id entry;
    std::uint32_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const request_id&) const = default;
};

/// Returns the text form used in headers, logs and `explain`.
std::string to_string(const request_id& id);

/// Parses the text form. Returns false if it is malformed; `id` may then have
/// been changed in part.
bool parse_request_id(std::string_view text, request_id& id);

/// Identifies a bounded group of endpoints of one service in one failure
/// domain. Each group has one scheduler at a time.
struct shard_id
{
    service_id service;
    domain_id domain;
    std::uint32_t index = 0;

    auto operator<=>(const shard_id&) const = default;
};

} // namespace sycamorelock::core

template <class Tag> struct std::hash<sycamorelock::core::name_id<Tag>>
{
    std::size_t operator()(sycamorelock::core::name_id<Tag> id) const noexcept
    {
        return id.value();
    }
};

template <class Tag> struct std::hash<sycamorelock::core::digest_id<Tag>>
{
    std::size_t operator()(sycamorelock::core::digest_id<Tag> id) const noexcept
    {
        return static_cast<std::size_t>(id.value());
    }
};
