#include "decision/downstream_call_budget.h"

#include <algorithm>
#include <chrono>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// Shares of the quota that are used while calls are quick, and at least.
constexpr double maxUsedShare = 0.8;
constexpr double minUsedShare = 0.3;
/// Calls that take this many times the usual show that the downstream service is overloaded.
constexpr double overloadSlowdown = 2;
/// Stands for no limit on calls.
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
  while (!lingeringUntil_.empty() && lingeringUntil_.front() <= now) lingeringUntil_.pop_front();
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
    lingeringUntil_.push_back(now + downstream_.maxAbandonedCallDuration);
}

int DownstreamCallBudget::callsInFlight() const {
  return openCalls_ + static_cast<int>(lingeringUntil_.size());
}

/// The part of the quota that is left as a margin, in call-seconds over the window.
double DownstreamCallBudget::bucketCapacity() const {
  return downstream_.concurrentCallQuota * (1 - maxUsedShare) * toSeconds(downstream_.quotaWindow);
}

}  // namespace rainhook
