#include "failover/zone_state_machine.h"

#include <algorithm>
#include <cstdint>

namespace rainhook::failover {
namespace {

/// Failed recoveries beyond this number do not increase the recovery delay further.
constexpr std::uint32_t maxFailedRecoveries = 8;
/// While requests queue, the completion rate enters the proven rate with this weight, and the previous proven
/// rate with `saturatedRateRetained`.
constexpr double saturatedRateWeight = 0.3;
constexpr double saturatedRateRetained = 0.7;
/// Factor that lowers the proven rate after each step in which the completion rate is below it.
constexpr double provenRateRetained = 0.999;

/// The delay before a recovery; doubles with each failed recovery.
Duration recoveryDelay(const FailoverSettings& settings, std::uint32_t failedRecoveries) {
  return settings.stepInterval * (1LL << std::min(failedRecoveries, maxFailedRecoveries));
}

std::uint32_t withOneMoreFailure(std::uint32_t failedRecoveries) {
  return std::min(failedRecoveries + 1, maxFailedRecoveries);
}

double updateProvenRate(const ZoneObservation& observation, bool isSaturated, double previousRate) {
  const double completionRate = observation.completionRate;
  if (previousRate <= 0) return completionRate;
  if (isSaturated) return saturatedRateRetained * previousRate + saturatedRateWeight * completionRate;
  return std::max(provenRateRetained * previousRate, completionRate);
}

}  // namespace

ZonePlan ZoneStateMachine::advance(Duration now, const FailoverSettings& settings, const ZoneInputs& inputs,
                                   const ZonePlan& previous) {
  if (!stateSince_) stateSince_ = now;
  ZonePlan next = previous;
  const Step step{now, settings, inputs, previous, next};
  if (!inputs.observation) {
    onUnreachable(step);
    return next;
  }
  next.provenRate = updateProvenRate(*inputs.observation, inputs.load.isSaturated, previous.provenRate);
  if (inputs.isDrained) {
    enter(step, ZoneState::draining, 0, TransitionReason::drainedByOperator);
    return next;
  }
  if (inputs.isGrayFailure && previous.state != ZoneState::draining) {
    onGrayFailure(step);
    return next;
  }
  switch (previous.state) {
    case ZoneState::draining:
      advanceDraining(step);
      break;
    case ZoneState::outOfService:
      advanceOutOfService(step);
      break;
    case ZoneState::recovering:
      advanceRecovering(step);
      break;
    case ZoneState::serving:
    case ZoneState::overloaded:
      advanceInService(step);
      break;
  }
  return next;
}

void ZoneStateMachine::enter(const Step& step, ZoneState state, double usableRatio, TransitionReason reason) {
  if (step.previous.state != state) stateSince_ = step.now;
  step.next.state = state;
  step.next.usableRatio = usableRatio;
  step.next.reason = reason;
}

void ZoneStateMachine::startRecovery(const Step& step, TransitionReason reason) {
  lastRecoveryStep_ = step.now;
  enter(step, ZoneState::recovering, step.settings.maxStep, reason);
}

void ZoneStateMachine::onUnreachable(const Step& step) {
  if (step.previous.state != ZoneState::outOfService) {
    const Duration longestDelay = recoveryDelay(step.settings, maxFailedRecoveries);
    const bool hasFailedRecently = lastFailure_ && step.now - *lastFailure_ < longestDelay;
    if (step.previous.state == ZoneState::recovering || hasFailedRecently)
      step.next.failedRecoveries = withOneMoreFailure(step.previous.failedRecoveries);
    lastFailure_ = step.now;
  }
  lastRecoveryStep_ = step.now;
  enter(step, ZoneState::outOfService, 0, TransitionReason::unreachable);
}

void ZoneStateMachine::onGrayFailure(const Step& step) {
  if (step.previous.state == ZoneState::recovering)
    step.next.failedRecoveries = withOneMoreFailure(step.previous.failedRecoveries);
  enter(step, ZoneState::draining, 0, TransitionReason::slowerThanOtherZones);
}

/// Handles a zone that is neither drained by an operator nor a gray failure any more. It recovers once it has
/// been healthy for the recovery delay.
void ZoneStateMachine::advanceDraining(const Step& step) {
  const Duration delay = recoveryDelay(step.settings, step.next.failedRecoveries);
  const std::optional<Duration> healthySince = step.inputs.healthySince;
  const bool isHealthy = healthySince && step.now - *healthySince >= delay;
  if (isHealthy && step.now - *stateSince_ >= delay) startRecovery(step, TransitionReason::healthyAgain);
}

void ZoneStateMachine::advanceOutOfService(const Step& step) {
  if (step.now - lastRecoveryStep_ < recoveryDelay(step.settings, step.next.failedRecoveries))
    step.next.reason = TransitionReason::waitingToRecover;
  else
    startRecovery(step, TransitionReason::reachableAgain);
}

void ZoneStateMachine::advanceRecovering(const Step& step) {
  const double maxStep = step.settings.maxStep;
  const double usableRatio = step.previous.usableRatio;
  if (step.now - lastRecoveryStep_ < step.settings.stepInterval) return;
  lastRecoveryStep_ = step.now;
  if (step.inputs.load.isSaturated && usableRatio < 1) {  // the last step exceeded the zone's capacity
    step.next.failedRecoveries = withOneMoreFailure(step.previous.failedRecoveries);
    const Duration delay = recoveryDelay(step.settings, step.next.failedRecoveries);
    lastRecoveryStep_ = step.now + delay - step.settings.stepInterval;
    step.next.usableRatio = std::max(maxStep / 2, usableRatio - maxStep);
    step.next.reason = TransitionReason::recoveryStepFailed;
    return;
  }
  if (usableRatio + maxStep >= 1) {
    enter(step, ZoneState::serving, 1, TransitionReason::recoveryCompleted);
    return;
  }
  step.next.usableRatio = usableRatio + maxStep;
  step.next.reason = TransitionReason::recoveryStepSucceeded;
}

void ZoneStateMachine::advanceInService(const Step& step) {
  const ZoneLoad& load = step.inputs.load;
  const bool wasOverloaded = step.previous.state == ZoneState::overloaded;
  const Duration longestDelay = recoveryDelay(step.settings, maxFailedRecoveries);
  if (step.next.failedRecoveries > 0 && step.now - *stateSince_ >= longestDelay) {
    --step.next.failedRecoveries;
    stateSince_ = step.now;
  }
  if (load.isSaturated && load.localLoad > load.capacity) {
    enter(step, ZoneState::overloaded, 1, TransitionReason::arrivalsExceedCapacity);
    return;
  }
  // An overload ends neither while requests queue nor within its first step.
  const bool isFirstStep = step.now - *stateSince_ < step.settings.stepInterval;
  if (wasOverloaded && (load.isSaturated || isFirstStep)) return;
  const TransitionReason reason = wasOverloaded ? TransitionReason::overloadEnded : step.previous.reason;
  enter(step, ZoneState::serving, 1, reason);
}

}  // namespace rainhook::failover
