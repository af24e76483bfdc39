#include "membership/dependency_quota.h"

#include <algorithm>

namespace rainhook::membership {
namespace {

std::size_t advertisedFleetSize(const Member& member) {
  constexpr double maxFleetSize = 1e6;
  return static_cast<std::size_t>(std::min(member.status.advertisedFleetSize, maxFleetSize));
}

/// A member without a known status may call as well.
bool mayCall(const Member& member) {
  return member.status.version == 0 || member.status.phase != Phase::observer;
}

void addMember(FleetView& view, const Member& member) {
  const bool isAlive = member.state == MemberState::alive;
  if (mayCall(member)) ++view.quotaHolders;
  if (isAlive) ++view.aliveMembers;
  if (member.state != MemberState::left) ++view.fleetSize;
  // Every member that is alive and may call has to count this member before this member calls.
  if (isAlive && mayCall(member))
    view.smallestAdvertised = std::min(view.smallestAdvertised, advertisedFleetSize(member));
  if (member.isPresent())
    view.largestAdvertised = std::max(view.largestAdvertised, advertisedFleetSize(member));
}

}  // namespace

FleetView observeFleet(const Membership& membership, Duration now, Duration lease) {
  FleetView out;
  out.isUncertain = membership.isViewUncertain(now);
  for (const auto& [name, member] : membership.members()) {
    const bool hasLeaseExpired = member.isDeadOrLeft() && now - member.stateSince > 2 * lease;
    if (!hasLeaseExpired) addMember(out, member);
  }
  return out;
}

double DependencyQuota::update(Duration now, const FleetView& view) {
  const Quorum quorum = updateQuorum(now, view);
  updateLease(now, view, quorum.hasHalf);
  updateHolders(now, view, quorum.hasMajority);
  const auto servers = static_cast<std::size_t>(std::max(settings_.servers, 1));
  if (!lastHalfReachedAt_) return 0;  // not admitted yet: no other member counts this one
  // A member that joins others has to be counted first; a member that is alone is the first of the fleet.
  hasBeenCounted_ = hasBeenCounted_ || isLeaseValid_ || quotaHolders_ == 1;
  if (!hasBeenCounted_) return 0;
  if (quotaHolders_ <= servers) return 1;
  if (!isLeaseValid_) return 0;
  return static_cast<double>(servers) / static_cast<double>(quotaHolders_);
}

DependencyQuota::Quorum DependencyQuota::updateQuorum(Duration now, const FleetView& view) {
  // After a late call, the view may be as old as the previous call.
  const bool isLate = lastUpdate_ && now - *lastUpdate_ > settings_.lease / 4;
  lastUpdate_ = now;
  const bool isCertain = !view.isUncertain && !isLate;
  if (!lastHalfReachedAt_) {
    fleetSize_ = std::max({fleetSize_, view.fleetSize, view.largestAdvertised});
    quotaHolders_ = fleetSize_;
  }
  Quorum out;
  out.hasMajority = isCertain && view.aliveMembers * 2 > fleetSize_;
  if (view.fleetSize > fleetSize_ || out.hasMajority) fleetSize_ = view.fleetSize;
  out.hasHalf = isCertain && view.aliveMembers * 2 >= fleetSize_;
  return out;
}

void DependencyQuota::updateLease(Duration now, const FleetView& view, bool hasHalf) {
  if (lastHalfReachedAt_ && now - *lastHalfReachedAt_ > settings_.lease) isLeaseValid_ = false;
  if (hasHalf) lastHalfReachedAt_ = now;
  // A member that joins or returns lets the others count it before it calls.
  if (!hasHalf || isLeaseValid_) halfRegainedAt_.reset();
  if (hasHalf && !isLeaseValid_ && !halfRegainedAt_) halfRegainedAt_ = now;
  const bool isCounted =
      view.smallestAdvertised >= view.fleetSize && view.fleetSize >= view.largestAdvertised;
  const Duration wait = isCounted ? settings_.stabilizationPeriod : settings_.lease;
  if (halfRegainedAt_ && now - *halfRegainedAt_ >= wait) isLeaseValid_ = true;
}

void DependencyQuota::updateHolders(Duration now, const FleetView& view, bool hasMajority) {
  if (view.quotaHolders >= quotaHolders_) {
    quotaHolders_ = view.quotaHolders;
    fewerHoldersSince_.reset();
    return;
  }
  if (!hasMajority) {
    fewerHoldersSince_.reset();
    return;
  }
  if (!fewerHoldersSince_) fewerHoldersSince_ = now;
  if (now - *fewerHoldersSince_ < settings_.stabilizationPeriod) return;
  quotaHolders_ = view.quotaHolders;
  fewerHoldersSince_.reset();
}

}  // namespace rainhook::membership
