/// @file
/// Estimates how long executions and downstream calls currently take at this server.
#pragma once

#include <vector>

#include "decision/decaying_rate.h"
#include "decision/events.h"
#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Estimates the time that a request needs from the durations of recent executions and downstream calls.
///
/// Each handler has a long-term mean. The current slowdown is measured across all handlers, so a stall is
/// visible before any execution has ended. The object keeps one entry for each handler.
class ServiceTimeEstimator {
 public:
  /// Starts with a tenth of each handler's latency objective as its execution time.
  explicit ServiceTimeEstimator(const std::vector<HandlerPolicy>& handlers);

  /// Accounts for elapsed time during which `executing` requests were on the cores and `openCalls` calls were
  /// open.
  void advance(Duration elapsed, int executing, int openCalls);

  /// Records an execution that completed after `coreTime` on the cores and `calls` downstream calls.
  void recordExecution(const RequestArrived& arrival, Duration coreTime, int calls);

  /// Records a downstream call that ended, with any outcome.
  void recordCall(Duration duration);

  /// Expected seconds on the cores at the current speed.
  [[nodiscard]] double executionSeconds(HandlerId handler) const;
  /// Expected seconds on the cores for this request, scaled by its estimated work if it has an estimate.
  [[nodiscard]] double executionSeconds(const RequestArrived& arrival) const;

  /// Expected seconds of one downstream call.
  [[nodiscard]] double callSeconds() const;

  /// Expected seconds in all downstream calls of one execution.
  [[nodiscard]] double downstreamSeconds(HandlerId handler) const;

  /// Mean number of downstream calls of one execution.
  [[nodiscard]] double callsPerExecution(HandlerId handler) const;

  /// Whether executions of this handler make at least 0.1 downstream calls on average.
  [[nodiscard]] bool usuallyCallsDownstream(HandlerId handler) const;

  /// The current duration of calls over their long-term mean; 1 if that is unknown.
  [[nodiscard]] double callSlowdown() const;

  /// The time after which a call counts as an outlier; unlimited until enough calls were recorded.
  [[nodiscard]] Duration callOutlierTimeout() const;

  /// Updates the minimum latency of the handler and returns the latency divided by it. The minimum rises
  /// slowly, so that an outdated minimum is replaced.
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
