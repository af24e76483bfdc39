/// @file
/// The section `membership` of rainhook's own settings.
#pragma once

#include <string>

#include "membership/membership_settings.h"
#include "options/yaml_section.h"

namespace rainhook::options {

/// Reads the section, loads the keys that it names and refuses unknown keys.
/// @param section the section `membership`
/// @param settingsFile the file of the section; relative paths of keys and state start at its folder
/// @throws OptionsError, also where a key file cannot be read, may be read by everyone or holds no key.
[[nodiscard]] membership::MembershipSettings readMembershipOptions(YamlSection section,
                                                                   const std::string& settingsFile);

}  // namespace rainhook::options
