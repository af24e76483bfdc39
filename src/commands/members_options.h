/// @file
/// The options that `witness` and `members` share.
#pragma once

#include <boost/program_options.hpp>

#include "membership/membership_settings.h"

namespace rainhook::commands {

/// The options `--options` and `--help`, under this title in the help page.
[[nodiscard]] boost::program_options::options_description membershipOptions(const char* title);
/// The section membership of the settings that the option names.
/// @throws UsageError where there is none
[[nodiscard]] membership::MembershipSettings membershipSettingsOf(
    const boost::program_options::variables_map& given);

}  // namespace rainhook::commands
