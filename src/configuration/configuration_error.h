/// @file
/// The error of everything that an operator hands to rainhook: the configuration file and the settings in it.
#pragma once

#include <stdexcept>
#include <string>

namespace rainhook {

/// A configuration cannot be used. `what()` is one line of the form `SOURCE: PATH PROBLEM`, for instance
/// `settings: domain.cores is 'six', not a number`.
class ConfigurationError : public std::runtime_error {
 public:
  /// @param source  which input is at fault: "configuration" (the server's file) or "settings" (the
  /// operators'
  ///                settings inside it, or as the simulator hands them over)
  /// @param path    the path of the value at fault, such as `domain.cores`; empty where the input as a whole
  /// is
  /// @param problem what is wrong with it, worded so that it reads on after the path
  ConfigurationError(std::string source, std::string path, std::string problem);

  /// Which input is at fault.
  [[nodiscard]] const std::string& source() const { return source_; }
  /// The path of the value at fault; empty where the input as a whole is.
  [[nodiscard]] const std::string& path() const { return path_; }
  /// What is wrong, without source and path.
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  std::string source_;
  std::string path_;
  std::string problem_;
};

}  // namespace rainhook
