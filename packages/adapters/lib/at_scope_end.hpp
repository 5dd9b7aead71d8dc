// Work that is owed at the end of a scope.
#pragma once

#include <utility>

namespace sycamorelock::adapters
{

/// Calls a function at the end of a scope, also when an exception leaves it.
template <class Function> class at_scope_end
{
  public:
    explicit at_scope_end(Function function) : function_(std::move(function)) {}
    ~at_scope_end() { function_(); }
    at_scope_end(const at_scope_end&) = delete;
    at_scope_end& operator=(const at_scope_end&) = delete;

  private:
    Function function_;
};

} // namespace sycamorelock::adapters
