// Problems found in a settings document, with their place.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace sycamorelock::settings
{

/// One problem. Lines and columns count from one; zero means the whole file.
struct finding
{
    std::string file;
    int line = 0;
    int column = 0;
    /// Dotted way from the root of the document to the value.
    std::string path;
    std::string text;
};

/// "file:line:column: path: text"
std::string to_string(const finding& found);

/// All findings of one document. Nothing of it has been applied.
class settings_error : public std::runtime_error
{
  public:
    explicit settings_error(std::vector<finding> findings);
    [[nodiscard]] const std::vector<finding>& findings() const
    {
        return findings_;
    }

  private:
    std::vector<finding> findings_;
};

} // namespace sycamorelock::settings
