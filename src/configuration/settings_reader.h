/// @file
/// Settings as text values by path, and a reader that checks each value where it is asked for.
///
/// The operators' settings arrive in two forms: as lines of `path=value` (from the simulator) and as nested
/// JSON (in a server's configuration file). Both become the same SettingsMap.
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

/// Values by their path, such as `domain.cores` or `classes.0.name`.
using SettingsMap = std::map<std::string, std::string>;

/// Reads one `path=value` pair a line; empty lines are skipped and the last of several values of one path
/// counts.
/// @throws ConfigurationError on a line without '='.
[[nodiscard]] SettingsMap parseSettingsText(std::string_view text);

/// Reads the same paths from nested JSON. A list of plain values becomes one value joined with commas; a list
/// of objects becomes the paths `LIST.0.…`, `LIST.1.…` and its length under `LIST.count`; null becomes empty
/// text.
[[nodiscard]] SettingsMap flattenSettingsJson(const nlohmann::json& nested);

/// Reads checked values out of a SettingsMap. An absent or empty value stands for the fallback given with the
/// question; a value that is not what its path holds throws ConfigurationError. Paths that nobody asks for
/// are ignored, since operators add settings that rainhook does not know.
///
/// Views that it returns point into the reader and live as long as it does.
class SettingsReader {
 public:
  /// The default upper bound of count(): what is counted usually gets a row in a table for each.
  static constexpr int maxRows = 65536;

  /// A word that an operator may write, and what it means.
  template <typename Value>
  struct Choice {
    std::string_view word;  ///< as written in the settings
    Value value;            ///< its meaning here
  };

  /// @param values the settings to read
  /// @param source how errors name the input, such as "settings"
  SettingsReader(SettingsMap values, std::string source);

  /// The value as it stands; empty where it is absent.
  [[nodiscard]] std::string_view text(const std::string& path) const;
  /// The value as it stands, which must not be absent or empty.
  [[nodiscard]] std::string_view requiredText(const std::string& path) const;
  /// A finite number of 0 or more.
  [[nodiscard]] double number(const std::string& path, double fallback) const;
  /// `true` or `1`, `false` or `0`; absent is false.
  [[nodiscard]] bool boolean(const std::string& path) const;
  /// A whole number of nanoseconds, 0 or more.
  [[nodiscard]] Duration duration(const std::string& path, Duration fallback = {}) const;
  /// A whole number from 0 to `max`.
  [[nodiscard]] int count(const std::string& path, int fallback, int max = maxRows) const;
  /// The values of a list, which commas separate; empty where it is absent.
  [[nodiscard]] std::vector<std::string_view> list(const std::string& path) const;
  /// The finite number at an index of a list; 0 beyond its end.
  [[nodiscard]] double numberAt(const std::string& path, std::size_t index) const;
  /// The truth value at an index of a list; false beyond its end.
  [[nodiscard]] bool booleanAt(const std::string& path, std::size_t index) const;
  /// The meaning of one of several words; an absent value means the first of them.
  template <typename Value>
  [[nodiscard]] Value choice(const std::string& path, std::initializer_list<Choice<Value>> choices) const {
    const std::string_view word = text(path);
    if (word.empty()) return choices.begin()->value;
    for (const Choice<Value>& choice : choices)
      if (choice.word == word) return choice.value;
    reject(path, word, "a known word");
  }

  /// Throws the ConfigurationError of a value that is not what its path holds.
  /// @param path the path of the value
  /// @param value the value as it stands
  /// @param expected what it should be, such as "a number"
  [[noreturn]] void reject(const std::string& path, std::string_view value, const char* expected) const;

 private:
  template <typename Number>
  Number parseNumber(const std::string& path, std::string_view value) const;
  bool parseBoolean(const std::string& path, std::string_view value) const;

  SettingsMap values_;
  std::string source_;
};

}  // namespace rainhook
