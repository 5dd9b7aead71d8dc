// One connection that carries one call after another.
#include "sycamorelock/adapters/direct/store_watch.hpp"

#include "../answer_limits.hpp"
#include "../http.hpp"

#include "sycamorelock/adapters/clocks.hpp"
#include "sycamorelock/adapters/document_reader.hpp"

#include <optional>
#include <random>

namespace sycamorelock::adapters::direct
{

namespace
{

/// How long a waiting call may wait. A connection that went silent shows after
/// this time and `answer_slack`; a longer one saves calls.
constexpr milliseconds watch_wait{2000};
/// The same at an instance on which others rely, see `aggregator_coverage`.
constexpr milliseconds short_watch_wait{500};
/// Time for the way of an answer beyond the wait, also from a slow store.
constexpr milliseconds answer_slack{700};
/// Least time between two waiting calls. What changes meanwhile comes with the
/// next one: when many endpoints start, each instance makes two calls a second
/// and not one for each endpoint. A change is at most this much older.
constexpr core::duration watch_gap = milliseconds(500);
constexpr core::duration short_watch_gap = milliseconds(250);
constexpr milliseconds read_timeout{1500};
/// Pauses after a failure: the first, and the longest. Randomised, so that
/// instances do not come back at the same moment. The longest delays the notice
/// of a return, and with it the end of the grace for entries that lapsed.
constexpr milliseconds first_pause{50};
constexpr milliseconds longest_pause{400};
/// The same where an aggregator asks too and tells of the return. While the
/// store was away for 6 s, 72 instances made 1,300 futile calls.
constexpr milliseconds patient_pause{2400};
constexpr std::uint64_t max_answer = 4 * 1024 * 1024;

using response = http::response<http::string_body>;

} // namespace

class store_watch::impl : public std::enable_shared_from_this<impl>
{
  public:
    impl(boost::asio::io_context& io, std::string address,
         const dialect_table& dialect, event_log& log, store_listener listener)
        : io_(io), address_(std::move(address)), dialect_(dialect), log_(log),
          listener_(std::move(listener)), random_(std::random_device{}()),
          covered_(io)
    {
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        for (;;)
        {
            // After a failure the aggregator may know enough in the meantime.
            if (revision_ > 0)
                co_await wait_while_covered();
            const bool fresh = co_await read_all();
            bool following = fresh;
            while (following)
            {
                co_await wait_while_covered();
                following = co_await follow();
            }
            co_await pause();
        }
    }

    void set_following(bool following)
    {
        if (following_ == following)
            return;
        following_ = following;
        log_.write(direct_event::store_followed,
                   {{"by", following ? "this_instance" : "aggregator"},
                    {"revision", std::to_string(revision_)}});
        if (following)
            covered_.cancel();
    }

    [[nodiscard]] bool following() const { return following_; }

    void advance_to(std::uint64_t revision)
    {
        revision_ = std::max(revision_, revision);
    }

    void set_relied_on(bool relied_on) { relied_on_ = relied_on; }
    void set_patient(bool patient) { patient_ = patient; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] core::time_point answered_at() const { return answered_at_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] boost::asio::io_context& io() { return io_; }

  private:
    asio::awaitable<bool> read_all()
    {
        // The revision comes from the first page: what changes meanwhile is
        // told again by the watch.
        const auto operators = co_await read_pages<operator_page>(
            dialect_.operators_target, dialect_.read_operators,
            [](operator_page& all, operator_page&& page)
            {
                if (page.config)
                    all.config = std::move(page.config);
                append(all.drains, page.drains);
            });
        if (!operators)
            co_return false;
        const auto endpoints = co_await read_pages<endpoint_page>(
            dialect_.list_target, dialect_.read_list,
            [](endpoint_page& all, endpoint_page&& page)
            { append(all.endpoints, page.endpoints); });
        if (!endpoints)
            co_return false;
        succeeded();
        revision_ = std::min(operators->revision, endpoints->revision);
        if (operators->config)
            listener_.on_config(*operators->config);
        listener_.on_operators(*operators);
        listener_.on_list(*endpoints);
        co_return true;
    }

    template <class Item>
    static void append(std::vector<Item>& to, std::vector<Item>& from)
    {
        to.insert(to.end(), std::make_move_iterator(from.begin()),
                  std::make_move_iterator(from.end()));
    }

    /// A whole listing; nothing if a page could not be read.
    /// \param take adds what a page holds to what came before.
    template <class Page, class Target, class Read, class Take>
    asio::awaitable<std::optional<Page>> read_pages(Target target, Read read,
                                                    Take take)
    {
        Page all;
        std::optional<std::string> after = "";
        while (after)
        {
            const auto answer = co_await call(target(*after), read_timeout);
            auto page = answer && answer->result() == http::status::ok
                            ? decoded(read, answer->body())
                            : std::nullopt;
            if (!page)
            {
                failed(answer);
                co_return std::nullopt;
            }
            if (all.revision == 0)
                all.revision = page->revision;
            append(all.unreadable, page->unreadable);
            after = std::move(page->next);
            take(all, std::move(*page));
        }
        co_return all;
    }

