// Digits of a release's digest.
#include "release_text.hpp"

#include <array>
#include <charconv>

namespace sycamorelock::adapters::direct
{

std::string to_text(core::direct::release_id release)
{
    static constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::uint64_t)> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(),
                      release.value(), hexadecimal);
    return {digits.data(), end};
}

} // namespace sycamorelock::adapters::direct
