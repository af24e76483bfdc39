#include "decision/service_time_estimator.h"

#include <algorithm>
#include <chrono>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// The initial estimate of the time on the cores, as a share of the handler's latency objective.
constexpr double initialShareOfObjective = 0.1;
/// Half-life of the measurements that determine the current speed.
constexpr Duration halfLife = 1500ms;
/// Relative growth of the minimum latency per second.
constexpr double minLatencyGrowth = 0.02;
/// A minimum latency is never set below this.
constexpr double smallestMinLatencySeconds = 0.001;
/// A call that takes this many times as long as usual is an outlier.
constexpr double outlierFactor = 8;
constexpr double minCallSamplesForOutliers = 10;
/// A long-term mean gives a new sample a weight of one over the number of samples, which is capped. In the
/// execution time, the initial estimate counts as one more sample.
constexpr double maxExecutionSamples = 50;
constexpr double maxCallSamples = 200;
/// Weight of the expected value in the measured rates, in units of completed work.
constexpr double executionPriorUnits = 0.5;
constexpr double callPriorUnits = 1;
/// A handler with at least this many calls per execution counts as one that makes downstream calls.
constexpr double minCallsPerExecution = 0.1;

}  // namespace

ServiceTimeEstimator::ServiceTimeEstimator(const std::vector<HandlerPolicy>& handlers)
    : executionRate_(halfLife), callRate_(halfLife) {
  for (const HandlerPolicy& policy : handlers)
    handlers_.push_back({.coreSeconds = toSeconds(policy.latencyObjective) * initialShareOfObjective});
}

void ServiceTimeEstimator::advance(Duration elapsed, int executing, int openCalls) {
  executionRate_.advance(elapsed, executing);
  callRate_.advance(elapsed, openCalls);
  for (HandlerStatistics& handler : handlers_)
    handler.minLatencySeconds *= 1 + toSeconds(elapsed) * minLatencyGrowth;
}

void ServiceTimeEstimator::recordExecution(const RequestArrived& arrival, Duration coreTime, int calls) {
  HandlerStatistics& handler = handlers_[indexOf(arrival.handler)];
  executionRate_.recordCompletion(handler.coreSeconds * relativeWork(arrival));
  handler.samples = std::min(handler.samples + 1, maxExecutionSamples);
  handler.coreSeconds += (toSeconds(coreTime) - handler.coreSeconds) / (handler.samples + 1);
  handler.callsPerExecution += (calls - handler.callsPerExecution) / handler.samples;
  if (!arrival.estimatedWork) return;
  handler.estimatedWorkSeconds +=
      (toSeconds(*arrival.estimatedWork) - handler.estimatedWorkSeconds) / handler.samples;
}

void ServiceTimeEstimator::recordCall(Duration duration) {
  callRate_.recordCompletion(1);
  callSamples_ = std::min(callSamples_ + 1, maxCallSamples);
  meanCallSeconds_ += (toSeconds(duration) - meanCallSeconds_) / callSamples_;
}

double ServiceTimeEstimator::executionSeconds(HandlerId handler) const {
  return handlers_[indexOf(handler)].coreSeconds * executionSlowdown();
}

double ServiceTimeEstimator::executionSeconds(const RequestArrived& arrival) const {
  return executionSeconds(arrival.handler) * relativeWork(arrival);
}

/// The seconds spent for each expected second of work.
double ServiceTimeEstimator::executionSlowdown() const {
  return executionRate_.secondsPerUnit(1, executionPriorUnits);
}

/// The estimated work of a request over the mean of its handler; 1 if the request or the handler has no
/// estimate.
double ServiceTimeEstimator::relativeWork(const RequestArrived& arrival) const {
  const double meanWorkSeconds = handlers_[indexOf(arrival.handler)].estimatedWorkSeconds;
  if (!arrival.estimatedWork || meanWorkSeconds <= 0) return 1;
  return toSeconds(*arrival.estimatedWork) / meanWorkSeconds;
}

double ServiceTimeEstimator::callSeconds() const {
  return callRate_.secondsPerUnit(meanCallSeconds_, callPriorUnits);
}

double ServiceTimeEstimator::downstreamSeconds(HandlerId handler) const {
  return callsPerExecution(handler) * callSeconds();
}

double ServiceTimeEstimator::callsPerExecution(HandlerId handler) const {
  return handlers_[indexOf(handler)].callsPerExecution;
}

bool ServiceTimeEstimator::usuallyCallsDownstream(HandlerId handler) const {
  return callsPerExecution(handler) >= minCallsPerExecution;
}

double ServiceTimeEstimator::callSlowdown() const {
  return meanCallSeconds_ > 0 ? callSeconds() / meanCallSeconds_ : 1;
}

Duration ServiceTimeEstimator::callOutlierTimeout() const {
  if (callSamples_ < minCallSamplesForOutliers) return Duration::max();
  return fromSeconds(outlierFactor * callSeconds());
}

double ServiceTimeEstimator::normalizeLatency(HandlerId handler, double latencySeconds) {
  HandlerStatistics& statistics = handlers_[indexOf(handler)];
  if (statistics.minLatencySeconds == 0 || latencySeconds < statistics.minLatencySeconds)
    statistics.minLatencySeconds = std::max(latencySeconds, smallestMinLatencySeconds);
  return latencySeconds / statistics.minLatencySeconds;
}

}  // namespace rainhook
