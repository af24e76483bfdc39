// One mapping of our own settings file (YAML): every key is asked for by name and checked where it is read;
// what nobody asked for is a fault. Errors: OptionsError, one line with file, line, key and fault.
#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace rainhook::options {

struct OptionsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Section {
 public:
  // `path` is how messages name it, empty for the whole file.
  Section(const YAML::Node& node, std::string file, std::string path);

  bool has(const std::string& key);
  Section section(const std::string& key);
  std::string text(const std::string& key);  // must be there and not empty
  std::string text(const std::string& key, const std::string& absent);
  bool yes(const std::string& key, bool absent);
  std::uint64_t count(const std::string& key, std::uint64_t absent, std::uint64_t least, std::uint64_t most);
  // A count of bytes: digits, then nothing or one of kB, MB, GB (powers of 1024).
  std::uint64_t bytes(const std::string& key, std::uint64_t absent, std::uint64_t least, std::uint64_t most);
  // A span: digits and one of ms, s, m.
  std::chrono::nanoseconds span(const std::string& key, std::chrono::nanoseconds absent,
                                std::chrono::nanoseconds least, std::chrono::nanoseconds most);
  double figure(const std::string& key, double absent, double least, double most);
  // The same of a value that stands elsewhere under the key.
  double figureIn(const std::string& key, const std::string& text, double least, double most) const;
  // Plain values, none of them twice; empty where absent.
  std::vector<std::string> texts(const std::string& key);
  // Plain values by their names; empty where absent.
  std::map<std::string, std::string> named(const std::string& key, std::size_t most);
  // Every key that was not asked for is a fault.
  void end() const;
  // Where a key stands, as messages name it: file, line and key.
  std::string at(const std::string& key) const;
  [[noreturn]] void fault(const std::string& key, const std::string& what) const;

 private:
  YAML::Node plain(const std::string& key);  // the scalar there, or an undefined node
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  YAML::Node node_;
  std::string file_, path_;
  std::set<std::string> asked_;  // as many as the reader has words
};

}  // namespace rainhook::options
