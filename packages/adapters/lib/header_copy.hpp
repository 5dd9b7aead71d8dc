// Copies the fields of a message that are meant for its final receiver.
#pragma once

#include "http.hpp"

namespace sycamorelock::adapters
{

/// Fields that concern one connection only, or frame the body.
inline bool is_hop_field(http::field name)
{
    switch (name)
    {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

/// Accepts no field.
inline bool no_field(beast::string_view)
{
    return false;
}

/// Status of an answer, also one that the library has no name for.
template <class Header> http::status status_of(const Header& header)
{
    return static_cast<http::status>(header.result_int());
}

/// Copies all fields but those of the connection, those that `left_out`
/// accepts and those that the Connection field names; `kept` accepts fields
/// that a sender cannot take out by naming them there.
template <class From, class To, class LeftOut = decltype(no_field),
          class Kept = decltype(no_field)>
void copy_end_to_end(const From& from, To& to,
                     const LeftOut& left_out = no_field,
                     const Kept& kept = no_field)
{
    http::token_list named(from[http::field::connection]);
    for (const auto& item : from)
    {
        if (is_hop_field(item.name()) || left_out(item.name_string()))
            continue;
        if (named.exists(item.name_string()) && !kept(item.name_string()))
            continue;
        to.insert(item.name_string(), item.value());
    }
}

} // namespace sycamorelock::adapters
