/// @file
/// How long executions and downstream calls take at this server now.
#pragma once

#include <vector>

#include "decision/decaying_rate.h"
#include "decision/events.h"
#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Estimates the time that a request needs from what executions and downstream calls took lately.
///
/// Each handler has a long-term mean; the present slowdown is measured across all handlers, so a stall shows
/// before any execution has ended. Memory: one row for each handler.
class ServiceTimeEstimator {
 public:
  /// Starts each handler from a part of its latency objective.
  explicit ServiceTimeEstimator(const std::vector<HandlerPolicy>& handlers);

  /// Time passes while that many requests are executing and that many calls are open.
  void advance(Duration elapsed, int executing, int openCalls);

  /// An execution has completed after that time on the cores and that many downstream calls.
  void recordExecution(const RequestArrived& arrival, Duration coreTime, int calls);

  /// A downstream call has ended, whatever its outcome.
  void recordCall(Duration duration);

  /// Expected seconds on the cores, at the present speed.
  [[nodiscard]] double executionSeconds(HandlerId handler) const;
  /// Expected seconds on the cores for this request, by its estimated work where it has one.
  [[nodiscard]] double executionSeconds(const RequestArrived& arrival) const;

  /// Expected seconds of one downstream call.
  [[nodiscard]] double callSeconds() const;

  /// Expected seconds in all downstream calls of one execution.
  [[nodiscard]] double downstreamSeconds(HandlerId handler) const;

  /// Mean number of downstream calls of one execution.
  [[nodiscard]] double callsPerExecution(HandlerId handler) const;

  /// Whether executions of this handler often make downstream calls.
  [[nodiscard]] bool usuallyCalls(HandlerId handler) const;

  /// How much longer calls take now than on the long-term mean; 1 where that is unknown.
  [[nodiscard]] double callSlowdown() const;

  /// The time after which a call is far longer than the others; no limit until enough calls were seen.
  [[nodiscard]] Duration callOutlierTimeout() const;

  /// The latency over the least latency of the handler, which it updates. The least ages upward, so that it
  /// can be forgotten.
  [[nodiscard]] double normalizeLatency(HandlerId handler, double latencySeconds);

 private:
  struct HandlerStatistics {
    double coreSeconds = 0;
    double callsPerExecution = 0;
    double samples = 0;
    double minLatencySeconds = 0;
    double estimatedWorkSeconds = 0;
  };

  [[nodiscard]] double executionSlowdown() const;
  [[nodiscard]] double relativeWork(const RequestArrived& arrival) const;

  std::vector<HandlerStatistics> handlers_;
  DecayingRate executionRate_;
  DecayingRate callRate_;
  double meanCallSeconds_ = 0;
  double callSamples_ = 0;
};

}  // namespace rainhook
