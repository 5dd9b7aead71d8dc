// How log lines name a release.
#pragma once

#include "sycamorelock/core/direct/release.hpp"

#include <string>

namespace sycamorelock::adapters::direct
{

std::string to_text(core::direct::release_id release);

} // namespace sycamorelock::adapters::direct
