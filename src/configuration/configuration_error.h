/// @file
/// The error for a server's configuration file and for the operators' settings.
#pragma once

#include <stdexcept>
#include <string>

namespace rainhook {

/// A configuration is invalid. `what()` is one line of the form `SOURCE: PATH PROBLEM`, for instance
/// `settings: domain.cores is 'six', not a number`.
class ConfigurationError : public std::runtime_error {
 public:
  /// @param source  the invalid input: "configuration" (the server's file) or "settings" (the operators'
  ///                settings in that file or from the simulator)
  /// @param path    the path of the invalid value, such as `domain.cores`; empty for the whole input
  /// @param problem what is wrong, worded as the continuation of the path
  ConfigurationError(std::string source, std::string path, std::string problem);

  /// The invalid input.
  [[nodiscard]] const std::string& source() const { return source_; }
  /// The path of the invalid value; empty if the whole input is invalid.
  [[nodiscard]] const std::string& path() const { return path_; }
  /// The problem, without source and path.
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  std::string source_;
  std::string path_;
  std::string problem_;
};

}  // namespace rainhook
