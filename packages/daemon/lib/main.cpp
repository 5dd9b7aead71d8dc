// sycamorelockd: one router instance.
#include "daemon.hpp"
#include "direct_daemon.hpp"
#include "settings_file.hpp"

#include "sycamorelock/settings/direct_settings.hpp"
#include "sycamorelock/settings/documents.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Names the settings file if the command line does not.
constexpr const char* settings_variable = "SYCAMORELOCK_CONFIG";

/// Until an instance waits for signals itself it has accepted nothing, and may
/// end at once.
void end_during_start(int)
{
    std::_Exit(exit_ok);
}

/// Blocks from this size on are mapped individually and unmapped when they are
/// freed. By default glibc raises the threshold to the size of the largest
/// freed block, and then large requests fragment the heap.
constexpr int mapped_block_bytes = 128 * 1024;

void return_freed_memory()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, mapped_block_bytes);
}

int run(const std::string& text, const std::string& path)
{
    using namespace sycamorelock;
    if (settings::is_direct(text))
    {
        const int code =
            run_direct_daemon(settings::read_direct(text, path), path, text);
        // All lines are written by now, or their reader has stopped; flushing
        // the standard streams would then hang the end of the process.
        std::_Exit(code);
    }
    return run_daemon(settings::read_process(text, path));
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGTERM, end_during_start);
    std::signal(SIGINT, end_during_start);
    return_freed_memory();
    cxxopts::Options options("sycamorelockd", "Router between client accounts "
                                              "and model engines or services");
    options.add_options()(
        "settings", "process settings (YAML); default: $SYCAMORELOCK_CONFIG",
        cxxopts::value<std::string>())("h,help", "show this help")(
        "version", "show the version");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "sycamorelockd " SYCAMORELOCK_VERSION "\n";
            return exit_ok;
        }
        const char* from_environment = std::getenv(settings_variable);
        if (given.count("settings") == 0 && from_environment == nullptr)
        {
            std::cerr << "sycamorelockd: --settings FILE is needed\n";
            return exit_usage;
        }
        const auto path = given.count("settings") > 0
                              ? given["settings"].as<std::string>()
                              : std::string(from_environment);
        return run(sycamorelock::read_file(path), path);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "sycamorelockd: " << error.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return exit_failed;
    }
}
