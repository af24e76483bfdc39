/// @file
/// Bounds the number and the duration of downstream calls in flight.
#pragma once

#include <deque>

#include "decision/events.h"
#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// How a downstream call ended for this server.
enum class CallEnd {
  finished,   ///< The call no longer occupies the downstream service.
  abandoned,  ///< The call may still occupy the downstream service.
};

/// Whether the outcome of a call proves that the downstream service did not execute the call.
[[nodiscard]] bool provesNotExecuted(Outcome outcome);

/// Keeps the downstream calls in flight under this server's quota.
///
/// Abandoned calls count until they can no longer occupy the downstream service. While calls are slow, a
/// smaller share of the quota is used. A call limit below one concurrent call is kept as a mean over time:
/// calls in flight fill a leaky bucket of call-seconds that drains at the call limit, no call starts while
/// the bucket is at least half full, and each call times out before the bucket overflows. The mean over the
/// quota's window therefore holds even if no call is ever answered.
class DownstreamCallBudget {
 public:
  /// Starts with no calls in flight, under the quota of the profile.
  explicit DownstreamCallBudget(const DownstreamProfile& downstream);

  /// Sets the share of the configured quota, 0 to 1, to use from now on. Calls in flight continue; if the
  /// share shrinks, no call starts until the calls in flight fit the new limit.
  void setQuotaShare(double share);

  /// Accounts for elapsed time; calls currently take `callSlowdown` times as long as usual.
  void advance(Duration elapsed, double callSlowdown);

  /// Whether another call may start now. Removes abandoned calls that no longer count.
  [[nodiscard]] bool hasRoom(Duration now);

  /// The mean number of calls that may be in flight; 1e6 without a quota.
  [[nodiscard]] double callLimit() const;

  /// How long a call that starts now may take; unlimited if the call limit is at least one call.
  [[nodiscard]] Duration maxCallDuration() const;

  /// The number of calls that have started and not ended.
  [[nodiscard]] int openCalls() const { return openCalls_; }

  /// Whether a quota is configured.
  [[nodiscard]] bool hasQuota() const { return configuredQuota_ > 0; }

  /// Records that a call started.
  void recordCallStart() { ++openCalls_; }
  /// Records that an open call ended at `now`.
  void recordCallEnd(Duration now, CallEnd end);

 private:
  /// The number of open calls and of abandoned calls that may still occupy the downstream service.
  [[nodiscard]] int callsInFlight() const;
  [[nodiscard]] double bucketCapacity() const;

  /// The profile, whose quota is the configured quota times the share that was set last.
  DownstreamProfile downstream_;
  const double configuredQuota_;
  int openCalls_ = 0;
  /// Share of the quota in use; smaller while calls are slow.
  double usedShare_;
  /// Call-seconds in the bucket: those of calls in flight less those that have drained at the call limit.
  double bucketLevel_ = 0;
  /// For each abandoned call, the time until which it may occupy the downstream service; ascending.
  std::deque<Duration> abandonedUntil_;
};

}  // namespace rainhook
