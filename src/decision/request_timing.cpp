#include "decision/request_timing.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// The share of the slack that requests may spend in the queue.
constexpr double queueShareOfSlack = 0.3;
/// The tolerable wait is at least this long.
constexpr double minTolerableSeconds = 0.05;
/// More slack than any handler has.
constexpr double unlimitedSlackSeconds = 1e9;
/// Without pressure, an execution is assumed to take only this share of the estimate.
constexpr double optimisticShare = 0.5;

}  // namespace

RequestTiming::RequestTiming(const std::vector<HandlerPolicy>& handlers,
                             const ServiceTimeEstimator& serviceTimes)
    : handlers_(handlers), serviceTimes_(serviceTimes) {}

RequestRecord RequestTiming::makeRecord(const RequestArrived& arrival, Duration now) {
  const HandlerPolicy& policy = policyOf(arrival);
  RequestRecord request{.arrival = arrival};
  request.arrivedAt = now - arrival.readDelay;
  Duration deadline = request.arrivedAt + policy.clientTimeout;
  Duration attemptAge = 0s;
  if (arrival.timeRemaining) {
    deadline = now + *arrival.timeRemaining;
    attemptAge = attemptAges_.estimateAge(*arrival.timeRemaining + arrival.readDelay, policy.clientTimeout);
  }
  request.deadline = std::max(now, deadline);
  const Duration workAllowance =
      fromSeconds(policy.objectiveWorkFactor * serviceTimes_.executionSeconds(arrival));
  const Duration target = request.arrivedAt + policy.latencyObjective + workAllowance - attemptAge;
  request.target = std::min(target, request.deadline);
  return request;
}

bool RequestTiming::isTooLate(const RequestRecord& request, Duration now, bool isUnderPressure) const {
  const HandlerPolicy& policy = policyOf(request.arrival);
  const double executionSeconds =
      (isUnderPressure ? 1 : optimisticShare) * serviceTimes_.executionSeconds(request.arrival);
  const Duration expected =
      fromSeconds(executionSeconds + serviceTimes_.downstreamSeconds(request.arrival.handler));
  if (now + expected <= request.target) return false;
  return isUnderPressure || policy.lateWeight <= 0 || now + expected > request.deadline;
}

double RequestTiming::tolerableQueueSeconds() const {
  double minSlackSeconds = unlimitedSlackSeconds;
  for (std::size_t index = 0; index < handlers_.size(); ++index) {
    const HandlerId handler{static_cast<std::uint8_t>(index)};
    const double slackSeconds = toSeconds(handlers_[index].latencyObjective) -
                                serviceTimes_.executionSeconds(handler) -
                                serviceTimes_.downstreamSeconds(handler);
    minSlackSeconds = std::min(minSlackSeconds, slackSeconds);
  }
  return std::max(queueShareOfSlack * minSlackSeconds, minTolerableSeconds);
}

const HandlerPolicy& RequestTiming::policyOf(const RequestArrived& arrival) const {
  return handlers_[indexOf(arrival.handler)];
}

}  // namespace rainhook
