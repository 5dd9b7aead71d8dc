// Finds the story of one request in the log lines of any number of instances.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace sycamorelock
{

/// One line of a log, as far as it could be read.
struct log_line
{
    std::int64_t at_ms = 0;
    std::string instance;
    std::string name;
    std::string level;
    /// Fields of its own as "name=value", in the order of the line.
    std::string fields;
    std::string request;
    std::string endpoint;
    /// Attempt that began the stream which the request goes on with.
    std::string resumes;
};

/// Collects log lines and tells what concerns one request.
class log_explainer
{
  public:
    /// Reads lines; what stands before the JSON object of a line is skipped,
    /// and lines without one are counted as unreadable.
    void read(std::istream& in);

    /// Lines of the request in time order over all instances, and before its
    /// first decision what each instance that handled it last believed: its
    /// configuration, its store, its peers and the endpoint that was chosen.
    /// For a stream that goes on also the lines of the attempt that began it.
    [[nodiscard]] std::vector<log_line> story(const std::string& request) const;

    [[nodiscard]] std::size_t unreadable() const { return unreadable_; }

  private:
    [[nodiscard]] std::vector<log_line>
    lines_of(const std::string& request) const;

    std::vector<log_line> lines_;
    std::size_t unreadable_ = 0;
};

/// "time instance event fields"
std::string to_string(const log_line& line);

} // namespace sycamorelock
