/// @file
/// Reads and validates YAML settings files.
#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "options/options_error.h"

namespace rainhook::options {

/// Parses YAML text.
/// @param text the YAML
/// @param file the name of the text in errors
/// @throws OptionsError if the syntax is invalid.
[[nodiscard]] YAML::Node parseYaml(const std::string& text, const std::string& file);

/// Reads a whole file as text.
/// @throws OptionsError if the file cannot be opened.
[[nodiscard]] std::string readFileText(const std::string& file);

/// Reads and parses a YAML file.
/// @throws OptionsError if the file cannot be opened or its syntax is invalid.
[[nodiscard]] YAML::Node loadYamlFile(const std::string& file);

/// One mapping of a settings file. The caller reads each key by name, which validates its value, and then
/// calls rejectUnknownKeys(), which rejects the keys that were not read. An absent key yields the fallback.
/// All functions that read a value throw OptionsError with file, line and key if the value is invalid.
class YamlSection {
 public:
  /// @param node the mapping; a null node counts as an empty mapping
  /// @param file the name of the file in errors
  /// @param path the path of the mapping in errors: the keys that lead to it, joined with dots; empty for the
  ///             top level
  /// @throws OptionsError if the node is not a mapping, has a duplicate key or a key that is not a scalar.
  YamlSection(const YAML::Node& node, std::string file, std::string path);

  /// Whether the key is present. The key counts as read.
  [[nodiscard]] bool has(const std::string& key);
  /// The mapping under a key, which must be present.
  [[nodiscard]] YamlSection section(const std::string& key);
  /// A text that must be present and not empty.
  [[nodiscard]] std::string text(const std::string& key);
  /// A text, or the fallback if the key is absent.
  [[nodiscard]] std::string text(const std::string& key, const std::string& fallback);
  /// A boolean in a YAML spelling.
  [[nodiscard]] bool boolean(const std::string& key, bool fallback);
  /// An integer from `min` to `max`.
  [[nodiscard]] std::uint64_t count(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                    std::uint64_t max);
  /// A size in bytes from `min` to `max`: digits and optionally one of kB, MB, GB (powers of 1024).
  [[nodiscard]] std::uint64_t bytes(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                    std::uint64_t max);
  /// A duration from `min` to `max`: digits and one of ms, s, m.
  [[nodiscard]] std::chrono::nanoseconds duration(const std::string& key, std::chrono::nanoseconds fallback,
                                                  std::chrono::nanoseconds min, std::chrono::nanoseconds max);
  /// A number from `min` to `max`.
  [[nodiscard]] double number(const std::string& key, double fallback, double min, double max);
  /// Parses a text, such as a value of textMap(), as a number from `min` to `max`. An error names the key.
  [[nodiscard]] double parseNumber(const std::string& key, const std::string& text, double min,
                                   double max) const;
  /// A list of distinct scalars; empty if the key is absent.
  [[nodiscard]] std::vector<std::string> textList(const std::string& key);
  /// A mapping of at most `maxEntries` scalars; empty if the key is absent.
  [[nodiscard]] std::map<std::string, std::string> textMap(const std::string& key, std::size_t maxEntries);
  /// Throws an error for the first key that has not been read so far.
  void rejectUnknownKeys() const;

  /// The location of a key as in errors: `FILE:LINE: KEY`. The line of an absent key is the first line of the
  /// mapping.
  [[nodiscard]] std::string locationOf(const std::string& key) const;
  /// Throws the OptionsError for a key.
  [[noreturn]] void reject(const std::string& key, const std::string& problem) const;

 private:
  // The scalar under a key, or an undefined node if the key is absent.
  YAML::Node scalar(const std::string& key);
  // The node under a key. The function is const because yaml-cpp's non-const operator[] would insert the key.
  [[nodiscard]] YAML::Node find(const std::string& key) const;
  [[nodiscard]] int lineOf(const std::string& key) const;
  [[nodiscard]] std::string pathOf(const std::string& key) const;

  YAML::Node node_;
  std::string file_;
  std::string path_;
  std::set<std::string> requestedKeys_;  // bounded by the number of keys that the callers know
};

}  // namespace rainhook::options
