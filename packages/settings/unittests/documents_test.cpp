// Checks of settings documents, also of ones that nobody meant to write.
#include "sycamorelock/settings/documents.hpp"
#include "sycamorelock/settings/schema.hpp"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

using namespace sycamorelock;
using namespace sycamorelock::settings;

namespace
{

constexpr const char* good_tree = R"(accounts:
  weight: 2
  children:
    cooperatives:
      max_in_flight: 7
      children:
        north: {}
        south: {weight: 5}
    lone: {}
services:
  children:
    planner:
      endpoints:
        slots: 16
        domain: a
        children:
          e1: {address: '127.0.0.1:9001'}
          e2: {address: '127.0.0.1:9002', domain: b}
)";

std::vector<finding> findings_of(const std::string& text)
{
    try
    {
        read_tree(text, "tree.yaml", 1);
    }
    catch (const settings_error& error)
    {
        return error.findings();
    }
    return {};
}

} // namespace

Test(documents, a_parents_value_holds_unless_a_child_overrides_it)
{
    const core::topology tree = read_tree(good_tree, "tree.yaml", 3);
    cr_assert_eq(tree.version.number, 3U);
    cr_assert_eq(tree.accounts.size(), 3U);
    const auto& north = tree.accounts.at(core::account_id::of("north"));
    cr_assert_eq(north.weight, 2);
    cr_assert_eq(north.max_in_flight, 7U);
    cr_assert_eq(tree.accounts.at(core::account_id::of("south")).weight, 5);
    cr_assert_eq(tree.accounts.at(core::account_id::of("lone")).max_in_flight,
                 1000U);
    const auto& planner = tree.services.at(core::service_id::of("planner"));
    cr_assert_eq(planner.endpoints.size(), 2U);
    cr_assert_eq(planner.endpoints[1].slots, 16U);
    cr_assert(planner.endpoints[1].domain == core::domain_id::of("b"));
}

Test(documents, all_findings_are_reported_with_their_place)
{
    const auto found = findings_of(R"(accounts:
  children:
    a: {wight: 2}
    b: {weight: -1}
    c: {keys: [abc]}
services:
  children:
    s:
      kind: magic
      endpoints:
        children:
          e: {address: here, domain: a, slots: 1.5}
)");
    cr_assert_eq(found.size(), 6U, "%zu", found.size());
    cr_assert_eq(found[0].line, 3);
    cr_assert_eq(found[0].column, 9);
    cr_assert_str_eq(found[0].path.c_str(), "accounts.a.wight");
    cr_assert_str_eq(found[0].text.c_str(), "unknown setting");
}

Test(documents, broken_documents_are_findings_and_never_crashes)
{
    for (const char* text :
         {"", "7", "[]", "accounts", "accounts: [", "accounts: {children: 3}",
          "accounts: {children: {a: []}}", "\t", "a: &x [*x]", "services: 1",
          "accounts: {children: {a: {keys: {}}}}", "accounts: {weight: 1}",
          "services: {children: {s: {endpoints: 4}}}", "{{{{",
          "? :", "accounts: {children: {a: {weight: .nan}}}"})
    {
        const auto found = findings_of(text);
        cr_assert(!found.empty() || std::string(text).empty(), "%s", text);
    }
}

Test(documents, the_same_key_or_name_twice_is_a_finding)
{
    const std::string key = digest_of_key("secret");
    cr_assert_eq(findings_of("accounts: {children: {a: {keys: [" + key +
                             "]}, b: {keys: [" + key + "]}}}")
                     .size(),
                 1U);
    cr_assert_eq(
        findings_of("accounts: {children: {a: {}, g: {children: {a: {}}}}}")
            .size(),
        1U);
}

Test(documents, a_process_file_needs_its_fields)
{
    try
    {
        read_process("name: a1\nprot: 1\n", "p.yaml");
        cr_assert_fail();
    }
    catch (const settings_error& error)
    {
        cr_assert(error.findings().size() >= 7);
        cr_assert_eq(error.findings().front().line, 2);
    }
}

Test(documents, members_name_instances_and_leaving_endpoints)
{
    const core::membership list = read_members(
        "version: 4\ninstances:\n  - {name: a1, domain: a, address: "
        "'127.0.0.1:7000'}\n  - {name: a2, domain: a, address: "
        "'127.0.0.1:7001', state: leaving}\nleaving_endpoints: [s/e1]\n",
        "list");
    cr_assert_eq(list.version, 4U);
    cr_assert(list.members.at(core::instance_id::of("a2")).leaving);
    cr_assert_eq(list.leaving_endpoints.size(), 1U);
}

Test(documents, the_reference_in_the_docs_is_the_schema)
{
    std::ifstream in(SOURCE_DIR "/docs/OPERATING.md");
    std::ostringstream text;
    text << in.rdbuf();
    cr_assert(text.str().find(reference_tables()) != std::string::npos,
              "paste the output of 'sycamorelock reference'");
}

// A body within its limit must fit into what callers may hold.
Test(documents, a_body_limit_beyond_the_memory_is_a_finding)
{
    const std::string file = R"(name: a1
domain: a
address: 127.0.0.1
caller_port: 0
peer_port: 7000
operator_port: 0
fleet_key: a-key-for-tests-only
platform: ['127.0.0.1:1']
max_body_bytes: 20000000
)";
    std::vector<finding> found;
    try
    {
        read_process(file, "a1.yaml");
    }
    catch (const settings_error& error)
    {
        found = error.findings();
    }
    cr_assert_eq(found.size(), 1U);
    cr_expect(found.front().text.find("memory_mb") != std::string::npos, "%s",
              found.front().text.c_str());
    cr_expect_eq(read_process(file + "memory_mb: 400\n", "a1.yaml").memory_mb,
                 400U);
}
