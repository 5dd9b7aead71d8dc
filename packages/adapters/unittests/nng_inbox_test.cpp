// The inbox between instances while others connect and send. A program of its
// own: when the close of a socket hangs, the runner of the tests aborts and has
// no result of any of its tests. Named after the library of the links when the
// fault was found.
#include "../lib/push_pull.hpp"
#include "own_ip.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <memory>
#include <thread>

using namespace sycamorelock::adapters;

namespace
{

/// Ends the test with the name of the step that takes longer than a limit,
/// instead of a runner that only knows that time is over.
class step_watch
{
  public:
    explicit step_watch(std::chrono::seconds limit)
        : watcher_([this, limit] { watch(limit); })
    {
    }
    ~step_watch()
    {
        over_ = true;
        watcher_.join();
    }
    step_watch(const step_watch&) = delete;
    step_watch& operator=(const step_watch&) = delete;

    void enter(const char* step)
    {
        step_ = step;
        ++steps_;
    }

  private:
    void watch(std::chrono::seconds limit)
    {
        auto entered = std::chrono::steady_clock::now();
        int seen = 0;
        while (!over_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const auto now = std::chrono::steady_clock::now();
            if (steps_ != seen)
            {
                seen = steps_;
                entered = now;
            }
            if (now - entered < limit)
                continue;
            std::fprintf(stderr, "step %d, %s, does not end\n", seen,
                         step_.load());
            std::_Exit(1);
        }
    }

    std::atomic<const char*> step_{"begin"};
    std::atomic<int> steps_{0};
    std::atomic<bool> over_{false};
    std::thread watcher_;
};

} // namespace

// An instance that ended while others connected to it hung in the close of its
// inbox, once in some 400 ends; here one round in 70 hung.
Test(nng_link, an_inbox_closes_while_others_connect_and_send, .timeout = 60)
{
    static constexpr int rounds = 200;
    std::atomic<int> received{0};
    step_watch watch(std::chrono::seconds(5));
    for (int round = 0; round < rounds; ++round)
    {
        const std::string at = own_ip(round + 1) + ":47311";
        watch.enter("inbox opens");
        auto inbox = std::make_unique<pull_inbox>(at, [&](const std::string&)
                                                  { ++received; });
        watch.enter("links open");
        std::list<push_link> links;
        for (int i = 0; i < 4; ++i)
            links.emplace_back("127.0.0.1", at);
        watch.enter("links send");
        for (int n = 0; n < round % 60; ++n)
        {
            for (push_link& link : links)
                link.send(std::string(2000, 'x'));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        watch.enter("inbox closes");
        inbox.reset();
        watch.enter("links close");
        links.clear();
    }
    cr_expect_gt(received.load(), 100);
}
