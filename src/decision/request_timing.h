/// @file
/// Calculates when a request must be answered, and whether that is possible.
#pragma once

#include <vector>

#include "decision/attempt_age_estimator.h"
#include "decision/events.h"
#include "decision/ids.h"
#include "decision/request_record.h"
#include "decision/service_time_estimator.h"
#include "decision/settings.h"

namespace rainhook {

/// Sets the deadline and the target of each request and estimates whether the request can meet them.
///
/// The object keeps references to the handlers and to the estimator, which must outlive it.
class RequestTiming {
 public:
  /// Starts without statistics about retries.
  RequestTiming(const std::vector<HandlerPolicy>& handlers, const ServiceTimeEstimator& serviceTimes);

  /// Creates the record, with deadline and target, of a request that was read at `now`. Estimates the age of
  /// the attempt from the time that the client will still wait, so that the target of a retry is earlier.
  [[nodiscard]] RequestRecord makeRecord(const RequestArrived& arrival, Duration now);

  /// Whether the request could not be answered in time even if it started now, estimated from the current
  /// durations of executions and calls. Without pressure the estimate is optimistic, and a request that still
  /// earns weight after its target is too late only if it would miss its deadline.
  [[nodiscard]] bool isTooLate(const RequestRecord& request, Duration now, bool isUnderPressure) const;

  /// How long requests may wait in the queue: a share of the slack (the latency objective less the estimated
  /// execution and call times) of the handler with the least slack, but at least 0.05 s.
  [[nodiscard]] double tolerableQueueSeconds() const;

 private:
  [[nodiscard]] const HandlerPolicy& policyOf(const RequestArrived& arrival) const;

  const std::vector<HandlerPolicy>& handlers_;
  const ServiceTimeEstimator& serviceTimes_;
  AttemptAgeEstimator attemptAges_;
};

}  // namespace rainhook
