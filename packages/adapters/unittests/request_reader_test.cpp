// Guards against requests that are read differently where their bytes happen to
// be cut, that end the process, or that hold more memory than they may.
#include "../lib/request_reader.hpp"

#include "drawn_bytes.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace sycamorelock::adapters;
namespace core = sycamorelock::core;

namespace
{

constexpr request_limits limits{4096, 20000};

/// What a reader made of some bytes.
struct reading
{
    std::vector<request_reader::message> requests;
    request_error end = request_error::none;
};

/// A connection over loopback whose accepted side is read.
class connection
{
  public:
    explicit connection(std::size_t total)
        : pool_({core::byte_count(total), core::byte_count(1024),
                 std::chrono::milliseconds(250)},
                metrics_)
    {
        tcp::acceptor listening(io_, {asio::ip::address_v4::loopback(), 0});
        caller_.connect(listening.local_endpoint());
        listening.accept(accepted_);
        share_.emplace(pool_, [this] { reader_->drop(); });
        reader_.emplace(accepted_, *share_);
        asio::co_spawn(io_, read_all(), asio::detached);
        io_.poll();
    }

    /// Sends a piece and lets the reader take it.
    void send(std::string_view piece)
    {
        error_code ignored;
        asio::write(caller_, asio::buffer(piece.data(), piece.size()), ignored);
        io_.restart();
        io_.poll();
        cr_assert(metrics_.memory_used <= metrics_.memory_limit);
    }

    reading finish()
    {
        error_code ignored;
        caller_.shutdown(tcp::socket::shutdown_send, ignored);
        io_.restart();
        io_.run();
        reader_->drop();
        share_->drop_all();
        cr_assert_eq(metrics_.memory_used, 1024U, "%zu",
                     metrics_.memory_used.load());
        return std::move(seen_);
    }

  private:
    asio::awaitable<void> read_all()
    {
        while (seen_.end == request_error::none)
        {
            const error_code error = co_await reader_->read(limits);
            seen_.end = request_error_of(error, false);
            if (seen_.end == request_error::none)
                seen_.requests.push_back(reader_->take());
            share_->drop(memory_part::header);
            share_->drop(memory_part::body);
        }
    }

    asio::io_context io_{1};
    tcp::socket caller_{io_};
    tcp::socket accepted_{io_};
    caller_metrics metrics_;
    memory_pool pool_;
    std::optional<memory_share> share_;
    std::optional<request_reader> reader_;
    reading seen_;
};

bool has_same_requests(const reading& one, const reading& other)
{
    return std::ranges::equal(one.requests, other.requests,
                              [](const auto& left, const auto& right)
                              {
                                  return left.method_string() ==
                                             right.method_string() &&
                                         left.target() == right.target() &&
                                         left.body() == right.body();
                              });
}

bool operator==(const reading& one, const reading& other)
{
    return one.end == other.end && has_same_requests(one, other);
}

/// Whether the caller closed within a header that has a fault: it is noticed if
/// the fault comes in one piece with the beginning, or else only at the end.
bool stops_in_header(std::string_view bytes, const reading& one,
                     const reading& other)
{
    using enum request_error;
    const bool may_differ = (one.end == malformed && other.end == closed) ||
                            (one.end == closed && other.end == malformed);
    const std::size_t last = bytes.rfind("\r\n\r\n");
    return may_differ &&
           (last == std::string_view::npos || last + 4 < bytes.size());
}

constexpr std::size_t enough = 1024UL * 1024;

reading read_whole(const std::string& bytes)
{
    connection read(enough);
    read.send(bytes);
    return read.finish();
}

reading read_in_pieces(const std::string& bytes,
                       const std::vector<std::size_t>& cuts)
{
    connection read(enough);
    std::size_t from = 0;
    for (const std::size_t cut : cuts)
    {
        read.send(std::string_view(bytes).substr(from, cut - from));
        from = cut;
    }
    read.send(std::string_view(bytes).substr(from));
    return read.finish();
}

const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<std::string> valid_requests()
{
    return {
        "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        head + "Content-Length: 5\r\n\r\nhello",
        chunked + "0\r\n\r\n",
        chunked + "5\r\nhello\r\n0\r\n\r\n",
        chunked + "2;a=b\r\nhe\r\n3\r\nllo\r\n0;c\r\nX-A: b\r\n\r\n",
        chunked + "5\r\nhello\r\n0\r\n\r\n" + head +
            "Content-Length: 0\r\n\r\n" + chunked + "1\r\na\r\n0\r\n\r\n",
    };
}

} // namespace

