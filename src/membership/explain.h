/// @file
/// Explains to operators why a member is in its state (`rainhook members explain`).
#pragma once

#include <string>
#include <vector>

#include "membership/membership.h"

namespace rainhook::membership {

/// Returns the lines of the explanation; none if the name is unknown.
[[nodiscard]] std::vector<std::string> explainMember(const Membership& membership, const MemberName& name,
                                                     Duration now);

}  // namespace rainhook::membership
