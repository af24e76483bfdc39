/// @file
/// The share of its configured quota of a shared dependency that an instance may use. All instances together
/// stay within the total that is configured for a number of servers, also during network partitions. The
/// share never exceeds the configured quota.
///
/// While the fleet has at most the configured number of instances, each uses its whole quota, and no
/// partition can increase the total. An instance that joins others starts to call after it has reached half
/// of the fleet for the stabilization period and all members that may call advertise the fleet size that it
/// sees itself. If some of them advertise another size, it starts after one lease.
///
/// In a larger fleet the configured total is divided by the number of quota holders, which are the members
/// that may be calling. An increase of this number takes effect immediately. A decrease takes effect only
/// after the view has been certain for the stabilization period, on the side of a partition that has a
/// majority of the fleet; members that died or left less than two leases ago still count. An instance
/// that has not reached half of the fleet for one lease, or was paused so long that it cannot know, stops
/// calling until it has reached half of the fleet again for the stabilization period: the others may use its
/// share meanwhile, and have to count it first.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "membership/membership.h"

namespace rainhook::membership {

/// Numbers of members in the view of one member; each count includes that member.
struct FleetView {
  /// Members that may be calling: present members, and dead or left ones whose lease may still be valid.
  std::size_t quotaHolders = 1;
  std::size_t aliveMembers = 1;       ///< members that are alive, including observers
  std::size_t fleetSize = 1;          ///< present members, and dead ones whose lease may still be valid
  bool isUncertain = false;           ///< whether the view may be wrong, see Membership::isViewUncertain
  std::size_t largestAdvertised = 0;  ///< largest fleet size that another member advertises
  /// Smallest fleet size that is advertised by a member that is alive and may call.
  std::size_t smallestAdvertised = std::numeric_limits<std::size_t>::max();
};
/// Counts the fleet. Dead and left members count for twice the lease.
[[nodiscard]] FleetView observeFleet(const Membership& membership, Duration now, Duration lease);

/// Computes the share of the quota from successive views of the fleet.
class DependencyQuota {
 public:
  /// The settings of the quota, which are the same on all instances.
  struct Settings {
    int servers = 1;  ///< number of servers that the configured quota per server assumes
    Duration lease = std::chrono::seconds(30);  ///< how long calls continue without half of the fleet
    /// How long a view has to last before it takes effect.
    Duration stabilizationPeriod = std::chrono::seconds(5);
  };
  /// Starts as an instance that has not reached other members yet.
  explicit DependencyQuota(const Settings& settings) : settings_(settings) {}

  /// Returns the share of the configured quota that may be used from now on, 0 to 1. The caller calls this
  /// many times per lease: the view counts as uncertain if the previous call was more than a quarter of a
  /// lease ago.
  double update(Duration now, const FleetView& view);
  /// Returns the number of members by which the configured total is divided.
  [[nodiscard]] std::size_t quotaHolders() const { return quotaHolders_; }
  /// Returns the fleet size of which a majority is needed; this member advertises it.
  [[nodiscard]] std::size_t fleetSize() const { return fleetSize_; }

 private:
  struct Quorum {
    bool hasHalf = false;
    bool hasMajority = false;
  };
  Quorum updateQuorum(Duration now, const FleetView& view);
  void updateLease(Duration now, const FleetView& view, bool hasHalf);
  void updateHolders(Duration now, const FleetView& view, bool hasMajority);

  Settings settings_;
  std::size_t quotaHolders_ = 1;
  std::size_t fleetSize_ = 1;
  std::optional<Duration> lastUpdate_;
  std::optional<Duration> lastHalfReachedAt_;
  std::optional<Duration> fewerHoldersSince_;
  std::optional<Duration> halfRegainedAt_;
  bool hasBeenCounted_ = false;  ///< whether the others have counted this member once, or it is the first
  bool isLeaseValid_ = false;    ///< whether the others have had time to count this member
};

}  // namespace rainhook::membership
