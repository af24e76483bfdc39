/// @file
/// The error for rainhook's options file and other YAML files.
#pragma once

#include <stdexcept>
#include <string>

namespace rainhook::options {

/// A YAML file is invalid. `what()` is one line of the form `FILE:LINE: KEY: PROBLEM`, for instance
/// `rainhook.yaml:3: store.open_files: '-1' is not an integer from 2 to 4096`.
class OptionsError : public std::runtime_error {
 public:
  /// @param file    the file's name as the user gave it
  /// @param line    the line number, starting at 1; 0 if the file could not be read
  /// @param key     the path of the invalid key, joined with dots; empty if the whole file is invalid
  /// @param problem what is wrong
  OptionsError(std::string file, int line, std::string key, std::string problem);

  /// The file's name as the user gave it.
  [[nodiscard]] const std::string& file() const { return file_; }
  /// The number of the invalid line, starting at 1; 0 if the file could not be read.
  [[nodiscard]] int line() const { return line_; }
  /// The path of the invalid key; empty if the whole file is invalid.
  [[nodiscard]] const std::string& key() const { return key_; }
  /// The problem, without file, line and key.
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  std::string file_;
  int line_;
  std::string key_;
  std::string problem_;
};

}  // namespace rainhook::options
