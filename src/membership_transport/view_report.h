/// @file
/// What an instance sees, as JSON: the answers to `rainhook members`. The one place that maps our terms to
/// the fields of `--json`, which keep the names of earlier releases.
#pragma once

#include <nlohmann/json.hpp>

#include "membership/membership.h"

namespace rainhook::membershipTransport {

/// A row for each member, this one first.
[[nodiscard]] nlohmann::json memberRows(const membership::Membership& membership);
/// A row for each zone.
[[nodiscard]] nlohmann::json zoneRows(const membership::Membership& membership, membership::Duration now);

}  // namespace rainhook::membershipTransport
