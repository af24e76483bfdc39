/// @file
/// The error of rainhook's own settings, a YAML file.
#pragma once

#include <stdexcept>
#include <string>

namespace rainhook::options {

/// A settings file cannot be used. `what()` is one line of the form `FILE:LINE: KEY: PROBLEM`, for instance
/// `rainhook.yaml:3: store.open_files: '-1' is no whole number from 2 to 4096`.
class OptionsError : public std::runtime_error {
 public:
  /// @param file    the file's name as the user gave it
  /// @param line    counted from 1; 0 where the file could not be read at all
  /// @param key     the key at fault with those above it, joined with dots; empty for the file as a whole
  /// @param problem what is wrong with it
  OptionsError(std::string file, int line, std::string key, std::string problem);

  /// The file's name as the user gave it.
  [[nodiscard]] const std::string& file() const { return file_; }
  /// The line at fault, counted from 1; 0 where the file could not be read at all.
  [[nodiscard]] int line() const { return line_; }
  /// The key at fault; empty for the file as a whole.
  [[nodiscard]] const std::string& key() const { return key_; }
  /// What is wrong, without the place.
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  std::string file_;
  int line_;
  std::string key_;
  std::string problem_;
};

}  // namespace rainhook::options
