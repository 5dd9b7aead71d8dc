// Load of several accounts on a fleet, with a record of what became of it.
#pragma once

#include "fleet.hpp"
#include "trace.hpp"

#include <random>

namespace standin
{

/// How an account sends.
struct sender
{
    std::string account;
    double weight = 1;
    /// Requests kept open at once; several times its share is a backlog.
    int open = 1;
    /// Instances it sends through; empty for all.
    std::vector<std::size_t> through{};
    long least_tokens = 20;
    long most_tokens = 80;
    /// Pause between requests. Senders with one are not backlogged.
    std::chrono::milliseconds pause{0};
    bool urgent = false;
    /// One in so many requests must not run twice; zero for none.
    unsigned once_in = 5;

    [[nodiscard]] bool backlogged() const { return pause.count() == 0; }
};

/// An account with short urgent requests and a pause between them.
sender
lookups(const std::string& account, long tokens = 4,
        std::chrono::milliseconds pause = std::chrono::milliseconds(100));

/// Everything that one run counts.
struct tally
{
    std::map<std::string, account_trace> accounts;
    std::map<std::string, std::vector<double>> first_token_ms;
    std::vector<std::string> once_marks;
    /// Marks of refused requests, and whether "not run" was said.
    std::vector<std::pair<std::string, bool>> refused;
    long offered = 0;
    long completed = 0;
    long refused_not_run = 0;
    long unknown = 0;
    /// Refusals and unknown ends by reason, for the message of a failed test.
    std::map<std::string, long> reasons;
    [[nodiscard]] std::string reasons_text() const;
    /// Neither an answer nor a refusal, or an answer that ended early.
    long lost = 0;
    long foreign = 0;
    double busy = 0;
    double available = 0;
};

class load
{
  public:
    load(fleet& running, std::string service, std::size_t slots,
         std::vector<sender> senders, std::uint64_t seed);
    ~load();

    /// Runs in a thread of its own until `stop`.
    void start();
    /// Lets open requests end and returns the record.
    const tally& stop();
    /// Runs for a while and returns the record.
    const tally& run(std::chrono::milliseconds length);

    /// Number of samples taken so far; marks a moment for `gap`.
    [[nodiscard]] std::size_t moment() const { return samples_; }
    /// Fairness gap between backlogged senders from one moment to another.
    [[nodiscard]] double gap(std::size_t from, std::size_t to) const;
    /// Marks that ran more than once although they must not.
    [[nodiscard]] long run_twice() const;
    /// Refusals that said "not run" of a request that ran.
    [[nodiscard]] long untrue_refusals() const;

  private:
    asio::awaitable<void> send(sender who, int number);
    asio::awaitable<void> once(const sender& who, std::size_t to);
    asio::awaitable<void> sample();
    void record(const sender& who, const call& made, const answer& got);

    fleet& fleet_;
    std::string service_;
    std::size_t slots_;
    std::vector<sender> senders_;
    std::mt19937_64 random_;
    tally tally_;
    int waiting_ = 0;
    std::atomic<bool> stop_{false};
    std::atomic<std::size_t> samples_{0};
    asio::io_context context_{1};
    std::thread thread_;
};

} // namespace standin
