// What is read at start, as values by path; each is checked where it is asked for.
#pragma once

#include <initializer_list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"

namespace rainhook {

// Names the path and what is wrong with its value.
struct ConfigurationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using SettingsMap = std::map<std::string, std::string>;  // by path

// One path=value pair a line.
SettingsMap parseSettingsText(std::string_view text);
// The same paths from nested JSON: a list of plain values is joined with commas, a list of objects has its
// length under .count.
SettingsMap flattenSettingsJson(const nlohmann::json& nested);

// An absent value keeps the meaning given with the question.
class SettingsReader {
 public:
  SettingsReader(const SettingsMap& values, std::string source)
      : values_(values), source_(std::move(source)) {}

  std::string_view text(const std::string& path) const;
  std::string_view requiredText(const std::string& path) const;  // throws where it is absent
  double number(const std::string& path, double absent) const;
  bool boolean(const std::string& path) const;
  Duration duration(const std::string& path, Duration absent = {}) const;
  static constexpr int many = 65536;  // of what has a row each
  int count(const std::string& path, int absent, int most = many) const;
  std::vector<std::string_view> list(const std::string& path) const;
  double numberInList(const std::string& path, std::size_t at) const;
  bool booleanInList(const std::string& path, std::size_t at) const;
  // The value's place among the words; an absent value is the first one.
  std::size_t choice(const std::string& path, std::initializer_list<std::string_view> words) const;
  [[noreturn]] void reject(const std::string& path, std::string_view value, const char* wanted) const;

 private:
  template <typename T>
  T parsed(const std::string& path, std::string_view value) const;
  bool parseBoolean(const std::string& path, std::string_view value) const;

  const SettingsMap& values_;
  const std::string source_;
};

}  // namespace rainhook
