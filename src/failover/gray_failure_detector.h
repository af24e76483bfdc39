/// @file
/// Detects gray failures: zones that answer, but much more slowly than the others.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "failover/failover_types.h"

namespace rainhook::failover {

/// Compares each zone's service time (Little's law: executing requests divided by completion rate) with the
/// median of the others. The detector does not report an overloaded zone: its concurrency limit bounds its
/// service time, and the excess requests queue. If only one zone has work, there is nothing to compare, and
/// the detector reports no zone.
///
/// Stores two timestamps for each zone of the settings. Not thread-safe.
class GrayFailureDetector {
 public:
  /// Processes the next observation and returns the zones that have been slow for three step intervals. The
  /// zones and the step interval come from the settings, which must be the same in each call.
  [[nodiscard]] std::set<ZoneName> update(Duration now, const FailoverSettings& settings,
                                          const FleetObservation& observation);

  /// The time since which the zone's service time has been similar to that of the others; empty while it is
  /// not.
  [[nodiscard]] std::optional<Duration> healthySince(const ZoneName& zone) const;

 private:
  struct ZoneHistory {
    std::optional<Duration> slowSince;
    std::optional<Duration> healthySince;
  };

  std::map<ZoneName, ZoneHistory> histories_;
};

}  // namespace rainhook::failover
