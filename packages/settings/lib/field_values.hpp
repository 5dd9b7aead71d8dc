// Values of fields that the reader has checked.
#pragma once

#include "reader.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorelock::settings
{

std::string text_of(const values& held, const char* name);
std::int64_t integer_of(const values& held, const char* name);
double number_of(const values& held, const char* name);
std::chrono::milliseconds ms_of(const values& held, const char* name);
/// Empty if the field is not a list.
std::vector<std::string> list_of(const values& held, const char* name);

bool is_ip(const std::string& text);
bool is_ip_and_port(const std::string& text);

} // namespace sycamorelock::settings
