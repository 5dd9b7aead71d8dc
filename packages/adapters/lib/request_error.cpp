// Names and statuses of requests that cannot be read.
#include "sycamorelock/adapters/request_error.hpp"

#include "http.hpp"

namespace sycamorelock::adapters
{

namespace
{

struct description
{
    std::string_view name;
    unsigned status;
};

constexpr std::array<description, request_error_count> descriptions{{
    {"none", 0},
    {"malformed", 400},
    {"header_too_large", 431},
    {"body_too_large", 413},
    {"chunk_line_too_long", 400},
    {"trailers_too_large", 431},
    {"unframed_body", 400},
    {"trace_with_content", 400},
    {"slow_request", 408},
    {"no_memory", 503},
    {"evicted", 503},
    {"closed", 0},
}};

const description& describe(request_error reason)
{
    return descriptions.at(static_cast<std::size_t>(reason));
}

class category final : public boost::system::error_category
{
  public:
    [[nodiscard]] const char* name() const noexcept override
    {
        return "sycamorelock.request";
    }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(to_string(static_cast<request_error>(value)));
    }
};

const category& request_category()
{
    static const category instance;
    return instance;
}

} // namespace

std::string_view to_string(request_error reason)
{
    return describe(reason).name;
}

unsigned status_of(request_error reason)
{
    return describe(reason).status;
}

boost::system::error_code make_error_code(request_error reason)
{
    return {static_cast<int>(reason), request_category()};
}

request_error request_error_of(const boost::system::error_code& error,
                               bool timed_out)
{
    if (!error)
        return request_error::none;
    if (error.category() == request_category())
        return static_cast<request_error>(error.value());
    if (timed_out)
        return request_error::slow_request;
    if (error == http::error::body_limit)
        return request_error::body_too_large;
    if (error == http::error::header_limit)
        return request_error::header_too_large;
    const bool closed = error == http::error::end_of_stream ||
                        error == http::error::partial_message;
    const bool parsed =
        error.category() ==
        http::make_error_code(http::error::bad_method).category();
    return parsed && !closed ? request_error::malformed : request_error::closed;
}

} // namespace sycamorelock::adapters
