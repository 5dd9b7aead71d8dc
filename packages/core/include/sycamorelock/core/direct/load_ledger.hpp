// Work that the fleet has sent to each endpoint: this instance's own requests
// exactly, those of the other instances as they last told.
#pragma once

#include "sycamorelock/core/strong_types.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace sycamorelock::core::direct
{

/// Open work at one endpoint.
struct endpoint_work
{
    endpoint_id endpoint;
    /// Engine time, in ms, of prompts whose first token is still due.
    double unread_ms = 0;
    /// Requests whose first token is still due, or plain requests.
    unsigned waiting = 0;
    /// Streams that have begun.
    unsigned running = 0;
    /// Tokens in memory of all of these.
    double tokens = 0;

    endpoint_work& operator+=(const endpoint_work& other)
    {
        unread_ms += other.unread_ms;
        waiting += other.waiting;
        running += other.running;
        tokens += other.tokens;
        return *this;
    }
    /// Takes out what was added before.
    endpoint_work& operator-=(const endpoint_work& other)
    {
        unread_ms = std::max(0.0, unread_ms - other.unread_ms);
        waiting -= std::min(waiting, other.waiting);
        running -= std::min(running, other.running);
        tokens = std::max(0.0, tokens - other.tokens);
        return *this;
    }
    [[nodiscard]] bool idle() const { return waiting == 0 && running == 0; }
};

class load_ledger
{
  public:
    /// A report that is older says nothing any more: within this time most
    /// first tokens have come. In units of the report period (100 ms) it
    /// bridges ten lost reports.
    static constexpr duration report_life = std::chrono::milliseconds(1000);

    /// What one request holds at its endpoint.
    struct hold
    {
        endpoint_id endpoint;
        double unread_ms = 0;
        double tokens = 0;
        bool begun = false;
        /// When the endpoint is thought to begin to read the prompt, and how
        /// much longer than `unread_ms` it takes, as a factor.
        time_point reads_from = time_point::max();
        double slowness = 1;
        /// Assigned when it is opened.
        std::uint64_t number = 0;
    };

    void open(hold& taken);
    void begin(hold& held);
    void close(const hold& held);
    /// Prompts are read on up to this time.
    void advance(time_point now) { now_ = now; }

    /// Takes the whole state of another instance.
    void report(time_point now, instance_id from,
                const std::vector<endpoint_work>& work);
    void forget_instance(instance_id gone) { reports_.erase(gone); }

    /// Drops old reports and sums the rest up. To be called before a series of
    /// questions, at least every report period.
    void refresh(time_point now);

    /// Work of the whole fleet at an endpoint.
    [[nodiscard]] endpoint_work total(endpoint_id endpoint) const;

    /// Requests that the other instances have open at an endpoint, as they last
    /// told.
    [[nodiscard]] unsigned open_elsewhere(endpoint_id endpoint) const;

    /// Requests that the other instances have open, as they last told.
    [[nodiscard]] unsigned open_elsewhere() const;

    /// This instance's own work, for its report.
    [[nodiscard]] std::vector<endpoint_work> own() const;

  private:
    struct instance_report
    {
        time_point at;
        std::vector<endpoint_work> work;
    };
    /// A prompt that is still to be read, or partly.
    struct unread_prompt
    {
        std::uint64_t number = 0;
        double ms = 0;
        time_point reads_from;
        double slowness = 1;

        [[nodiscard]] double left_ms(time_point now) const;
    };
    struct own_work
    {
        /// Without `unread_ms`.
        endpoint_work sum;
        std::vector<unread_prompt> unread;
    };

    /// The own work at an endpoint as it is now.
    [[nodiscard]] endpoint_work as_of_now(const own_work& work) const;
    static void has_read(own_work& work, const hold& held);

    time_point now_;
    std::uint64_t opened_ = 0;
    std::map<endpoint_id, own_work> own_;
    std::map<endpoint_id, endpoint_work> others_;
    std::map<instance_id, instance_report> reports_;
};

} // namespace sycamorelock::core::direct
