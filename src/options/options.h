/// @file
/// rainhook's options: the YAML file that --options or RAINHOOK_OPTIONS names, such as deploy/rainhook.yaml.
/// A feature whose section is absent is off. The whole file is validated before any option takes effect.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "membership/membership_settings.h"
#include "options/options_error.h"
#include "options/store_options.h"

namespace rainhook::options {

/// The format of log lines.
enum class LogFormat { text, json };

/// The section `log`.
struct LogOptions {
  LogFormat format = LogFormat::text;  ///< key `form`

  /// Whether all options are equal.
  bool operator==(const LogOptions&) const = default;
};

/// All sections of the options file; an absent section switches its feature off.
struct Options {
  std::optional<StoreOptions> store;                         ///< settings of the durable store
  std::optional<LogOptions> log;                             ///< settings of the log
  std::optional<membership::MembershipSettings> membership;  ///< settings of membership among the instances

  /// Whether all sections are equal.
  bool operator==(const Options&) const = default;

  /// The format of log lines; text if the section is absent.
  [[nodiscard]] LogFormat logFormat() const { return log ? log->format : LogFormat::text; }
};

/// Reads options from YAML text.
/// @param text the YAML
/// @param file the name of the text in errors; relative paths in the text are resolved against its folder
/// @throws OptionsError if the options are invalid.
[[nodiscard]] Options readOptions(const std::string& text, const std::string& file);

/// Reads an options file. An empty name means that there is no file and that all features are off.
/// @throws OptionsError if the file cannot be read or the options are invalid.
[[nodiscard]] Options readOptionsFile(const std::string& file);

/// Describes each enabled feature in one line, for example for the log at startup; empty if all are off.
[[nodiscard]] std::vector<std::string> describeEnabledFeatures(const Options& options);

}  // namespace rainhook::options
