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
struct FactsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using FactPairs = std::map<std::string, std::string>;  // by path

// One path=value pair a line.
FactPairs pairsOfText(std::string_view text);
// The same paths from nested JSON: a list of plain values is joined with commas, a list of objects has its
// length under .count.
FactPairs pairsOfJson(const nlohmann::json& nested);

// An absent value keeps the meaning given with the question.
class Pairs {
 public:
  Pairs(const FactPairs& values, std::string source) : values_(values), source_(std::move(source)) {}

  std::string_view text(const std::string& path) const;
  std::string_view present(const std::string& path) const;  // throws where it is absent
  double number(const std::string& path, double absent) const;
  bool yes(const std::string& path) const;
  Span span(const std::string& path, Span absent = {}) const;
  static constexpr int many = 65536;  // of what has a row each
  int count(const std::string& path, int absent, int most = many) const;
  std::vector<std::string_view> list(const std::string& path) const;
  double numberAt(const std::string& path, std::size_t at) const;
  bool yesAt(const std::string& path, std::size_t at) const;
  // The value's place among the words; an absent value is the first one.
  std::size_t choice(const std::string& path, std::initializer_list<std::string_view> words) const;
  [[noreturn]] void wrong(const std::string& path, std::string_view value, const char* wanted) const;

 private:
  template <typename T>
  T parsed(const std::string& path, std::string_view value) const;
  bool truth(const std::string& path, std::string_view value) const;

  const FactPairs& values_;
  const std::string source_;
};

}  // namespace rainhook
