#include "decision/downstream_call_budget.h"

#include <algorithm>
#include <chrono>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// The share of the quota that is used while calls are fast, and the smallest share for slow calls.
constexpr double maxUsedShare = 0.8;
constexpr double minUsedShare = 0.3;
/// If calls take this many times as long as usual, the downstream service is overloaded.
constexpr double overloadSlowdown = 2;
/// The call limit without a quota.
constexpr double unlimitedCalls = 1e6;

}  // namespace

bool provesNotExecuted(Outcome outcome) {
  return outcome == Outcome::rejected || outcome == Outcome::unreachable || outcome == Outcome::superseded;
}

DownstreamCallBudget::DownstreamCallBudget(const DownstreamProfile& downstream)
    : downstream_(downstream), configuredQuota_(downstream.concurrentCallQuota), usedShare_(maxUsedShare) {}

void DownstreamCallBudget::setQuotaShare(double share) {
  downstream_.concurrentCallQuota = configuredQuota_ * std::clamp(share, 0.0, 1.0);
}

void DownstreamCallBudget::advance(Duration elapsed, double callSlowdown) {
  usedShare_ = std::clamp(maxUsedShare * overloadSlowdown / callSlowdown, minUsedShare, maxUsedShare);
  bucketLevel_ = std::max(0.0, bucketLevel_ + toSeconds(elapsed) * (callsInFlight() - callLimit()));
}

bool DownstreamCallBudget::hasRoom(Duration now) {
  while (!abandonedUntil_.empty() && abandonedUntil_.front() <= now) abandonedUntil_.pop_front();
  const bool isUnderLimit = callsInFlight() + 1 <= std::max(1.0, callLimit());
  return isUnderLimit && (callLimit() >= 1 || bucketLevel_ < bucketCapacity() / 2);
}

double DownstreamCallBudget::callLimit() const {
  return hasQuota() ? downstream_.concurrentCallQuota * usedShare_ : unlimitedCalls;
}

Duration DownstreamCallBudget::maxCallDuration() const {
  if (callLimit() >= 1) return Duration::max();
  const double secondsUntilFull = (bucketCapacity() - bucketLevel_) / (1 - callLimit());
  return fromSeconds(secondsUntilFull) - downstream_.maxAbandonedCallDuration;
}

void DownstreamCallBudget::recordCallEnd(Duration now, CallEnd end) {
  --openCalls_;
  if (end == CallEnd::abandoned && downstream_.maxAbandonedCallDuration > 0s)
    abandonedUntil_.push_back(now + downstream_.maxAbandonedCallDuration);
}

int DownstreamCallBudget::callsInFlight() const {
  return openCalls_ + static_cast<int>(abandonedUntil_.size());
}

/// The bucket holds the part of the quota that is kept as a margin, in call-seconds over the window.
double DownstreamCallBudget::bucketCapacity() const {
  return downstream_.concurrentCallQuota * (1 - maxUsedShare) * toSeconds(downstream_.quotaWindow);
}

}  // namespace rainhook
