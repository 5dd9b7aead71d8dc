// sycamorelockd: one router instance.
#include "daemon.hpp"

#include "sycamorelock/settings/documents.hpp"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("sycamorelockd", "Router between client accounts "
                                              "and model engines or services");
    options.add_options()("settings", "process settings (YAML)",
                          cxxopts::value<std::string>())(
        "h,help", "show this help")("version", "show the version");
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
        if (given.count("settings") == 0)
        {
            std::cerr << "sycamorelockd: --settings FILE is needed\n";
            return exit_usage;
        }
        const auto path = given["settings"].as<std::string>();
        const auto settings =
            sycamorelock::settings::read_process(read_file(path), path);
        return sycamorelock::run_daemon(settings);
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