Test(request_reader, a_cut_at_any_place_changes_nothing, .timeout = 60)
{
    for (const std::string& bytes : valid_requests())
    {
        const reading whole = read_whole(bytes);
        cr_assert(whole.end == request_error::closed, "%s", bytes.c_str());
        cr_assert_geq(whole.requests.size(), 1U);
        std::vector<std::size_t> each_byte;
        for (std::size_t cut = 1; cut < bytes.size(); ++cut)
        {
            cr_expect(read_in_pieces(bytes, {cut}) == whole, "%s at %zu",
                      bytes.c_str(), cut);
            each_byte.push_back(cut);
        }
        cr_expect(read_in_pieces(bytes, each_byte) == whole, "%s",
                  bytes.c_str());
    }
}

Test(request_reader, drawn_bytes_end_no_process_and_depend_on_no_cut,
     .timeout = 120)
{
    const std::vector<std::string> valid = valid_requests();
    for (std::uint64_t seed = 1; seed <= 1500; ++seed)
    {
        std::mt19937_64 random(seed);
        std::string bytes = valid[random() % valid.size()];
        for (std::size_t changes = 1 + random() % 3; changes > 0; --changes)
            bytes = standin::spoil_by_seed(bytes, random());
        std::vector<std::size_t> cuts;
        for (std::size_t cut = 1; cut < bytes.size(); ++cut)
        {
            if (random() % 4 == 0)
                cuts.push_back(cut);
        }
        const reading whole = read_whole(bytes);
        const reading cut = read_in_pieces(bytes, cuts);
        cr_expect(has_same_requests(whole, cut), "seed %lu", seed);
        cr_expect(whole.end == cut.end || stops_in_header(bytes, whole, cut),
                  "seed %lu: ends %s and %s", seed,
                  std::string(to_string(whole.end)).c_str(),
                  std::string(to_string(cut.end)).c_str());
    }
}

Test(request_reader, what_has_no_end_is_named, .timeout = 30)
{
    struct endless_case
    {
        std::string begin;
        std::string again;
        request_error end;
    };
    using enum request_error;
    const std::vector<endless_case> cases{
        {head + "X-A: ", "a", header_too_large},
        {head, "X-A: b\r\n", header_too_large},
        {chunked + "5;a=", "a", chunk_line_too_long},
        {chunked, "0", chunk_line_too_long},
        {chunked + "1\r\na\r\n5;a=", "a", chunk_line_too_long},
        {chunked + "0\r\n", "X-A: b\r\n", trailers_too_large},
        {chunked + "1\r\na\r\n0\r\nX-A: ", "a", trailers_too_large},
        {chunked, "1\r\na\r\n", body_too_large},
        {chunked + "ffffffff\r\n", "a", body_too_large},
        {head + "Content-Length: 20001\r\n\r\n", "a", body_too_large},
        {head + "Transfer-Encoding: gzip\r\n\r\n", "a", unframed_body},
        {"TRACE /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n", "a",
         trace_with_content},
    };
    for (const endless_case& each : cases)
    {
        connection read(enough);
        read.send(each.begin);
        for (int i = 0; i < 40; ++i)
        {
            std::string block;
            while (block.size() < 4000)
                block += each.again;
            read.send(block);
        }
        const reading got = read.finish();
        cr_expect(got.end == each.end, "%s%s: %s", each.begin.c_str(),
                  each.again.c_str(), std::string(to_string(got.end)).c_str());
    }
}

Test(request_reader, short_fields_count_with_what_they_take)
{
    std::string bytes = "GET /b HTTP/1.1\r\n";
    while (bytes.size() < 4000)
        bytes += "a:\r\n";
    bytes += "\r\n";
    connection enough_for_text(20000);
    enough_for_text.send(bytes);
    cr_expect(enough_for_text.finish().end == request_error::no_memory);
    cr_expect(read_whole(bytes).end == request_error::closed);
}

Test(request_reader, a_body_holds_what_has_arrived_and_no_more)
{
    connection read(12000);
    read.send(head + "Content-Length: 20000\r\n\r\n");
    read.send(std::string(8000, 'a'));
    read.send(std::string(8000, 'a'));
    cr_expect(read.finish().end == request_error::no_memory);
}
