/// @file
/// Why a member is in its state, in words for operators (`rainhook members explain`).
#pragma once

#include <string>
#include <vector>

#include "membership/membership.h"

namespace rainhook::membership {

/// One statement a line; nothing where the name is not known.
[[nodiscard]] std::vector<std::string> explainMember(const Membership& membership, const MemberName& name,
                                                     Duration now);

}  // namespace rainhook::membership
