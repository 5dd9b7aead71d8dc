// sycamorelock: the operators' command line.
#include "log_explainer.hpp"
#include "loss_table.hpp"
#include "operator_client.hpp"

#include "sycamorelock/settings/direct_settings.hpp"
#include "sycamorelock/settings/documents.hpp"
#include "sycamorelock/settings/schema.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

namespace json = boost::json;
using sycamorelock::ask_operator_port;
using sycamorelock::operator_answer;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr const char* usage = R"(sycamorelock: operators' command line

  sycamorelock check FILE...       check settings: process files, trees, lists
  sycamorelock status              state of an instance
  sycamorelock explain REQUEST     what happened to a request at its entry
  sycamorelock explain REQUEST --log FILE...
                                   the same from log files (- for standard
                                   input) of any number of instances
  sycamorelock losses [GROUP] --log FILE...
                                   which requests were refused, late or cut,
                                   and why, by route (default), account,
                                   instance, size or window of ten seconds
  sycamorelock metrics             metrics in Prometheus text
  sycamorelock drain               start a graceful shutdown
  sycamorelock digest KEY          digest of an API key for the tree
  sycamorelock reference           settings reference

  --at IP:PORT   operator port of the instance (default 127.0.0.1:9100)
  --json         print JSON
  --help, --version

Exit codes: 0 done, 1 failed or findings, 2 wrong usage.
)";

/// Which document a file holds, told by its top-level keys.
std::vector<sycamorelock::settings::finding> check_file(const std::string& path)
{
    using namespace sycamorelock::settings;
    std::ifstream in(path);
    if (!in)
        return {{path, 0, 0, "(file)", "cannot be read"}};
    std::ostringstream buffer;
    buffer << in.rdbuf();
    const std::string text = buffer.str();
    const auto has_key = [&](const std::string& key)
    {
        return text.starts_with(key + ':') ||
               text.find('\n' + key + ':') != std::string::npos;
    };
    try
    {
        if (has_key("accounts") || has_key("services"))
            read_tree(text, path, 1);
        else if (is_direct(text))
            read_direct(text, path);
        else if (has_key("instances"))
            read_members(text, path);
        else
            read_process(text, path);
    }
    catch (const settings_error& error)
    {
        return error.findings();
    }
    return {};
}

int check(const std::vector<std::string>& files, bool as_json)
{
    json::array list;
    std::size_t count = 0;
    for (const std::string& file : files)
    {
        for (const auto& found : check_file(file))
        {
            ++count;
            if (!as_json)
            {
                std::cout << to_string(found) << '\n';
                continue;
            }
            list.push_back({{"file", found.file},
                            {"line", found.line},
                            {"column", found.column},
                            {"path", found.path},
                            {"text", found.text}});
        }
    }
    if (as_json)
        std::cout << json::serialize(list) << '\n';
    else if (count == 0)
        std::cout << "no findings\n";
    return count == 0 ? exit_ok : exit_failed;
}

/// Prints a flat view of a JSON object, one "name: value" a line.
void print_plain(const std::string& text)
{
    const json::value root = json::parse(text);
    for (const auto& [name, value] : root.as_object())
    {
        if (!value.is_array())
        {
            std::cout << name << ": "
                      << (value.is_string() ? std::string(value.as_string())
                                            : json::serialize(value))
                      << '\n';
            continue;
        }
        std::cout << name << ":\n";
        for (const json::value& item : value.as_array())
            std::cout << "  " << json::serialize(item) << '\n';
    }
}

int ask(const std::string& at, const std::string& method,
        const std::string& target, bool plain)
{
    const operator_answer answer = ask_operator_port(at, method, target);
    const bool good = answer.status >= 200 && answer.status < 300;
    if (!good)
    {
        std::cerr << "sycamorelock: " << answer.body;
        return exit_failed;
    }
    if (plain)
        print_plain(answer.body);
    else
        std::cout << answer.body << (answer.body.ends_with('\n') ? "" : "\n");
    return exit_ok;
}

/// Reads files, or standard input for "-". Returns whether all could be read.
template <class Reader>
bool read_logs(Reader& logs, const std::vector<std::string>& files)
{
    for (const std::string& file : files)
    {
        if (file == "-")
        {
            logs.read(std::cin);
            continue;
        }
        std::ifstream in(file);
        if (!in)
        {
            std::cerr << "sycamorelock: cannot read " << file << '\n';
            return false;
        }
        logs.read(in);
    }
    return true;
}

int print_losses(sycamorelock::loss_group by,
                 const std::vector<std::string>& files)
{
    sycamorelock::loss_table losses(by);
    if (!read_logs(losses, files))
        return exit_failed;
    losses.print(std::cout);
    if (losses.unreadable() > 0)
        std::cerr << "sycamorelock: " << losses.unreadable()
                  << " unreadable lines\n";
    return exit_ok;
}

int explain_from_logs(const std::string& request,
                      const std::vector<std::string>& files)
{
    sycamorelock::log_explainer logs;
    if (!read_logs(logs, files))
        return exit_failed;
    const auto story = logs.story(request);
    for (const auto& line : story)
        std::cout << to_string(line) << '\n';
    if (story.empty())
        std::cerr << "sycamorelock: no line tells of request " << request
                  << " (" << logs.unreadable() << " unreadable lines)\n";
    return story.empty() ? exit_failed : exit_ok;
}

int run(const cxxopts::ParseResult& given)
{
    const auto& words = given.unmatched();
    const std::string command = words.empty() ? "" : words.front();
    const std::vector<std::string> rest(
        words.empty() ? words.end() : words.begin() + 1, words.end());
    const bool as_json = given.count("json") > 0;
    const auto at = given["at"].as<std::string>();
    if (command == "check" && !rest.empty())
        return check(rest, as_json);
    if (command == "status" && rest.empty())
        return ask(at, "GET", "/status", !as_json);
    if (command == "explain" && !rest.empty() && given.count("log") > 0)
    {
        auto files = given["log"].as<std::vector<std::string>>();
        files.insert(files.end(), rest.begin() + 1, rest.end());
        return explain_from_logs(rest.front(), files);
    }
    if (command == "losses" && rest.size() <= 1 && given.count("log") > 0)
    {
        const auto by =
            sycamorelock::loss_group_of(rest.empty() ? "route" : rest.front());
        if (by)
            return print_losses(*by,
                                given["log"].as<std::vector<std::string>>());
    }
    if (command == "explain" && rest.size() == 1)
        return ask(at, "GET", "/explain?request=" + rest.front(), !as_json);
    if (command == "metrics" && rest.empty())
        return ask(at, "GET", "/metrics", false);
    if (command == "drain" && rest.empty())
        return ask(at, "POST", "/drain", !as_json);
    if (command == "digest" && rest.size() == 1)
    {
        std::cout << sycamorelock::settings::digest_of_key(rest.front())
                  << '\n';
        return exit_ok;
    }
    if (command == "reference" && rest.empty())
    {
        std::cout << sycamorelock::settings::reference_tables();
        return exit_ok;
    }
    std::cerr << usage;
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("sycamorelock");
    options.allow_unrecognised_options();
    options.add_options()("at", "operator port",
                          cxxopts::value<std::string>()->default_value(
                              "127.0.0.1:9100"))("json", "print JSON")(
        "log", "log file", cxxopts::value<std::vector<std::string>>())(
        "h,help", "show help")("version", "show the version");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << usage;
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "sycamorelock " SYCAMORELOCK_VERSION "\n";
            return exit_ok;
        }
        return run(given);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "sycamorelock: " << error.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << "sycamorelock: " << error.what() << '\n';
        return exit_failed;
    }
}
