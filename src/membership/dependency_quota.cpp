#include "membership/dependency_quota.h"

#include <algorithm>

namespace rainhook::membership {
namespace {

std::size_t advertisedFleetSize(const Member& member) {
  constexpr double maxFleetSize = 1e6;
  return static_cast<std::size_t>(std::min(member.status.advertisedFleetSize, maxFleetSize));
}

/// A member of which nothing is known yet may call as well.
bool mayCall(const Member& member) {
  return member.status.version == 0 || member.status.phase != Phase::observer;
}

void addMember(FleetView& view, const Member& member) {
  const bool isAlive = member.state == MemberState::alive;
  if (mayCall(member)) ++view.quotaHolders;
  if (isAlive) ++view.aliveMembers;
  if (member.state != MemberState::left) ++view.fleetSize;
  // Whoever lives and may call has to have counted this member, before it calls.
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
    const bool isLeaseOver = member.isGone() && now - member.stateSince > 2 * lease;
    if (!isLeaseOver) addMember(out, member);
  }
  return out;
}

double DependencyQuota::update(Duration now, const FleetView& view) {
  const Standing standing = updateStanding(now, view);
  updateLease(now, view, standing.hasHalf);
  updateHolders(now, view, standing.hasMajority);
  const auto servers = static_cast<std::size_t>(std::max(settings_.servers, 1));
  if (!lastWithHalf_) return 0;  // not admitted yet: nobody counts this member
  // A newcomer to others is counted first; a member that is alone is the first.
  hasBegun_ = hasBegun_ || isLeaseValid_ || quotaHolders_ == 1;
  if (!hasBegun_) return 0;
  if (quotaHolders_ <= servers) return 1;
  if (!isLeaseValid_) return 0;
  return static_cast<double>(servers) / static_cast<double>(quotaHolders_);
}

DependencyQuota::Standing DependencyQuota::updateStanding(Duration now, const FleetView& view) {
  // After a late call the view is as old as at the call before.
  const bool isLate = lastUpdate_ && now - *lastUpdate_ > settings_.lease / 4;
  lastUpdate_ = now;
  const bool isCertain = !view.isUncertain && !isLate;
  if (!lastWithHalf_) {
    fleetSize_ = std::max({fleetSize_, view.fleetSize, view.largestAdvertised});
    quotaHolders_ = fleetSize_;
  }
  Standing out;
  out.hasMajority = isCertain && view.aliveMembers * 2 > fleetSize_;
  if (view.fleetSize > fleetSize_ || out.hasMajority) fleetSize_ = view.fleetSize;
  out.hasHalf = isCertain && view.aliveMembers * 2 >= fleetSize_;
  return out;
}

void DependencyQuota::updateLease(Duration now, const FleetView& view, bool hasHalf) {
  if (lastWithHalf_ && now - *lastWithHalf_ > settings_.lease) isLeaseValid_ = false;
  if (hasHalf) lastWithHalf_ = now;
  // Whoever comes, or comes back, lets the others count it before it calls.
  if (!hasHalf || isLeaseValid_) backSince_.reset();
  if (hasHalf && !isLeaseValid_ && !backSince_) backSince_ = now;
  const bool isCounted =
      view.smallestAdvertised >= view.fleetSize && view.fleetSize >= view.largestAdvertised;
  const Duration wait = isCounted ? settings_.stabilizationPeriod : settings_.lease;
  if (backSince_ && now - *backSince_ >= wait) isLeaseValid_ = true;
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
