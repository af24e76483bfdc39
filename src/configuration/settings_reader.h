/// @file
/// Settings as a map from paths to text values, and a reader that validates each value when it is read.
///
/// The operators' settings have two forms: lines of `path=value` (from the simulator) and nested JSON (in a
/// server's configuration file). Both are converted into a SettingsMap.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_error.h"
#include "decision/decision.h"

namespace rainhook {

/// Text values by path, such as `domain.cores` or `classes.0.name`.
using SettingsMap = std::map<std::string, std::string>;

/// Parses one `path=value` pair per line. Skips empty lines; the last of several values of one path wins.
/// @throws ConfigurationError if a line has no '='.
[[nodiscard]] SettingsMap parseSettingsText(std::string_view text);

/// Flattens nested JSON into the same paths. A list of plain values becomes one value joined with commas. A
/// list of objects becomes the paths `LIST.0.…`, `LIST.1.…`, and its length is stored under `LIST.count`.
/// Null becomes an empty text.
[[nodiscard]] SettingsMap flattenSettingsJson(const nlohmann::json& nested);

/// Reads validated values from a SettingsMap. An absent or empty value yields the fallback that the caller
/// passes; an invalid value throws ConfigurationError. The reader ignores paths that are never read, since
/// operators add settings that rainhook does not know.
///
/// Returned views point into the reader and are valid as long as the reader exists.
class SettingsReader {
 public:
  /// The default upper bound of count(). It limits the memory that a setting can claim, since most counts
  /// determine the number of rows of a table.
  static constexpr int maxTableRows = 65536;

  /// A word that a setting may contain, and its meaning.
  template <typename Value>
  struct Choice {
    std::string_view word;  ///< the word in the settings
    Value value;            ///< the value that the word stands for
  };

  /// @param values the settings to read
  /// @param source the name of the input in errors, such as "settings"
  SettingsReader(SettingsMap values, std::string source);

  /// The unparsed value; empty if it is absent.
  [[nodiscard]] std::string_view text(const std::string& path) const;
  /// The unparsed value, which must not be absent or empty.
  [[nodiscard]] std::string_view requiredText(const std::string& path) const;
  /// A finite number of 0 or more.
  [[nodiscard]] double number(const std::string& path, double fallback) const;
  /// A boolean: `true` or `1`, `false` or `0`. An absent value means false.
  [[nodiscard]] bool boolean(const std::string& path) const;
  /// An integer number of nanoseconds, 0 or more.
  [[nodiscard]] Duration duration(const std::string& path, Duration fallback = {}) const;
  /// An integer from 0 to `max`.
  [[nodiscard]] int count(const std::string& path, int fallback, int max = maxTableRows) const;
  /// The values of a comma-separated list; empty if the list is absent.
  [[nodiscard]] std::vector<std::string_view> list(const std::string& path) const;
  /// The finite number at an index of a list; 0 beyond the list's end.
  [[nodiscard]] double numberAt(const std::string& path, std::size_t index) const;
  /// The boolean at an index of a list; false beyond the list's end.
  [[nodiscard]] bool booleanAt(const std::string& path, std::size_t index) const;
  /// The meaning of a value that must be one of the given words; an absent value means the first of them.
  template <typename Value>
  [[nodiscard]] Value choice(const std::string& path, std::initializer_list<Choice<Value>> choices) const {
    const std::string_view word = text(path);
    if (word.empty()) return choices.begin()->value;
    for (const Choice<Value>& choice : choices)
      if (choice.word == word) return choice.value;
    std::string expected = "one of";
    for (const Choice<Value>& choice : choices)
      expected.append(&choice == choices.begin() ? " " : ", ").append(choice.word);
    reject(path, word, expected);
  }

  /// Throws the ConfigurationError for an invalid value.
  /// @param path the path of the value
  /// @param value the unparsed value
  /// @param expected a description of valid values, such as "a number"
  [[noreturn]] void reject(const std::string& path, std::string_view value,
                           const std::string& expected) const;

 private:
  template <typename Number>
  Number parseNumber(const std::string& path, std::string_view value) const;
  bool parseBoolean(const std::string& path, std::string_view value) const;

  SettingsMap values_;
  std::string source_;
};

}  // namespace rainhook
