// Bytes of connections between instances cut into messages, without sockets.
#include "../lib/sp_framing.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace sycamorelock::adapters;

namespace
{

constexpr std::size_t largest = 1000;

std::string greeting(sp::protocol own = sp::protocol::push)
{
    const auto bytes = sp::greeting_of(own);
    return {bytes.begin(), bytes.end()};
}

std::string frame(const std::string& message)
{
    const auto prefix = sp::length_prefix(message.size());
    return std::string(prefix.begin(), prefix.end()) + message;
}

/// What a reader makes of bytes that arrive in parts of one size.
struct reading
{
    reading(const std::string& bytes, std::size_t part)
    {
        for (std::size_t at = 0;
             at < bytes.size() && found == sp::violation::none; at += part)
            found = reader.read(std::string_view(bytes).substr(at, part),
                                [this](std::string next)
                                { messages.push_back(next); });
    }

    sp::frame_reader reader{sp::protocol::push, largest};
    std::vector<std::string> messages;
    sp::violation found = sp::violation::none;
};

} // namespace

Test(sp_framing, messages_are_the_same_however_their_bytes_arrive)
{
    const std::vector<std::string> sent = {"a", "", std::string(largest, 'b'),
                                           std::string("\0\1\2", 3)};
    std::string bytes = greeting();
    for (const std::string& message : sent)
        bytes += frame(message);
    for (std::size_t part = 1; part <= bytes.size(); ++part)
    {
        const reading got(bytes, part);
        cr_assert(got.messages == sent, "parts of %zu bytes", part);
        cr_assert(got.reader.at_end() == sp::violation::none);
    }
}

Test(sp_framing, the_greeting_of_the_published_mapping)
{
    cr_assert(greeting(sp::protocol::push) ==
              std::string("\0SP\0\0\x50\0\0", 8));
    cr_assert(greeting(sp::protocol::pull) ==
              std::string("\0SP\0\0\x51\0\0", 8));
    cr_assert(frame("ab") == std::string("\0\0\0\0\0\0\0\2ab", 10));
}

Test(sp_framing, what_is_no_greeting_of_the_peer_ends_the_connection)
{
    const std::vector<std::string> strangers = {
        greeting(sp::protocol::pull), "GET / HTTP/1.1\r\n\r\n",
        std::string(8, '\0'), std::string(8, '\xff')};
    for (const std::string& bytes : strangers)
    {
        for (const std::size_t part : {std::size_t{1}, bytes.size()})
        {
            const reading got(bytes, part);
            cr_assert(got.found == sp::violation::wrong_greeting);
            cr_assert(got.messages.empty());
        }
    }
}

Test(sp_framing, a_length_beyond_the_limit_ends_the_connection)
{
    const reading allowed(greeting() + frame(std::string(largest, 'x')), 7);
    cr_assert(allowed.found == sp::violation::none);
    const reading beyond(
        greeting() + frame("first") + frame(std::string(largest + 1, 'x')), 7);
    cr_assert(beyond.found == sp::violation::too_large);
    cr_assert_eq(beyond.messages.size(), 1);
    const reading absurd(greeting() + std::string(8, '\xff'), 7);
    cr_assert(absurd.found == sp::violation::too_large);
}

Test(sp_framing, an_end_inside_a_message_is_told)
{
    const std::string bytes = greeting() + frame("message");
    const std::vector<std::size_t> whole = {0, greeting().size(), bytes.size()};
    for (std::size_t size = 0; size <= bytes.size(); ++size)
    {
        const reading got(bytes.substr(0, size), 3);
        const bool at_border =
            std::find(whole.begin(), whole.end(), size) != whole.end();
        cr_assert((got.reader.at_end() == sp::violation::none) == at_border,
                  "%zu bytes", size);
    }
}
