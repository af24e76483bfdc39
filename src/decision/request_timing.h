/// @file
/// When a request must be answered, and whether it can be.
#pragma once

#include <vector>

#include "decision/attempt_age_estimator.h"
#include "decision/events.h"
#include "decision/ids.h"
#include "decision/request_record.h"
#include "decision/service_time_estimator.h"
#include "decision/settings.h"

namespace rainhook {

/// Sets the deadline and the target of each request and forecasts whether it can meet them.
///
/// Keeps references to the handlers and to the estimator; it must not outlive them.
class RequestTiming {
 public:
  /// Starts with nothing learned about retries.
  RequestTiming(const std::vector<HandlerPolicy>& handlers, const ServiceTimeEstimator& serviceTimes);

  /// The record of a request that was read at `now`, with its deadline and its target. Learns from the time
  /// that the client still waits whether the request is a retry.
  [[nodiscard]] RequestRecord makeRecord(const RequestArrived& arrival, Duration now);

  /// Whether the request could not be answered in time even if it started now, judged by what executions and
  /// calls take at present. Without pressure a doubtful one is tried, and one that still earns when late.
  [[nodiscard]] bool isTooLate(const RequestRecord& request, Duration now, bool isUnderPressure) const;

  /// How long requests may wait in the queue: a part of the time to spare of the handler that has the least.
  [[nodiscard]] double tolerableQueueSeconds() const;

 private:
  [[nodiscard]] const HandlerPolicy& policyOf(const RequestArrived& arrival) const;

  const std::vector<HandlerPolicy>& handlers_;
  const ServiceTimeEstimator& serviceTimes_;
  AttemptAgeEstimator attemptAges_;
};

}  // namespace rainhook
