/// @file
/// How many downstream calls may be in flight, and for how long.
#pragma once

#include <deque>

#include "decision/events.h"
#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// How a downstream call left this server's hands.
enum class CallEnd {
  finished,   ///< The downstream service is done with it.
  abandoned,  ///< The downstream service may still be occupied by it.
};

/// Whether the outcome of a call proves that the downstream service did not execute it.
[[nodiscard]] bool provesNotExecuted(Outcome outcome);

/// Keeps the downstream calls in flight under this server's quota.
///
/// Abandoned calls count until they can't linger any more. While calls are slow less of the quota is used. A
/// quota under one concurrent call is kept over time: calls in flight fill a leaky bucket of call-seconds
/// that drains at the call limit, no call starts while the bucket is half full, and each is cut short before
/// the bucket overflows. So the mean over the quota's window holds even if no call ever comes back.
class DownstreamCallBudget {
 public:
  /// Starts with no calls in flight, under the quota of the profile.
  explicit DownstreamCallBudget(const DownstreamProfile& downstream);

  /// Uses this share of the configured quota, 0 to 1, from now on. Calls in flight go on; after a smaller
  /// share none starts before there is room again.
  void setQuotaShare(double share);

  /// Time passes while calls take `callSlowdown` times as long as usual.
  void advance(Duration elapsed, double callSlowdown);

  /// Whether another call may start now. Forgets abandoned calls whose time is over.
  [[nodiscard]] bool hasRoom(Duration now);

  /// The mean number of calls that may be in flight; very large without a quota.
  [[nodiscard]] double callLimit() const;

  /// How long a call that starts now may take; no limit where the quota allows a whole call.
  [[nodiscard]] Duration maxCallDuration() const;

  /// Calls started and not ended.
  [[nodiscard]] int openCalls() const { return openCalls_; }

  /// Whether there is a quota at all.
  [[nodiscard]] bool hasQuota() const { return configuredQuota_ > 0; }

  /// Reports that a call was started.
  void recordCallStart() { ++openCalls_; }
  /// Reports that an open call left this server's hands at `now`.
  void recordCallEnd(Duration now, CallEnd end);

 private:
  /// Open calls and abandoned ones that may linger.
  [[nodiscard]] int callsInFlight() const;
  [[nodiscard]] double bucketCapacity() const;

  DownstreamProfile downstream_;
  const double configuredQuota_;
  int openCalls_ = 0;
  double usedShare_;
  /// Seconds of calls in flight beyond what has drained at the call limit.
  double bucketLevel_ = 0;
  /// When each abandoned call that may linger is over; ascending.
  std::deque<Duration> lingeringUntil_;
};

}  // namespace rainhook
