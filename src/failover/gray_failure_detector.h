/// @file
/// Finds gray failures: zones that answer, but much more slowly than the others.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "failover/failover_types.h"

namespace rainhook::failover {

/// Compares each zone's service time (Little's law: executing requests over completion rate) with the median
/// of the others. An overloaded zone is not among those found: its concurrency limit bounds its service time
/// and lets requests queue instead. Where only one zone has work, nothing can be compared and nothing is
/// found.
///
/// Holds two times for each zone of the settings. Not thread-safe.
class GrayFailureDetector {
 public:
  /// Takes the next observation and returns the zones that have been too slow for some steps. The zones and
  /// the step interval come from the settings, which must be the same in each call.
  [[nodiscard]] std::set<ZoneName> update(Duration now, const FailoverSettings& settings,
                                          const FleetObservation& observation);

  /// Since when the zone's service time has been like the others'; empty while it is not.
  [[nodiscard]] std::optional<Duration> healthySince(const ZoneName& zone) const;

 private:
  struct ZoneHistory {
    std::optional<Duration> slowSince;
    std::optional<Duration> healthySince;
  };

  std::map<ZoneName, ZoneHistory> histories_;
};

}  // namespace rainhook::failover
