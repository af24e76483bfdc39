/// @file
/// Checked reading of a YAML settings file.
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
/// @param file how errors name the text
/// @throws OptionsError on a fault of syntax.
[[nodiscard]] YAML::Node parseYaml(const std::string& text, const std::string& file);

/// Reads a whole file as text.
/// @throws OptionsError where it cannot be read.
[[nodiscard]] std::string readFileText(const std::string& file);

/// Reads and parses a YAML file.
/// @throws OptionsError where it cannot be read or has a fault of syntax.
[[nodiscard]] YAML::Node loadYamlFile(const std::string& file);

/// One mapping of a settings file. Every key is asked for by name and checked where it is read; afterwards
/// rejectUnknownKeys() refuses what nobody asked for. A key that is absent stands for the fallback. All
/// members that read throw OptionsError, with file, line and key of the fault.
class YamlSection {
 public:
  /// @param node the mapping; a null node is an empty one
  /// @param file how errors name the file
  /// @param path how errors name the mapping: the keys that lead to it, joined with dots; empty for the whole
  /// file
  /// @throws OptionsError where the node is no mapping, has a key twice or one that is no plain value.
  YamlSection(const YAML::Node& node, std::string file, std::string path);

  /// Whether the key is there.
  [[nodiscard]] bool has(const std::string& key);
  /// The mapping under a key, which must be there.
  [[nodiscard]] YamlSection section(const std::string& key);
  /// A text that must be there and not be empty.
  [[nodiscard]] std::string text(const std::string& key);
  /// A text.
  [[nodiscard]] std::string text(const std::string& key, const std::string& fallback);
  /// A truth value as YAML spells them.
  [[nodiscard]] bool boolean(const std::string& key, bool fallback);
  /// A whole number from `min` to `max`.
  [[nodiscard]] std::uint64_t count(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                    std::uint64_t max);
  /// A number of bytes: digits, then nothing or one of kB, MB, GB (powers of 1024).
  [[nodiscard]] std::uint64_t bytes(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                    std::uint64_t max);
  /// A duration: digits and one of ms, s, m.
  [[nodiscard]] std::chrono::nanoseconds duration(const std::string& key, std::chrono::nanoseconds fallback,
                                                  std::chrono::nanoseconds min, std::chrono::nanoseconds max);
  /// A number from `min` to `max`.
  [[nodiscard]] double number(const std::string& key, double fallback, double min, double max);
  /// A number from `min` to `max` out of a text that was read from below the key.
  [[nodiscard]] double parseNumber(const std::string& key, const std::string& text, double min,
                                   double max) const;
  /// A list of plain values, none of them twice; empty where it is absent.
  [[nodiscard]] std::vector<std::string> textList(const std::string& key);
  /// A mapping of at most `maxEntries` plain values; empty where it is absent.
  [[nodiscard]] std::map<std::string, std::string> textMap(const std::string& key, std::size_t maxEntries);
  /// Refuses every key that was not asked for so far.
  void rejectUnknownKeys() const;

  /// Where a key stands, as errors name it: `FILE:LINE: KEY`. A key that is absent stands at the mapping's
  /// start.
  [[nodiscard]] std::string locationOf(const std::string& key) const;
  /// Throws the OptionsError of a key.
  [[noreturn]] void reject(const std::string& key, const std::string& problem) const;

 private:
  // The scalar under a key, or an undefined node where it is absent.
  YAML::Node scalar(const std::string& key);
  // The node under a key; yaml-cpp's mutable look-up would insert it.
  [[nodiscard]] YAML::Node find(const std::string& key) const;
  [[nodiscard]] int lineOf(const std::string& key) const;
  [[nodiscard]] std::string pathOf(const std::string& key) const;

  YAML::Node node_;
  std::string file_;
  std::string path_;
  std::set<std::string> askedKeys_;  // bounded by the keys that readers know
};

}  // namespace rainhook::options
