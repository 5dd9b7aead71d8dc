#include "sp_framing.hpp"

#include <boost/endian/conversion.hpp>

namespace sycamorelock::adapters::sp
{

namespace
{

constexpr std::array<std::string_view, 6> violation_names = {
    "none", "wrong_greeting", "no_greeting", "too_large", "cut_off", "evicted"};

} // namespace

std::string_view to_string(violation what)
{
    return violation_names.at(static_cast<std::size_t>(what));
}

std::array<char, greeting_size> greeting_of(protocol own)
{
    const auto number = static_cast<std::uint16_t>(own);
    return {'\0',
            'S',
            'P',
            '\0',
            static_cast<char>(number >> 8U),
            static_cast<char>(number & 0xffU),
            '\0',
            '\0'};
}

std::array<char, length_size> length_prefix(std::size_t size)
{
    std::array<unsigned char, length_size> wide{};
    boost::endian::store_big_u64(wide.data(), size);
    std::array<char, length_size> result{};
    std::copy(wide.begin(), wide.end(), result.begin());
    return result;
}

violation frame_reader::take_header()
{
    if (reading_ == part::greeting)
    {
        if (!std::equal(expected_.begin(), expected_.end(), held_.begin()))
            return violation::wrong_greeting;
        expect(part::length, length_size);
    }
    else
    {
        const std::uint64_t size = boost::endian::load_big_u64(
            reinterpret_cast<const unsigned char*>(held_.data()));
        if (size > largest_)
            return violation::too_large;
        expect(part::message, size);
    }
    held_.clear();
    return violation::none;
}

violation frame_reader::at_end() const
{
    const bool between = reading_ != part::message && held_.empty();
    return between ? violation::none : violation::cut_off;
}

} // namespace sycamorelock::adapters::sp
