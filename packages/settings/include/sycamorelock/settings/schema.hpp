// The fields that settings documents may hold. The checks, the defaults and
// the reference in docs/OPERATING.md all come from these tables.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace sycamorelock::settings
{

enum class field_kind : unsigned char
{
    text,
    integer,
    number,
    boolean,
    text_list,
    choice,
};

/// One field. `low` and `high` bound numbers and the length of texts.
struct field
{
    std::string_view name;
    field_kind kind;
    bool required;
    double low;
    double high;
    /// Default in text form; for a choice, the first of the choices.
    std::string_view fallback;
    /// Choices separated by '|'.
    std::string_view choices;
    std::string_view description;
};

/// Fields of the process file.
std::span<const field> process_fields();
/// Fields of the process file of an instance that routes directly.
std::span<const field> direct_fields();
/// Fields of an account in the operators' tree.
std::span<const field> account_fields();
/// Fields of a service in the operators' tree.
std::span<const field> service_fields();
/// Fields of an endpoint of a service.
std::span<const field> endpoint_fields();
/// Fields of an instance in the platform's member list.
std::span<const field> member_fields();

/// Settings reference as Markdown tables, kept in docs/OPERATING.md.
std::string reference_tables();

} // namespace sycamorelock::settings
