// Framing of the Scalability Protocols over TCP, as their published mapping has
// it: eight bytes of greeting each way, then messages with their length first.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace sycamorelock::adapters::sp
{

/// Protocol number that a side tells in its greeting.
enum class protocol : std::uint16_t
{
    push = 0x50,
    pull = 0x51,
};

/// Why the bytes of a connection cannot be read any further.
enum class violation : std::uint8_t
{
    none,
    wrong_greeting,
    no_greeting,
    too_large,
    cut_off,
    /// Its memory or descriptor was needed for another connection.
    evicted,
};

/// Name of a violation in logs and metrics.
[[nodiscard]] std::string_view to_string(violation what);

inline constexpr std::size_t greeting_size = 8;
/// Bytes of the length in front of a message.
inline constexpr std::size_t length_size = 8;

[[nodiscard]] std::array<char, greeting_size> greeting_of(protocol own);
[[nodiscard]] std::array<char, length_size> length_prefix(std::size_t size);

/// Cuts what arrives on one connection into messages. Holds no more than has
/// arrived, whatever length is announced.
class frame_reader
{
  public:
    /// \param peer    protocol that the other side must tell.
    /// \param largest bytes of the largest message that is taken.
    frame_reader(protocol peer, std::size_t largest)
        : expected_(greeting_of(peer)), largest_(largest)
    {
    }

    /// Calls `on_message(std::string)` for each message that is complete.
    template <class Receiver>
    violation read(std::string_view bytes, Receiver&& on_message)
    {
        for (;;)
        {
            const std::size_t taken =
                std::min(bytes.size(), needed_ - held_.size());
            held_.append(bytes.substr(0, taken));
            bytes.remove_prefix(taken);
            if (held_.size() < needed_)
                return violation::none;
            if (reading_ == part::message)
            {
                expect(part::length, length_size);
                on_message(std::exchange(held_, {}));
                continue;
            }
            if (const violation found = take_header(); found != violation::none)
                return found;
        }
    }

    [[nodiscard]] bool greeted() const { return reading_ != part::greeting; }
    /// Bytes allocated for an incomplete message.
    [[nodiscard]] std::size_t held() const { return held_.capacity(); }

    /// What it means that the connection ends now.
    [[nodiscard]] violation at_end() const;

  private:
    enum class part : std::uint8_t
    {
        greeting,
        length,
        message,
    };

    void expect(part next, std::size_t size)
    {
        reading_ = next;
        needed_ = size;
    }
    violation take_header();

    std::array<char, greeting_size> expected_;
    std::size_t largest_;
    part reading_ = part::greeting;
    std::size_t needed_ = greeting_size;
    std::string held_;
};

} // namespace sycamorelock::adapters::sp
