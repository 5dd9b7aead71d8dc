// Loopback addresses of this process only: two runs of the tests beside each
// other must not listen at the same ones.
#pragma once

#include <string>

#include <unistd.h>

inline std::string own_ip(int last)
{
    const int pid = getpid();
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' +
           std::to_string(pid % 250) + '.' + std::to_string(last);
}
