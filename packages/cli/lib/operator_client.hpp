// Client of an instance's operator port.
#pragma once

#include <string>

namespace sycamorelock
{

/// Answer of the operator port.
struct operator_answer
{
    unsigned status = 0;
    std::string body;
};

/// Sends one request to IP:port and reads the answer.
/// \throws std::runtime_error if the instance does not answer in time.
operator_answer ask_operator_port(const std::string& address,
                                  const std::string& method,
                                  const std::string& target);

} // namespace sycamorelock
