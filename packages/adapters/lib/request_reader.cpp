// Reads without waiting where bytes have arrived.
#include "request_reader.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace sycamorelock::adapters
{

namespace
{

/// Bytes read at a time.
constexpr std::size_t read_size = 16UL * 1024;
/// Bytes read of one connection before the event loop serves others. Without a
/// quantum, a peer that sends without pause would starve them.
constexpr std::size_t read_quantum = 32UL * 1024;
/// Memory of a header field beside its text: a node of the parser's container
/// and the allocator's overhead.
constexpr std::size_t field_overhead = 96;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

std::size_t lines_in(std::string_view bytes)
{
    return static_cast<std::size_t>(std::ranges::count(bytes, '\n'));
}

} // namespace

error_code metered_body::reader::make_room(std::size_t bytes)
{
    const std::size_t needed = body_.text.size() + bytes;
    if (needed <= body_.text.capacity())
        return {};
    std::size_t room = needed + needed / 4;
    if (announced_)
        room = std::max<std::size_t>(
            needed, std::min<std::uint64_t>(room, *announced_));
    if (!body_.share->hold(memory_part::body, room))
        return request_error::no_memory;
    body_.text.reserve(room);
    return {};
}

request_reader::request_reader(tcp::socket& from, memory_share& share)
    : from_(from), share_(share)
{
    error_code ignored;
    from_.non_blocking(true, ignored);
}

asio::awaitable<error_code> request_reader::wait()
{
    quantum_used_ = 0;
    auto [error] = co_await from_.async_wait(tcp::socket::wait_read, as_result);
    co_return error;
}

asio::awaitable<error_code> request_reader::read(const request_limits& limits)
{
    share_.enter(core::holder_phase::receiving);
    parser_.emplace();
    parser_->header_limit(limits.header_bytes);
    parser_->body_limit(limits.body_bytes);
    parser_->eager(true);
    parser_->get().body().share = &share_;
    partial_header_ = 0;
    continue_sent_ = false;
    for (;;)
    {
        if (const error_code error = parse())
            co_return error;
        if (parser_->is_done())
            co_return compact();
        const bool expects_continue =
            !continue_sent_ && parser_->is_header_done() &&
            beast::iequals(parser_->get()[http::field::expect], "100-continue");
        if (expects_continue)
        {
            continue_sent_ = true;
            auto [unsent, sent] = co_await asio::async_write(
                from_, asio::buffer(continue_response), as_result);
            if (unsent)
                co_return unsent;
        }
        if (const error_code error = co_await read_some(limits))
            co_return error;
    }
}

request_reader::message request_reader::take()
{
    http::request<metered_body> read = parser_->release();
    parser_.reset();
    message made(std::move(read.base()));
    made.body() = std::move(read.body().text);
    return made;
}

void request_reader::drop()
{
    unparsed_.clear();
    unparsed_.shrink_to_fit();
    parser_.reset();
}

error_code request_reader::parse()
{
    while (unparsed_.size() > 0 && !parser_->is_done())
    {
        const bool in_header = !parser_->is_header_done();
        error_code error;
        const std::size_t used = put(error);
        if (in_header && !parser_->is_header_done())
        {
            const std::string_view text(
                static_cast<const char*>(unparsed_.data().data()), used);
            partial_header_ += used + lines_in(text) * field_overhead;
            if (!share_.hold(memory_part::header, partial_header_))
                return request_error::no_memory;
        }
        unparsed_.consume(used);
        const bool needs_more = error == http::error::need_more;
        if (error && !needs_more)
            return error;
        const bool has_new_fields =
            (in_header && parser_->is_header_done()) || parser_->is_done();
        if (has_new_fields)
        {
            if (const error_code wrong = check_header())
                return wrong;
        }
        if (needs_more)
            break;
    }
    return {};
}

std::size_t request_reader::put(error_code& error)
{
    try
    {
        return parser_->put(unparsed_.data(), error);
    }
    catch (const std::length_error&)
    {
        // The parser's container throws at a field above 64 KB.
        error = parser_->is_header_done() ? request_error::trailers_too_large
                                          : request_error::header_too_large;
        return 0;
    }
}

error_code request_reader::check_header()
{
    if (!share_.hold(memory_part::header, header_size()))
        return request_error::no_memory;
    const auto& header = parser_->get();
    if (header.count(http::field::transfer_encoding) > 0 && !parser_->chunked())
        return request_error::unframed_body;
    const bool has_content =
        parser_->chunked() || parser_->content_length().value_or(0) > 0;
    if (header.method() == http::verb::trace && has_content)
        return request_error::trace_with_content;
    return {};
}

std::size_t request_reader::header_size() const
{
    std::size_t size = 0;
    for (const auto& field : parser_->get())
        size +=
            field_overhead + field.name_string().size() + field.value().size();
    return size;
}

asio::awaitable<error_code>
request_reader::read_some(const request_limits& limits)
{
    const std::size_t most = limits.header_bytes + read_size;
    if (unparsed_.size() >= most)
        co_return oversized_part();
    if (quantum_used_ >= read_quantum)
    {
        quantum_used_ = 0;
        if (const error_code short_of = compact())
            co_return short_of;
        co_await asio::post(from_.get_executor(), asio::use_awaitable);
    }
    for (;;)
    {
        if (share_.is_evicted())
            co_return request_error::evicted;
        const auto space =
            unparsed_.prepare(std::min(read_size, most - unparsed_.size()));
        error_code error;
        const std::size_t bytes = from_.read_some(space, error);
        unparsed_.commit(bytes);
        if (error == asio::error::would_block)
        {
            if (const error_code short_of = compact())
                co_return short_of;
            error = co_await wait();
            if (share_.is_evicted())
                co_return request_error::evicted;
            if (error)
                co_return error;
            continue;
        }
        if (error == asio::error::eof)
            co_return parser_->got_some() ? http::error::partial_message
                                          : http::error::end_of_stream;
        quantum_used_ += bytes;
        if (!error)
            share_.note_progress();
        co_return error;
    }
}

request_error request_reader::oversized_part() const
{
    if (!parser_->is_header_done())
        return request_error::header_too_large;
    const std::string_view held(
        static_cast<const char*>(unparsed_.data().data()), unparsed_.size());
    // The parser keeps the line of the last chunk until the trailers are
    // complete. The line end before it terminates the chunk's data.
    static constexpr std::size_t line_end = 2;
    return held.find('\n', line_end) == std::string_view::npos
               ? request_error::chunk_line_too_long
               : request_error::trailers_too_large;
}

error_code request_reader::compact()
{
    unparsed_.shrink_to_fit();
    return share_.hold(memory_part::unparsed, unparsed_.capacity())
               ? error_code()
               : make_error_code(request_error::no_memory);
}

} // namespace sycamorelock::adapters
