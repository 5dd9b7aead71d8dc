// Names of the reasons, and the parser's errors that are faults of an answer.
#include "sycamorelock/adapters/answer_error.hpp"

#include "http.hpp"

namespace sycamorelock::adapters
{

namespace
{

class category final : public boost::system::error_category
{
  public:
    [[nodiscard]] const char* name() const noexcept override
    {
        return "sycamorelock.answer";
    }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(to_string(static_cast<answer_error>(value)));
    }
};

const category& answer_category()
{
    static const category instance;
    return instance;
}

/// Whether the parser found a fault in the bytes, and did not meet their end or
/// a limit.
bool is_syntax_error(const error_code& error)
{
    if (error.category() !=
        http::make_error_code(http::error::bad_version).category())
        return false;
    switch (static_cast<http::error>(error.value()))
    {
    case http::error::end_of_stream:
    case http::error::partial_message:
    case http::error::need_more:
    case http::error::unexpected_body:
    case http::error::need_buffer:
    case http::error::end_of_chunk:
    case http::error::buffer_overflow:
    case http::error::header_limit:
    case http::error::body_limit:
        return false;
    default:
        return true;
    }
}

} // namespace

std::string_view to_string(answer_error reason)
{
    using enum answer_error;
    switch (reason)
    {
    case none:
        return "none";
    case malformed:
        return "malformed";
    case unknown_status:
        return "unknown_status";
    case folded_line:
        return "folded_line";
    case unknown_coding:
        return "unknown_coding";
    case unframed_body:
        return "unframed_body";
    case unsigned_success:
        return "unsigned_success";
    case reset:
        return "reset";
    }
    return "unknown";
}

boost::system::error_code make_error_code(answer_error reason)
{
    return {static_cast<int>(reason), answer_category()};
}

answer_error answer_error_of(const boost::system::error_code& error)
{
    if (error && error.category() == answer_category())
        return static_cast<answer_error>(error.value());
    return is_syntax_error(error) ? answer_error::malformed
                                  : answer_error::none;
}

} // namespace sycamorelock::adapters
