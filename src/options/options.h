/// @file
/// rainhook's own settings: the file deploy/rainhook.yaml, or another that --options or RAINHOOK_OPTIONS
/// names. What is absent is off. The file is checked as a whole before anything in it is used.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "membership/membership_settings.h"
#include "options/options_error.h"
#include "options/store_options.h"

namespace rainhook::options {

/// The form of log lines.
enum class LogFormat { text, json };

/// The section `log`.
struct LogOptions {
  LogFormat format = LogFormat::text;  ///< key `form`

  /// Whether all options are equal.
  bool operator==(const LogOptions&) const = default;
};

/// All sections; one that is absent is off.
struct Options {
  std::optional<StoreOptions> store;                         ///< the durable store
  std::optional<LogOptions> log;                             ///< the log
  std::optional<membership::MembershipSettings> membership;  ///< membership among the instances

  /// Whether all sections are equal.
  bool operator==(const Options&) const = default;

  /// The form of log lines; text where nothing is said.
  [[nodiscard]] LogFormat logFormat() const { return log ? log->format : LogFormat::text; }
};

/// Reads options from YAML text.
/// @param text the YAML
/// @param file how errors name the text, and the base of relative paths in it
/// @throws OptionsError
[[nodiscard]] Options readOptions(const std::string& text, const std::string& file);

/// Reads an options file. An empty name means that there is none: everything is off.
/// @throws OptionsError, also where the file cannot be read.
[[nodiscard]] Options readOptionsFile(const std::string& file);

/// A line for each feature that the options switch on, such as for the log at start; empty where none is.
[[nodiscard]] std::vector<std::string> describeEnabledFeatures(const Options& options);

}  // namespace rainhook::options
