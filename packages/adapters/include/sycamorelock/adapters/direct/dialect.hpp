// How callers, endpoints and the configuration store spell what the product
// speaks about. A dialect translates and decides nothing.
#pragma once

#include "sycamorelock/adapters/event_block.hpp"
#include "sycamorelock/core/direct/catalogue.hpp"
#include "sycamorelock/core/direct/drained_domains.hpp"
#include "sycamorelock/core/direct/endpoint_load.hpp"
#include "sycamorelock/core/direct/endpoint_registry.hpp"
#include "sycamorelock/core/direct/prefix_cache.hpp"
#include "sycamorelock/core/direct/unreadable_entries.hpp"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelock::adapters::direct
{

using header_fields = boost::beast::http::fields;
using std::chrono::milliseconds;

/// What a caller says about its request.
struct request_meta
{
    /// The caller's name for this attempt; endpoints echo it.
    std::string attempt_id;
    /// How long the caller waits; absent if it does not say.
    std::optional<milliseconds> time_left;
    /// Empty if there is none.
    std::string api_key;
    /// Last event that the caller has of a stream.
    std::optional<event_id> last_event;
    /// Attempt that brought the first event of the stream that this request
    /// goes on with; empty if the caller names none that can be one.
    std::string resumes;
    std::vector<core::direct::prompt_part> parts;
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/// What the product adds to a request for one endpoint.
struct attempt_meta
{
    milliseconds time_left{0};
    /// Start of the endpoint that is meant; another one declines.
    std::string_view endpoint_boot;
    /// Name of the client account; empty for anonymous requests.
    std::string_view account;
    std::optional<event_id> last_event;
    /// Address of the engine from which the endpoint fetches the prompt's
    /// memory; empty for none.
    std::string_view fetch_from = {};
};

/// What an endpoint says about its answer.
struct answer_meta
{
    std::string_view attempt_id;
    /// The endpoint states that it did not run the request.
    bool not_run = false;
    /// Another endpoint has the address.
    bool wrong_endpoint = false;
    /// A success that lacks the proof of its origin. Never set if the dialect
    /// asks for none.
    bool is_unsigned_success = false;
    /// The endpoint says that it leaves.
    bool leaving = false;
    /// The endpoint wants no requests from this instance for so long; zero if
    /// it does not say so.
    milliseconds rest{0};
    /// Load of the endpoint; empty if it reports none that can be read.
    std::optional<core::direct::endpoint_load> load;
};

/// An entry of the store that is gone.
struct endpoint_gone
{
    std::string boot;
    /// Revision of the store at which it was removed.
    std::uint64_t revision = 0;
};

/// News from the store, in order.
struct store_news
{
    std::uint64_t revision = 0;
    std::optional<std::string> config;
    std::vector<core::direct::domain_drain> drains;
    std::vector<core::direct::endpoint_record> endpoints;
    std::vector<endpoint_gone> gone;
    /// Entries that name no endpoint to use.
    std::vector<core::direct::unreadable_entry> unreadable;
};

/// One page of a listing of what operators have written.
struct operator_page
{
    std::uint64_t revision = 0;
    std::optional<std::string> config;
    /// Drains that are active.
    std::vector<core::direct::domain_drain> drains;
    std::vector<core::direct::unreadable_entry> unreadable;
    /// Where the next page begins, if there is one.
    std::optional<std::string> next;
};

/// One page of a listing of the endpoints.
struct endpoint_page
{
    std::uint64_t revision = 0;
    std::vector<core::direct::endpoint_record> endpoints;
    std::vector<core::direct::unreadable_entry> unreadable;
    /// Where the next page begins, if there is one.
    std::optional<std::string> next;
};

/// Something received does not have the form that the dialect describes.
class dialect_error : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

/// A set of static functions that translate. All throw dialect_error.
template <class D>
concept wire_dialect = requires(const header_fields& in, header_fields& out,
                                const attempt_meta& attempt,
                                std::string_view text, const std::string& body,
                                unsigned status)
{
    {
        D::read_request(in)
        } -> std::same_as<request_meta>;
    {
        D::set_by_us(text)
        } -> std::same_as<bool>;
    {
        D::always_forwarded(text)
        } -> std::same_as<bool>;
    {D::write_attempt(out, attempt)};
    {
        D::read_answer(in, status)
        } -> std::same_as<answer_meta>;
    {
        D::events()
        } -> std::same_as<event_dialect>;
    {
        D::ready_path()
        } -> std::same_as<std::string>;
    {
        D::operators_target(text)
        } -> std::same_as<std::string>;
    {
        D::list_target(text)
        } -> std::same_as<std::string>;
    {
        D::watch_target(std::uint64_t{}, milliseconds{})
        } -> std::same_as<std::string>;
    {
        D::read_operators(body)
        } -> std::same_as<operator_page>;
    {
        D::read_list(body)
        } -> std::same_as<endpoint_page>;
    {
        D::read_watch(body)
        } -> std::same_as<store_news>;
    {
        D::read_catalogue(body)
        } -> std::same_as<core::direct::catalogue>;
};

/// The functions of a dialect, so that sources need not be templates.
struct dialect_table
{
    request_meta (*read_request)(const header_fields&);
    /// Whether a field is the product's to set; a caller's is dropped.
    bool (*set_by_us)(std::string_view name);
    /// Whether a field is forwarded whatever else the message says of it.
    bool (*always_forwarded)(std::string_view name);
    void (*write_attempt)(header_fields&, const attempt_meta&);
    answer_meta (*read_answer)(const header_fields&, unsigned status);
    event_dialect (*events)();
    std::string (*ready_path)();
    std::string (*operators_target)(std::string_view after);
    std::string (*list_target)(std::string_view after);
    std::string (*watch_target)(std::uint64_t revision, milliseconds wait);
    operator_page (*read_operators)(const std::string&);
    endpoint_page (*read_list)(const std::string&);
    store_news (*read_watch)(const std::string&);
    core::direct::catalogue (*read_catalogue)(const std::string&);
};

template <wire_dialect D> constexpr dialect_table table_of()
{
    return {&D::read_request,  &D::set_by_us,        &D::always_forwarded,
            &D::write_attempt, &D::read_answer,      &D::events,
            &D::ready_path,    &D::operators_target, &D::list_target,
            &D::watch_target,  &D::read_operators,   &D::read_list,
            &D::read_watch,    &D::read_catalogue};
}

} // namespace sycamorelock::adapters::direct
