// Test fleet of several nodes with a simulated clock, network and endpoints
// that is advanced in steps. It only delivers events to the nodes' decision
// logic and does not model the speed of a machine.
#pragma once

#include "sycamorelock/core/node.hpp"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sycamorelock::core::testing
{

/// Fault probabilities in percent: the first three apply to each batch of
/// messages, the others to each attempt.
struct fault_probabilities
{
    unsigned drop = 0;
    unsigned duplicate = 0;
    /// Delivery is delayed by 700 ms.
    unsigned slow = 0;
    unsigned nothing_sent = 0;
    unsigned not_connected = 0;
    unsigned fails = 0;
};

/// Observed results of a submitted request.
struct outcome
{
    submission spec;
    /// Index of the instance that the request was submitted to.
    std::size_t entry = 0;
    /// Attempts that an endpoint executed.
    int runs = 0;
    int completed = 0;
    int refused = 0;
    /// The instance was killed before it completed or refused the request.
    bool entry_killed = false;
    /// Of the last refusal.
    executed ran = executed::unknown;
    refusal_reason reason = refusal_reason::queue_full;
};

class fake_fleet
{
  public:
    struct fleet_options
    {
        std::size_t domains = 3;
        std::size_t instances_per_domain = 2;
        std::size_t accounts = 4;
        std::size_t endpoints_per_domain = 2;
        /// Slots per endpoint.
        std::uint32_t slots = 2;
        scheduling_mode mode = scheduling_mode::full;
        std::uint64_t seed = 1;
        /// Weights of the first client accounts; the others keep the default.
        std::vector<double> weights{};
        std::int64_t min_attempt_cost = 50;
        std::int64_t max_attempt_cost = 400;
        /// Execution time per unit of cost.
        duration time_per_cost = std::chrono::milliseconds(2);
        duration network_delay = std::chrono::milliseconds(2);
    };

    explicit fake_fleet(fleet_options chosen);
    ~fake_fleet();

    /// Advances the clock by `length` in steps of 10 ms.
    void advance(duration length);
    request_id submit(
        std::size_t entry, std::size_t account, bool idempotent = true,
        std::optional<idempotency_key> key = {}, std::uint8_t urgency = 3,
        std::chrono::milliseconds deadline = std::chrono::milliseconds(60000));
    idempotency_key make_key(std::size_t account, std::uint64_t number);

    void kill(std::size_t index);
    void restart(std::size_t index);
    /// Makes an instance refuse new requests, as at the end of a graceful
    /// shutdown.
    void stop_accepting(std::size_t index);
    /// Stops a node's processing until `resume`; messages and results queue up.
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Cuts off a failure domain or reconnects it. Messages between it and the
    /// other domains are lost while it is cut off.
    void cut_domain(std::size_t domain, bool cut);
    /// Publishes a membership list without some instances. Each node receives
    /// it after a random delay of its own of at most `max_lag`.
    void publish_members(const std::set<std::size_t>& without,
                         duration max_lag);
    void set_fault_chances(fault_probabilities percent)
    {
        fault_chances_ = percent;
    }
    /// Makes a node fail to send attempts to an endpoint, as if its older
    /// configuration did not include it.
    void hide_endpoint(std::size_t index, std::size_t domain,
                       std::size_t endpoint);

    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] bool running(std::size_t index) const;
    [[nodiscard]] const control_state& state(std::size_t index) const;
    [[nodiscard]] std::map<request_id, outcome>& outcomes()
    {
        return outcomes_;
    }
    [[nodiscard]] time_point now() const { return now_; }
    /// Number of events of one type, over all nodes.
    [[nodiscard]] int events(event_number number) const;
    /// Total cost of the account's attempts that have ended.
    [[nodiscard]] std::int64_t ended_cost_of(std::size_t account) const;
    [[nodiscard]] std::uint32_t used_slots() const;
    [[nodiscard]] std::size_t open_requests() const;
    static account_id account(std::size_t index);
    static domain_id domain(std::size_t index);

  private:
    struct fake_node;
    struct packet
    {
        time_point due;
        std::size_t from = 0;
        std::uint32_t incarnation = 0;
        std::uint64_t sequence = 0;
        instance_id to;
        std::vector<peer_message> messages;
    };
    struct running_attempt
    {
        std::size_t node = 0;
        std::uint32_t incarnation = 0;
        time_point done;
        attempt_result result;
        account_id account;
    };
    struct pending_list
    {
        time_point due;
        std::size_t node = 0;
        membership list;
    };

    void start(std::size_t index);
    void deliver();
    void finish_attempts();
    void deliver_membership();
    bool random_event(unsigned percent);
    [[nodiscard]] moment current_moment() const;
    [[nodiscard]] bool reachable(std::size_t from, std::size_t to) const;
    static std::string endpoint_name(std::size_t domain, std::size_t endpoint);
    topology make_topology() const;
    membership make_membership(const std::set<std::size_t>& without) const;
    void on_send(std::size_t from, instance_id to,
                 std::vector<peer_message> messages);
    void on_action(std::size_t from, const action& what);
    void begin_attempt(std::size_t from, const dispatch& command);
    void apply_result(fake_node& owner, const attempt_result& result);

    fleet_options plan_;
    boost::random::mt19937 random_;
    fault_probabilities fault_chances_;
    time_point now_{std::chrono::seconds(1000)};
    std::vector<std::unique_ptr<fake_node>> nodes_;
    std::deque<packet> packets_;
    std::vector<running_attempt> attempts_;
    std::vector<pending_list> pending_lists_;
    std::set<std::size_t> cut_;
    std::set<std::pair<std::size_t, endpoint_id>> hidden_endpoints_;
    std::map<request_id, outcome> outcomes_;
    std::map<event_number, int> events_;
    std::map<account_id, std::int64_t> service_;
    std::uint64_t list_version_ = 1;
    membership newest_list_;
    std::uint64_t next_request_ = 1;
};

} // namespace sycamorelock::core::testing
