// Computes the key that the attempts of a caller have in common.
#include "open_request.hpp"

namespace sycamorelock::adapters::direct
{

core::crash_key open_request::content_key()
{
    if (known_content_key)
        return *known_content_key;
    std::vector<std::uint64_t> parts;
    for (const core::direct::prompt_part& part : profile.parts)
        parts.push_back(part.key);
    known_content_key =
        core::crash_key_of({host(), message.method_string(), message.target(),
                            message.body(), parts});
    return *known_content_key;
}

std::vector<core::crash_key> open_request::crash_keys()
{
    std::vector<core::crash_key> keys =
        core::direct::shared_part_keys(profile.parts);
    keys.push_back(content_key());
    return keys;
}

} // namespace sycamorelock::adapters::direct
