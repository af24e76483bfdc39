/// @file
/// What the fleet's tests ask about the state folders of members, by their logs and those of the others.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/converged_fleet.h"

namespace rainhook::fleet {

/// The line of a member's settings that names its state folder.
inline std::string stateSetting(const std::string& folder) { return "  state: " + folder + "\n"; }

/// What a member logged about its state folder in all of its lives.
struct StateLog {
  std::vector<std::uint64_t> firstIncarnations;  ///< Where each life began.
  std::vector<std::string> knownMembers;         ///< As each life's log line tells them.
  std::size_t unavailableEvents = 0;
  std::size_t recoveredEvents = 0;
};

inline StateLog stateLogOf(Fleet& fleet, std::size_t member) {
  StateLog out;
  for (const auto& seen : fleet.history(member).all) {
    if (seen.event == "state-unavailable") ++out.unavailableEvents;
    if (seen.event == "state-recovered") ++out.recoveredEvents;
    if (seen.event != "state-restored") continue;
    // "from INCARNATION, COUNT known members restored"
    out.firstIncarnations.push_back(std::stoull(seen.why.substr(seen.why.find(' ') + 1)));
    out.knownMembers.push_back(seen.why.substr(seen.why.find(',') + 2));
  }
  return out;
}

/// The highest incarnation of the member that any other one saw.
inline std::uint64_t highestSeenIncarnation(Fleet& fleet, std::size_t member) {
  std::uint64_t out = 0;
  for (std::size_t observer = 0; observer < fleet.size(); ++observer)
    for (const auto& seen : fleet.history(observer).all)
      if (observer != member && seen.about == Fleet::name(member)) out = std::max(out, seen.incarnation);
  return out;
}

}  // namespace rainhook::fleet
