/// @file
/// The command-line options that `witness` and `members` share.
#pragma once

#include <boost/program_options.hpp>

#include "membership/membership_settings.h"

namespace rainhook::commands {

/// Describes the options `--options` and `--help` under the given title of the help text.
[[nodiscard]] boost::program_options::options_description membershipOptions(const char* title);
/// Reads the section `membership` of the file that `--options` names.
/// @throws UsageError if the file has no such section.
/// @throws options::OptionsError if the file is invalid.
[[nodiscard]] membership::MembershipSettings membershipSettingsOf(
    const boost::program_options::variables_map& values);

}  // namespace rainhook::commands
