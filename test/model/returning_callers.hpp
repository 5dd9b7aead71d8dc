// Callers of the simulation that are refused and return once.
#pragma once

#include <cstdint>
#include <vector>

namespace model
{

/// What callers do after a refusal.
enum class caller_behaviour : std::uint8_t
{
    /// They do not return.
    gives_up,
    /// They return when they are told, but wait for at most a third of the
    /// time that they have left.
    returns_as_told,
    /// They return at once and state the time that they would have left if
    /// they had waited.
    returns_early,
};

/// Counts of callers that were refused and returned.
struct return_counts
{
    /// Callers that were promised room.
    unsigned promised = 0;
    unsigned promised_served = 0;
    /// Callers that were told to return without a promise.
    unsigned others = 0;
    unsigned others_served = 0;
};

/// Callers that are going to return.
template <class Request> class returning_callers
{
  public:
    void add(double due_ms, Request request)
    {
        waiting_.push_back({due_ms, std::move(request)});
    }
    /// Removes and returns the callers whose time has come.
    std::vector<Request> take_due(double now_ms)
    {
        std::vector<Request> due;
        std::vector<entry> left;
        for (entry& each : waiting_)
        {
            if (each.due_ms <= now_ms)
                due.push_back(std::move(each.request));
            else
                left.push_back(std::move(each));
        }
        waiting_ = std::move(left);
        return due;
    }

  private:
    struct entry
    {
        double due_ms = 0;
        Request request;
    };

    std::vector<entry> waiting_;
};

} // namespace model
