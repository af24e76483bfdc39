/// @file
/// The view of an instance as JSON, which answers `rainhook members`. Only this file maps the terms of the
/// code to the fields of `--json`, which keep the names of earlier releases.
#pragma once

#include <nlohmann/json.hpp>

#include "membership/membership.h"

namespace rainhook::membershipTransport {

/// Returns a row for each member, starting with this one.
[[nodiscard]] nlohmann::json memberRows(const membership::Membership& membership);
/// Returns a row for each zone.
[[nodiscard]] nlohmann::json zoneRows(const membership::Membership& membership, membership::Duration now);

}  // namespace rainhook::membershipTransport
