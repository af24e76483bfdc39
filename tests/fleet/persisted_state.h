/// @file
/// Reads from the logs of a fleet what its members logged about their state folders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/converged_fleet.h"

namespace rainhook::fleet {

/// Returns the line of a member's options that names its state folder.
inline std::string stateSetting(const std::string& folder) { return "  state: " + folder + "\n"; }

/// The log entries of a member about its state folder, from all of its processes.
struct StateLog {
  std::vector<std::uint64_t> firstIncarnations;  ///< first incarnation of each process
  /// The number of known members as each process logged it, for example "3 known members restored".
  std::vector<std::string> knownMembers;
  std::size_t unavailableEvents = 0;
  std::size_t recoveredEvents = 0;
};

inline StateLog stateLogOf(Fleet& fleet, std::size_t member) {
  StateLog out;
  for (const auto& entry : fleet.log(member).entries) {
    if (entry.event == "state-unavailable") ++out.unavailableEvents;
    if (entry.event == "state-recovered") ++out.recoveredEvents;
    if (entry.event != "state-restored") continue;
    // "from INCARNATION, COUNT known members restored"
    out.firstIncarnations.push_back(std::stoull(entry.reason.substr(entry.reason.find(' ') + 1)));
    out.knownMembers.push_back(entry.reason.substr(entry.reason.find(',') + 2));
  }
  return out;
}

/// Returns the highest incarnation of the member that any other member logged.
inline std::uint64_t highestSeenIncarnation(Fleet& fleet, std::size_t member) {
  std::uint64_t out = 0;
  for (std::size_t viewer = 0; viewer < fleet.size(); ++viewer)
    for (const auto& entry : fleet.log(viewer).entries)
      if (viewer != member && entry.subject == Fleet::name(member)) out = std::max(out, entry.incarnation);
  return out;
}

}  // namespace rainhook::fleet