    asio::awaitable<bool> follow()
    {
        const core::time_point at = now();
        if (at < next_watch_)
            co_await sleep(std::chrono::ceil<milliseconds>(next_watch_ - at));
        next_watch_ = now() + (relied_on_ ? short_watch_gap : watch_gap);
        const milliseconds wait = relied_on_ ? short_watch_wait : watch_wait;
        const auto answer = co_await call(
            dialect_.watch_target(revision_, wait), wait + answer_slack);
        if (!answer || answer->result() != http::status::ok)
            co_return failed(answer);
        const auto news = decoded(dialect_.read_watch, answer->body());
        if (!news)
            co_return failed(answer);
        succeeded();
        revision_ = std::max(revision_, news->revision);
        if (news->config)
            listener_.on_config(*news->config);
        if (!news->endpoints.empty() || !news->gone.empty() ||
            !news->unreadable.empty() || !news->drains.empty())
            listener_.on_news(*news);
        co_return true;
    }

    template <class Read>
    auto decoded(Read read, const std::string& body)
        -> std::optional<decltype(read(body))>
    {
        try
        {
            return read(body);
        }
        catch (const dialect_error& error)
        {
            log_.write(direct_event::store_answer_malformed,
                       {{"error", error.what()}});
            return std::nullopt;
        }
    }

    bool failed(const std::optional<response>& answer)
    {
        const unsigned status = answer ? answer->result_int() : 0;
        stream_.reset();
        // Only history is gone, the store is there.
        if (status == static_cast<unsigned>(http::status::gone))
        {
            log_.write(direct_event::store_history_gone,
                       {{"revision", std::to_string(revision_)}});
            return false;
        }
        if (reachable_)
            log_.write(
                direct_event::store_lost,
                {{"address", address_}, {"status", std::to_string(status)}});
        reachable_ = false;
        ++failures_;
        return false;
    }

    void succeeded()
    {
        failures_ = 0;
        const core::duration since_answer = now() - answered_at_;
        answered_at_ = now();
        listener_.on_answer();
        if (reachable_)
            return;
        reachable_ = true;
        log_.write(direct_event::store_back,
                   {{"address", address_},
                    {"away_ms",
                     std::to_string(
                         std::chrono::duration_cast<milliseconds>(since_answer)
                             .count())}});
    }

    asio::awaitable<void> pause()
    {
        if (failures_ == 0)
            co_return;
        static constexpr unsigned most_doublings = 6;
        const milliseconds longest =
            std::min(first_pause * (1 << std::min(failures_, most_doublings)),
                     patient_ ? patient_pause : longest_pause);
        std::uniform_int_distribution<milliseconds::rep> length(
            longest.count() / 2, longest.count());
        co_await sleep(milliseconds(length(random_)));
    }

    asio::awaitable<void> wait_while_covered()
    {
        while (!following_)
        {
            // The store closes connections that rest.
            stream_.reset();
            covered_.expires_at(asio::steady_timer::time_point::max());
            co_await covered_.async_wait(as_result);
        }
    }

    asio::awaitable<void> sleep(milliseconds length)
    {
        asio::steady_timer timer(io_, length);
        co_await timer.async_wait(as_result);
    }

    /// One GET; nothing if there was no whole answer in time.
    asio::awaitable<std::optional<response>> call(std::string target,
                                                  milliseconds timeout)
    {
        ++calls_;
        if (!stream_)
        {
            stream_.emplace(io_);
            buffer_.clear();
            stream_->expires_after(read_timeout);
            auto [error] = co_await stream_->async_connect(
                parse_address(address_), as_result);
            if (error)
                co_return std::nullopt;
            error_code ignored;
            stream_->socket().set_option(tcp::no_delay(true), ignored);
        }
        stream_->expires_after(timeout);
        http::request<http::empty_body> request(http::verb::get, target, 11);
        request.set(http::field::host, address_);
        auto [unsent, sent] =
            co_await http::async_write(*stream_, request, as_result);
        if (unsent)
            co_return std::nullopt;
        document_parser parser;
        parser.body_limit(max_answer);
        if (co_await read_document(*stream_, buffer_, parser))
            co_return std::nullopt;
        const bool keep = parser.keep_alive();
        response answer = parser.release();
        if (!keep)
            stream_.reset();
        co_return answer;
    }

    boost::asio::io_context& io_;
    std::string address_;
    dialect_table dialect_;
    event_log& log_;
    store_listener listener_;
    std::mt19937 random_;
    std::optional<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_{max_unparsed};
    asio::steady_timer covered_;
    bool following_ = true;
    bool relied_on_ = false;
    bool patient_ = false;
    core::time_point answered_at_;
    std::uint64_t revision_ = 0;
    std::uint64_t calls_ = 0;
    core::time_point next_watch_;
    unsigned failures_ = 0;
    bool reachable_ = true;
};

store_watch::store_watch(boost::asio::io_context& io, std::string address,
                         const dialect_table& dialect, event_log& log,
                         store_listener listener)
    : impl_(std::make_shared<impl>(io, std::move(address), dialect, log,
                                   std::move(listener)))
{
}

void store_watch::start()
{
    asio::co_spawn(
        impl_->io(), [impl = impl_] { return impl->run(); }, asio::detached);
}

void store_watch::set_following(bool following)
{
    impl_->set_following(following);
}

bool store_watch::following() const
{
    return impl_->following();
}

void store_watch::advance_to(std::uint64_t revision)
{
    impl_->advance_to(revision);
}

void store_watch::set_relied_on(bool relied_on)
{
    impl_->set_relied_on(relied_on);
}

void store_watch::set_patient(bool patient)
{
    impl_->set_patient(patient);
}

std::uint64_t store_watch::revision() const
{
    return impl_->revision();
}

core::time_point store_watch::answered_at() const
{
    return impl_->answered_at();
}

std::uint64_t store_watch::calls() const
{
    return impl_->calls();
}

} // namespace sycamorelock::adapters::direct
