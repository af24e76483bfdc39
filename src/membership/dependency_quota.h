/// @file
/// Which part of its configured quota of a shared dependency an instance may use, so that all instances
/// together stay within what the settings state for a number of servers, through network partitions too. It
/// only caps: never more than configured.
///
/// Up to as many instances as configured, each uses its quota, and no partition can make the sum greater. One
/// that comes to others calls once it has been with half of them for the stabilization period and all that
/// may call advertise that they divide by as many as it sees; where some do not, a lease later.
///
/// Beyond that number each takes the configured sum divided by the number of quota holders: those that may be
/// calling. More holders count at once. Fewer count only once the view has been certain for the stabilization
/// period, on the side that has a majority of the fleet, without those declared dead for less than two
/// leases. An instance that has not been with half of the fleet for one lease, or was paused so long that it
/// cannot know, calls no more until it is back for the stabilization period: the others may have taken its
/// part, and are to count it first.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "membership/membership.h"

namespace rainhook::membership {

/// The fleet as one member sees it, in numbers; each count has this member with it.
struct FleetView {
  std::size_t quotaHolders = 1;       ///< may be calling: the present, and the gone whose lease may run
  std::size_t aliveMembers = 1;       ///< observers too
  std::size_t fleetSize = 1;          ///< the present, and the dead whose lease may run
  bool isUncertain = false;           ///< the view may be wrong, see Membership::isViewUncertain
  std::size_t largestAdvertised = 0;  ///< fleet size by which another member divides
  /// Fleet size by which a member divides that is alive and may call.
  std::size_t smallestAdvertised = std::numeric_limits<std::size_t>::max();
};
/// Counts the fleet; those that are gone count until twice the lease is over.
[[nodiscard]] FleetView observeFleet(const Membership& membership, Duration now, Duration lease);

/// Computes the share of the quota from one view of the fleet after the other.
class DependencyQuota {
 public:
  /// The settings of the quota, the same on all instances.
  struct Settings {
    int servers = 1;                            ///< for so many is the quota of each configured
    Duration lease = std::chrono::seconds(30);  ///< without half of the fleet for so long, no more calls
    Duration stabilizationPeriod = std::chrono::seconds(5);  ///< for which a view holds before it counts
  };
  /// Begins as an instance that has not been with others yet.
  explicit DependencyQuota(const Settings& settings) : settings_(settings) {}

  /// The part of the configured quota that may be used from now on, 0 to 1. To be called many times in a
  /// lease: a call that comes late makes the view count as uncertain.
  double update(Duration now, const FleetView& view);
  /// By how many the configured sum is divided.
  [[nodiscard]] std::size_t quotaHolders() const { return quotaHolders_; }
  /// The fleet of which a majority is needed; what this member advertises.
  [[nodiscard]] std::size_t fleetSize() const { return fleetSize_; }

 private:
  struct Standing {
    bool hasHalf = false;
    bool hasMajority = false;
  };
  Standing updateStanding(Duration now, const FleetView& view);
  void updateLease(Duration now, const FleetView& view, bool hasHalf);
  void updateHolders(Duration now, const FleetView& view, bool hasMajority);

  Settings settings_;
  std::size_t quotaHolders_ = 1;
  std::size_t fleetSize_ = 1;
  std::optional<Duration> lastUpdate_;
  std::optional<Duration> lastWithHalf_;
  std::optional<Duration> fewerHoldersSince_;
  std::optional<Duration> backSince_;
  bool hasBegun_ = false;      ///< the others have counted this member once, or it is the first
  bool isLeaseValid_ = false;  ///< the others have had time to count this member
};

}  // namespace rainhook::membership
