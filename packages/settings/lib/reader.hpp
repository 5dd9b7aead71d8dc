// Reads YAML maps against a table of fields and collects findings.
#pragma once

#include "sycamorelock/settings/findings.hpp"
#include "sycamorelock/settings/schema.hpp"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamorelock::settings
{

/// Values of one map by field name, defaults and inherited ones included.
using values = std::map<std::string, YAML::Node>;

class reader
{
  public:
    explicit reader(std::string file) : file_(std::move(file)) {}

    /// Parses a document; a syntax error becomes a finding and an empty node.
    YAML::Node parse(const std::string& text);

    void report(const YAML::Node& at, const std::string& path,
                std::string text);

    /// Takes the known fields of a map on top of `inherited`. Keys in `others`
    /// are the caller's business; the rest are findings.
    values take(const YAML::Node& map, const std::string& path,
                std::span<const field> fields, const values& inherited,
                std::span<const std::string_view> others);

    /// Adds defaults and reports required fields that are missing.
    void complete(values& held, const YAML::Node& map, const std::string& path,
                  std::span<const field> fields);

    /// Called with the path, name, map and values of each leaf.
    using leaf_handler =
        std::function<void(const std::string& path, const std::string& name,
                           const YAML::Node& map, const values& held)>;

    /// Walks a tree in which `children` hold the maps beneath a map, and a
    /// value holds for all maps beneath it that do not override it.
    void walk(const YAML::Node& root, const std::string& path,
              std::span<const field> fields,
              std::span<const std::string_view> others,
              const leaf_handler& handle);

    [[nodiscard]] bool clean() const { return findings_.empty(); }
    /// \throws settings_error if anything was found.
    void finish() const;

  private:
    void check(const YAML::Node& value, const std::string& path,
               const field& rule);
    void check_number(const YAML::Node& value, const std::string& path,
                      const field& rule);
    void walk_map(const YAML::Node& map, const std::string& path,
                  const std::string& name, const values& inherited,
                  std::span<const field> fields,
                  std::span<const std::string_view> others,
                  const leaf_handler& handle, int depth);

    std::string file_;
    std::vector<finding> findings_;
};

} // namespace sycamorelock::settings
