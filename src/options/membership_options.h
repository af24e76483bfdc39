/// @file
/// Reads the section `membership` of rainhook's options.
#pragma once

#include <string>

#include "membership/membership_settings.h"
#include "options/yaml_section.h"

namespace rainhook::options {

/// Reads the section, loads the cryptographic keys from the files that it names and rejects unknown options.
/// @param section the section `membership`
/// @param settingsFile the file that contains the section; relative paths of key files and of the state
///     folder are resolved against the folder of this file
/// @throws OptionsError if an option is invalid, or if a key file is unreadable, is readable by all users or
///     does not contain a key.
[[nodiscard]] membership::MembershipSettings readMembershipOptions(YamlSection section,
                                                                   const std::string& settingsFile);

}  // namespace rainhook::options
