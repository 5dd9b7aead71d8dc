// Holds the event catalogue in the code and in the docs together.
#include "sycamorelock/adapters/event_log.hpp"
#include "sycamorelock/core/outbox.hpp"

#include <cctype>
#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

using namespace sycamorelock::adapters;

namespace
{

std::string catalogue_text()
{
    std::ifstream in(SOURCE_DIR "/docs/EVENTS.md");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string level_name(severity level)
{
    static const std::string names[] = {"debug", "info", "warn", "error"};
    return names[static_cast<std::size_t>(level)];
}

} // namespace

Test(events, each_event_of_the_code_has_its_row_in_the_docs)
{
    const std::string text = catalogue_text();
    for (const event_kind& kind : event_catalogue())
    {
        const std::string row = "| " + std::to_string(kind.number) + " | " +
                                level_name(kind.level) + " | `" +
                                std::string(kind.name) + "` | " +
                                std::string(kind.meaning) + " |";
        cr_assert(text.find(row) != std::string::npos, "%s", row.c_str());
    }
}

Test(events, the_docs_have_no_row_beyond_the_code)
{
    const std::string text = catalogue_text();
    std::istringstream lines(text);
    std::string line;
    std::size_t rows = 0;
    while (std::getline(lines, line))
    {
        const bool numbered =
            line.size() > 2 && line.starts_with("| ") &&
            std::isdigit(static_cast<unsigned char>(line[2])) != 0;
        rows += numbered ? 1 : 0;
    }
    cr_assert_eq(rows, event_catalogue().size());
}

Test(events, numbers_are_unique_and_ordered)
{
    const auto kinds = event_catalogue();
    const bool ordered = std::is_sorted(kinds.begin(), kinds.end(),
                                        [](const auto& a, const auto& b)
                                        { return a.number <= b.number; });
    cr_assert(ordered);
}

Test(events, an_event_is_counted)
{
    event_log log("test", "error");
    log.write(process_event::ready, {});
    log.write(process_event::ready, {});
    cr_assert_eq(log.counts().at(1002), 2U);
}
