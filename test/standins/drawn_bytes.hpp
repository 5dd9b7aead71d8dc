// Bytes of a stream that are changed by a seed, and what still is one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace standin
{

/// Puts in, takes out, repeats or exchanges bytes at a drawn place.
inline std::string spoil_by_seed(std::string body, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::size_t below)
    { return below == 0 ? 0 : static_cast<std::size_t>(random() % below); };
    static constexpr std::size_t longest = 48;
    static constexpr std::string_view alphabet = "\n\n\n::  idat0123456789x\r";
    static constexpr std::size_t byte_values = 256;
    const std::size_t at = draw(body.size() + 1);
    const std::size_t length = 1 + draw(std::min(longest, body.size()));
    switch (random() % 6)
    {
    case 0:
    {
        std::string noise(length, '\0');
        for (char& each : noise)
            each = static_cast<char>(draw(byte_values));
        return body.insert(at, noise);
    }
    case 1:
    {
        std::string text(length, '\0');
        for (char& each : text)
            each = alphabet[draw(alphabet.size())];
        return body.insert(at, text);
    }
    case 2:
        return body.erase(at, length);
    case 3:
        return body.insert(at, body.substr(at, length));
    case 4:
        return body.insert(draw(body.size()), body.substr(at, length));
    default:
    {
        const std::string moved = body.substr(at, length);
        body.erase(at, length);
        return body.insert(draw(body.size() + 1), moved);
    }
    }
}

/// Whether a body is events with ids from one after `after` on, without a gap,
/// and nothing else. Their data may be any text.
inline bool has_ids_in_order(std::string_view body, std::uint64_t after)
{
    while (!body.empty())
    {
        const std::size_t end = body.find("\n\n");
        if (end == std::string_view::npos)
            return false;
        std::string_view block = body.substr(0, end + 1);
        body.remove_prefix(end + 2);
        int ids = 0;
        int data = 0;
        while (!block.empty())
        {
            const std::string_view line = block.substr(0, block.find('\n'));
            block.remove_prefix(line.size() + 1);
            if (line.starts_with("id:"))
            {
                const std::string next = std::to_string(after + 1);
                if (line != "id:" + next && line != "id: " + next)
                    return false;
                ++ids;
            }
            else if (line.starts_with("data:"))
                ++data;
            else if (!line.starts_with(':'))
                return false;
        }
        if (ids != 1 || data == 0)
            return false;
        ++after;
    }
    return true;
}

} // namespace standin
