// Follows the configuration store: reads everything, then waits for changes,
// and starts anew whenever it may have missed one.
#pragma once

#include "sycamorelock/adapters/direct/dialect.hpp"
#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/core/strong_types.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sycamorelock::adapters::direct
{

/// What the watch tells its owner, on the thread of the io_context.
struct store_listener
{
    std::function<void(const std::string& config)> on_config;
    /// Complete listings: all pages as one. That of the operators comes first.
    std::function<void(const operator_page&)> on_operators;
    std::function<void(const endpoint_page&)> on_list;
    std::function<void(const store_news&)> on_news;
    /// The store answered. Comes before the news that the answer brings.
    std::function<void()> on_answer;
};

class store_watch
{
  public:
    store_watch(boost::asio::io_context& io, std::string address,
                const dialect_table& dialect, event_log& log,
                store_listener listener);

    void start();
    /// Whether this instance follows the store; otherwise it makes no calls
    /// once the first listing is read.
    void set_following(bool following);
    [[nodiscard]] bool following() const;
    /// The revision up to which everything was read, and when the store last
    /// answered.
    [[nodiscard]] std::uint64_t revision() const;
    [[nodiscard]] core::time_point answered_at() const;
    /// What came before this revision is known by another way.
    void advance_to(std::uint64_t revision);
    /// Others depend on this instance: it waits for changes in short calls, so
    /// that a silent store shows soon.
    void set_relied_on(bool relied_on);
    /// Another instance asks the store too and tells this one when it answers
    /// again, so that this one may ask less often while it does not.
    void set_patient(bool patient);
    /// Calls made so far.
    [[nodiscard]] std::uint64_t calls() const;

  private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sycamorelock::adapters::direct
