// Counts something as long as it lasts.
#pragma once

namespace sycamorelock::adapters
{

/// \tparam Counter a number, or an atomic one.
template <class Counter> class scoped_count
{
  public:
    explicit scoped_count(Counter& count) : count_(count) { ++count_; }
    ~scoped_count() { --count_; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

  private:
    Counter& count_;
};

} // namespace sycamorelock::adapters
