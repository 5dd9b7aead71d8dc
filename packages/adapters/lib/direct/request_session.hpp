// One caller's connection: reads requests, tries endpoints, answers.
#pragma once

#include "../request_reader.hpp"
#include "request_log.hpp"
#include "stream_binding.hpp"

#include <memory>

namespace sycamorelock::adapters::direct
{

class request_session : public std::enable_shared_from_this<request_session>
{
  public:
    /// \param ended is called when the session is destroyed.
    request_session(tcp::socket socket, traffic_context& context,
                    std::function<void(request_session*)> ended);
    ~request_session();
    request_session(const request_session&) = delete;
    request_session& operator=(const request_session&) = delete;

    /// Serves requests until the connection ends.
    asio::awaitable<void> run();

    /// Ends the connection if it is between two requests. A request that has
    /// arrived already is served before.
    void end_if_idle();
    /// Ends it if no request has come since a moment. Returns whether it ends
    /// for that reason.
    bool end_if_idle_since(core::time_point latest);
    /// The same, but a caller that connected after a moment may still send its
    /// first request.
    void end_if_idle_and_opened_before(core::time_point latest);
    /// Ends the request that is open, as the process ends: with an answer, or
    /// by a cut if its answer has begun.
    void end_request();

  private:
    /// Why work on a request stops early.
    enum class stop : std::uint8_t
    {
        none,
        caller_left,
        time_over,
        instance_shutting_down,
    };

    asio::awaitable<void> serve_all();
    asio::awaitable<bool> serve_one();
    /// Waits for the first bytes of a request; returns false if none come.
    asio::awaitable<bool> wait_for_request(milliseconds limit);
    /// Reads a request and answers it.
    asio::awaitable<void> read_and_handle(const request_limits& limits);
    /// Answers a request that could not be read, unless the caller has closed
    /// the connection.
    asio::awaitable<void> refuse_unreadable(request_error reason);
    /// Frees what is held, for another connection.
    void on_evicted();
    asio::awaitable<void> read_to_the_end();
    asio::awaitable<void> handle(caller_message message);
    /// Finds route, account and service; answers and returns false if it
    /// cannot.
    asio::awaitable<bool> prepare(open_request& request);
    /// Refuses a request that no configuration in force allows.
    asio::awaitable<void> reject(const open_request& request,
                                 http::status status, std::string_view reason,
                                 milliseconds retry_after);
    /// Makes attempts, beginning with the one decided.
    asio::awaitable<void> carry_out(open_request& request,
                                    core::direct::placement_decision first);
    /// Makes one attempt. Returns where the next one goes; without one the
    /// request has had its final answer.
    asio::awaitable<std::optional<core::direct::placement_decision>>
    try_at(open_request& request, core::direct::placement_decision placed);
    [[nodiscard]] std::unique_ptr<placed_attempt>
    make_attempt(open_request& request,
                 core::direct::placement_decision placed);
    /// Follows an attempt, from its begin or after it has waited, until it ends
    /// or waits. Returns whether the request has had its final answer.
    asio::awaitable<bool> follow(open_request& request, placed_attempt& which);
    /// Where a request goes whose attempt has ended without a final answer.
    [[nodiscard]] std::optional<core::direct::placement_decision>
    next_of(open_request& request, const placed_attempt& which);
    /// Refuses a request under which endpoints crash; returns whether it is
    /// refused.
    asio::awaitable<bool> refuse_if_quarantined(open_request& request);
    /// Whether further attempts must not be made because endpoints crash under
    /// the request.
    [[nodiscard]] bool is_quarantined(open_request& request) const;
    /// Watches for what the endpoint of the attempt that waits sends.
    void watch_waiting(open_request& request);
    /// Ends the handover to the present attempt, if the event decides it.
    void settle(open_request& request, core::direct::handover_event event);
    /// Tells the router what the attempt shows of its endpoint: whether it may
    /// have crashed.
    void note_crash_evidence(open_request& request,
                             const placed_attempt& which);
    /// Answers a request that no endpoint can go on with.
    asio::awaitable<void> give_up(open_request& request, placed_attempt& last);
    void give_up_waiting();
    /// Ends the request if no other attempt could do better; returns whether.
    asio::awaitable<bool> finish(open_request& request, attempt& tried,
                                 attempt_end end);
    asio::awaitable<void> deliver(open_request& request, held_answer answer,
                                  std::string_view outcome);
    /// Another endpoint for the request, or one that it was sent to before.
    /// \param is_silent whether the endpoint of the present attempt is left for
    /// its silence only.
    [[nodiscard]] std::optional<core::direct::placement_decision>
    place_again(open_request& request, attempt_end after, bool is_silent);
    /// The endpoint that the last handover left, if it may be asked again.
    [[nodiscard]] std::optional<core::direct::placement_decision>
    place_where_left(const open_request& request, bool is_silent) const;
    asio::awaitable<void> answer_failure(open_request& request,
                                         attempt_end last);
    asio::awaitable<void>
    answer_refusal(open_request& request,
                   const core::direct::refusal_decision& refused);
    asio::awaitable<void> answer_problem(http::status status,
                                         std::string_view reason,
                                         milliseconds retry_after);
    void watch_caller();
    void stop_request(stop why);
    void cut();

    tcp::socket socket_;
    traffic_context& context_;
    std::function<void(request_session*)> ended_;
    memory_share memory_;
    request_reader reader_;
    answer_writer out_;
    request_log log_;
    stream_binding streams_;
    watchdog::limit limit_;
    attempt* attempt_ = nullptr;
    /// An attempt that waits until another endpoint takes its request.
    std::unique_ptr<placed_attempt> waiting_;
    watchdog::limit waiting_limit_;
    std::uint64_t number_ = 0;
    stop stop_ = stop::none;
    bool watching_ = false;
    bool timed_out_ = false;
    bool busy_ = false;
    /// The connection ends as soon as no request is at hand.
    bool ending_ = false;
    bool first_request_ = true;
    core::time_point opened_at_;
    core::time_point idle_since_ = core::time_point::max();
    bool keep_ = true;
};

} // namespace sycamorelock::adapters::direct
