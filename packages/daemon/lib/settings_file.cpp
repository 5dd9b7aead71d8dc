// Whole files as text.
#include "settings_file.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sycamorelock
{

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace sycamorelock
