// Parses the header fields described in docs/CALLING.md.
#include "request_fields.hpp"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>

#include <charconv>

namespace sycamorelock::adapters
{

namespace
{

using request = http::request<http::string_body>;

constexpr const char* deadline_field = "X-Deadline-Ms";
constexpr const char* hint_field = "X-Cost-Hint";
constexpr const char* idempotent_field = "X-Idempotent";
constexpr const char* key_field = "Idempotency-Key";
constexpr std::int64_t longest_deadline_ms = 86400000;
constexpr std::int64_t largest_hint = 1000000000;
/// Bytes at the start of a prompt that count as its prefix.
constexpr std::size_t prefix_size = 512;

std::optional<std::int64_t>
positive_number(const request& asked, const char* name, std::int64_t largest)
{
    if (asked.count(name) == 0)
        return std::nullopt;
    const std::string text(asked[name]);
    std::int64_t value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole =
        read.ec == std::errc{} && read.ptr == text.data() + text.size();
    if (!whole || value < 1 || value > largest)
        throw field_error(std::string(name) + " must be a number from 1 to " +
                          std::to_string(largest));
    return value;
}

/// Urgency of RFC 9218; the default when absent or not understood, as the RFC
/// asks.
std::uint8_t urgency_of(const request& asked)
{
    static constexpr std::uint8_t usual = 3;
    const std::string text(asked["Priority"]);
    const auto at = text.find("u=");
    if (at == std::string::npos || at + 2 >= text.size())
        return usual;
    const char digit = text[at + 2];
    if (digit < '0' || digit > '7')
        return usual;
    return static_cast<std::uint8_t>(digit - '0');
}

core::idempotency_key key_of(const std::string& text, core::account_id account)
{
    std::string bare = text;
    // The draft standard has the key as a quoted string.
    if (bare.size() >= 2 && bare.front() == '"' && bare.back() == '"')
        bare = bare.substr(1, bare.size() - 2);
    core::idempotency_key key;
    key.account = account;
    try
    {
        const boost::uuids::uuid parsed =
            boost::uuids::string_generator()(bare);
        std::copy(parsed.begin(), parsed.end(), key.bytes.begin());
    }
    catch (const std::runtime_error&)
    {
        throw field_error("Idempotency-Key must be a UUID of version 7");
    }
    core::wall_time made{0};
    if (!core::key_creation_time(key, made))
        throw field_error("Idempotency-Key must be a UUID of version 7");
    return key;
}

bool repeatable_by_default(const request& asked, core::service_kind kind)
{
    const http::verb verb = asked.method();
    const bool safe = verb == http::verb::get || verb == http::verb::head ||
                      verb == http::verb::put || verb == http::verb::delete_ ||
                      verb == http::verb::options;
    return safe || kind == core::service_kind::model;
}

} // namespace

std::optional<service_target> split_target(const std::string& target)
{
    static const std::string start = "/v1/services/";
    if (!target.starts_with(start))
        return std::nullopt;
    const auto slash = target.find_first_of("/?", start.size());
    service_target result;
    result.service = target.substr(start.size(), slash - start.size());
    result.rest = slash == std::string::npos ? "/" : target.substr(slash);
    if (result.rest.front() == '?')
        result.rest.insert(0, "/");
    return result;
}

std::optional<std::string> bearer_key(const request& asked)
{
    static const std::string scheme = "Bearer ";
    const std::string text(asked[http::field::authorization]);
    const bool bearer = text.size() > scheme.size() &&
                        beast::iequals(text.substr(0, scheme.size()), scheme);
    if (!bearer)
        return std::nullopt;
    return text.substr(scheme.size());
}

bool has_idempotency_key(const http::fields& header)
{
    return header.count(key_field) > 0;
}

void read_request_fields(const request& asked, core::service_kind kind,
                         core::submission& wanted)
{
    wanted.urgency = urgency_of(asked);
    const auto deadline =
        positive_number(asked, deadline_field, longest_deadline_ms);
    if (deadline)
        wanted.deadline = std::chrono::milliseconds(*deadline);
    const auto hint = positive_number(asked, hint_field, largest_hint);
    if (hint)
        wanted.hint = core::cost(*hint);
    wanted.idempotent = repeatable_by_default(asked, kind);
    if (asked.count(key_field) > 0)
    {
        wanted.key = key_of(std::string(asked[key_field]), wanted.account);
        wanted.idempotent = false;
    }
    if (asked.count(idempotent_field) > 0)
    {
        const auto value = asked[idempotent_field];
        if (value != "true" && value != "false")
            throw field_error("X-Idempotent must be true or false");
        if (value == "true" && wanted.key)
            throw field_error(
                "X-Idempotent: true contradicts an Idempotency-Key");
        wanted.idempotent = value == "true";
    }
    if (kind == core::service_kind::model && asked.body().size() >= prefix_size)
        wanted.prefix = static_cast<std::uint32_t>(
            std::hash<std::string>()(asked.body().substr(0, prefix_size)));
}

} // namespace sycamorelock::adapters
