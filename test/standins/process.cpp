// Processes, addresses and waiting.
#include "process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace standin
{

namespace
{

constexpr std::chrono::milliseconds poll_step{20};

std::string daemon_path()
{
    const char* given = std::getenv("SYCAMORELOCKD");
    return given != nullptr ? given : SYCAMORELOCKD_PATH;
}

} // namespace

/// Every fleet of every test process gets loopback addresses of its own, so
/// that fixed ports never collide.
std::string unique_ip(std::size_t index)
{
    static std::atomic<unsigned> fleets{0};
    thread_local unsigned mine = 0;
    if (index == 0)
        mine = ++fleets;
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (pid >> 8U) % 250U) + '.' +
           std::to_string(pid % 256U) + '.' +
           std::to_string(1 +
                          (mine * 40U + static_cast<unsigned>(index)) % 250U);
}

pid_t start_daemon(const std::string& settings_file,
                   const std::string& log_file)
{
    // A test that fails leaves at once; the kernel then ends its processes.
    const std::string program = "/usr/bin/setpriv";
    std::array<std::string, 6> words{program,      "--pdeathsig",
                                     "KILL",       daemon_path(),
                                     "--settings", settings_file};
    std::array<char*, 7> arguments{
        words[0].data(), words[1].data(), words[2].data(), words[3].data(),
        words[4].data(), words[5].data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    // Sockets of the proxy that stay open in a child would look half open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t process = -1;
    const int status = posix_spawn(&process, program.c_str(), &actions, nullptr,
                                   arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (status != 0)
        throw std::runtime_error("cannot start " + program);
    return process;
}

long peak_memory_kb(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("VmHWM:"))
            return std::strtol(line.c_str() + 6, nullptr, 10);
    }
    return 0;
}

std::size_t descriptors_of(pid_t process)
{
    std::size_t count = 0;
    std::error_code gone;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& each : std::filesystem::directory_iterator(folder, gone))
        count += each.path().empty() ? 0 : 1;
    return count;
}

std::string text_of(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

bool wait_for_exit(pid_t process, std::chrono::seconds limit, int* status)
{
    int result = 0;
    const bool ended = eventually(
        [&] { return waitpid(process, &result, WNOHANG) == process; }, limit);
    if (status != nullptr)
        *status = result;
    return ended;
}

bool eventually(const std::function<bool()>& holds,
                std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_step);
    }
    return true;
}

} // namespace standin
