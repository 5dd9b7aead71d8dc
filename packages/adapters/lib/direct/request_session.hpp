// One caller's connection: reads requests, tries endpoints, answers.
#pragma once

#include "attempt.hpp"

#include <memory>
#include <set>

namespace sycamorelock::adapters::direct
{

class request_session : public std::enable_shared_from_this<request_session>
{
  public:
    request_session(tcp::socket socket, traffic_context& context,
                    std::function<void(request_session*)> ended);

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Closes the connection if it is between two requests.
    void close_if_idle();
    [[nodiscard]] bool busy() const { return busy_; }

  private:
    using parser = http::request_parser<http::string_body>;

    /// Why work on a request stops early.
    enum class stop : std::uint8_t
    {
        none,
        caller_left,
        time_over,
    };

    /// The request that is being served.
    struct open_request
    {
        caller_message message;
        request_meta meta;
        core::direct::request_profile profile;
        std::shared_ptr<const core::direct::catalogue> config;
        core::service_id service;
        std::string service_name;
        std::string account_name;
        std::set<core::endpoint_id> tried;
        unsigned attempts = 0;
        /// When the first event, or a whole answer, came.
        core::time_point first;
        core::duration longest_pause{0};
        /// An endpoint may have begun to run it.
        bool may_have_run = false;
        event_splitter events;
    };

    asio::awaitable<bool> serve_one();
    asio::awaitable<error_code> read(parser& request);
    asio::awaitable<void> answer_unreadable(error_code error);
    asio::awaitable<void> read_to_the_end();
    asio::awaitable<void> handle(caller_message message);
    /// Finds route, account and service; answers and returns false if it
    /// cannot.
    asio::awaitable<bool> prepare(open_request& request);
    /// Refuses a request that no configuration in force allows.
    asio::awaitable<void> reject(const open_request& request,
                                 http::status status, std::string_view reason,
                                 milliseconds retry_after);
    asio::awaitable<void> carry_out(open_request& request);
    asio::awaitable<void> deliver(open_request& request, held_answer answer,
                                  std::string_view outcome);
    [[nodiscard]] std::optional<core::direct::placement_decision>
    place_again(open_request& request, attempt_end after);
    asio::awaitable<void> answer_failure(open_request& request,
                                         attempt_end last);
    asio::awaitable<void>
    answer_refusal(open_request& request,
                   const core::direct::refusal_decision& refused);
    asio::awaitable<void> answer_problem(http::status status,
                                         std::string_view reason,
                                         milliseconds retry_after);
    void log_placed(const open_request& request,
                    const core::direct::placement_decision& placed);
    static std::string first_text(const open_request& request);
    void log_end(const open_request& request, std::string_view outcome,
                 unsigned status);
    void watch_caller();
    void stop_request(stop why);
    void cut();

    tcp::socket socket_;
    traffic_context& context_;
    std::function<void(request_session*)> ended_;
    beast::flat_buffer buffer_;
    answer_writer out_;
    watchdog::limit limit_;
    attempt* attempt_ = nullptr;
    std::uint64_t number_ = 0;
    stop stop_ = stop::none;
    bool watching_ = false;
    bool timed_out_ = false;
    bool busy_ = false;
    bool keep_ = true;
};

} // namespace sycamorelock::adapters::direct
