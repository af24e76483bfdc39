/// @file
/// The transitions between the states of one zone; docs/failover.md has the table.
#include "failover/zone_state_machine.h"

#include <gtest/gtest.h>

namespace rainhook::failover {
namespace {

using namespace std::chrono_literals;

class ZoneStateMachineTest : public testing::Test {
 protected:
  ZoneStateMachineTest() {
    settings_.stepInterval = 5s;
    settings_.maxStep = 0.25;
    observation_.liveMembers = 3;
    observation_.completionRate = 50;
    inputs_.observation = &observation_;
    inputs_.load = {.localLoad = 50, .capacity = 100, .isSaturated = false};
    inputs_.healthySince = 0s;
  }

  void advanceTo(Duration now) { plan_ = machine_.advance(now, settings_, inputs_, plan_); }

  /// Makes the zone unreachable at `now` and reachable again one second later.
  void interruptAt(Duration now) {
    inputs_.observation = nullptr;
    advanceTo(now);
    inputs_.observation = &observation_;
    advanceTo(now + 1s);
  }

  void expectState(ZoneState state, TransitionReason reason) {
    EXPECT_EQ(plan_.state, state) << nameOf(plan_.state);
    EXPECT_EQ(plan_.reason, reason) << describe(plan_.reason);
  }

  FailoverSettings settings_;
  ZoneObservation observation_;
  ZoneInputs inputs_;
  ZonePlan plan_;
  ZoneStateMachine machine_;
};

TEST_F(ZoneStateMachineTest, StaysServingWhenLoadIsBelowCapacity) {
  advanceTo(0s);
  advanceTo(5s);
  expectState(ZoneState::serving, TransitionReason::none);
  EXPECT_EQ(plan_.provenRate, 50);
}

TEST_F(ZoneStateMachineTest, BecomesOverloadedWhenRequestsQueueAndArrivalsExceedCapacity) {
  inputs_.load = {.localLoad = 120, .capacity = 100, .isSaturated = true};
  advanceTo(0s);
  expectState(ZoneState::overloaded, TransitionReason::arrivalsExceedCapacity);
  inputs_.load.isSaturated = false;
  advanceTo(4s);
  expectState(ZoneState::overloaded, TransitionReason::arrivalsExceedCapacity);
  advanceTo(5s);
  expectState(ZoneState::serving, TransitionReason::overloadEnded);
}

TEST_F(ZoneStateMachineTest, RecoversInStepsWhenAnOperatorEndsItsDrain) {
  inputs_.isDrained = true;
  advanceTo(0s);
  expectState(ZoneState::draining, TransitionReason::drainedByOperator);
  EXPECT_EQ(plan_.usableRatio, 0);
  inputs_.isDrained = false;
  advanceTo(5s);
  expectState(ZoneState::recovering, TransitionReason::healthyAgain);
  EXPECT_EQ(plan_.usableRatio, 0.25);
  advanceTo(9s);
  EXPECT_EQ(plan_.usableRatio, 0.25) << "one step per five seconds";
  advanceTo(10s);
  expectState(ZoneState::recovering, TransitionReason::recoveryStepSucceeded);
  EXPECT_EQ(plan_.usableRatio, 0.5);
  advanceTo(15s);
  advanceTo(20s);
  expectState(ZoneState::serving, TransitionReason::recoveryCompleted);
  EXPECT_EQ(plan_.usableRatio, 1);
}

TEST_F(ZoneStateMachineTest, StaysDrainingWhenItHasNotBeenHealthyForTheRecoveryDelay) {
  inputs_.isGrayFailure = true;
  inputs_.healthySince.reset();
  advanceTo(0s);
  expectState(ZoneState::draining, TransitionReason::slowerThanOtherZones);
  inputs_.isGrayFailure = false;
  advanceTo(10s);
  EXPECT_EQ(plan_.state, ZoneState::draining);
  inputs_.healthySince = 12s;
  advanceTo(16s);
  EXPECT_EQ(plan_.state, ZoneState::draining);
  advanceTo(17s);
  expectState(ZoneState::recovering, TransitionReason::healthyAgain);
}

TEST_F(ZoneStateMachineTest, WaitsForTheRecoveryDelayWhenItIsReachableAgain) {
  interruptAt(0s);
  expectState(ZoneState::outOfService, TransitionReason::waitingToRecover);
  advanceTo(5s);
  expectState(ZoneState::recovering, TransitionReason::reachableAgain);
}

TEST_F(ZoneStateMachineTest, DoublesTheDelayWhenItBecomesUnreachableDuringRecovery) {
  interruptAt(0s);
  advanceTo(5s);
  interruptAt(6s);
  EXPECT_EQ(plan_.failedRecoveries, 1U);
  advanceTo(15s);
  EXPECT_EQ(plan_.state, ZoneState::outOfService);
  advanceTo(16s);
  EXPECT_EQ(plan_.state, ZoneState::recovering);
}

TEST_F(ZoneStateMachineTest, StepsBackWhenRequestsQueueDuringRecovery) {
  interruptAt(0s);
  advanceTo(5s);
  advanceTo(10s);
  EXPECT_EQ(plan_.usableRatio, 0.5);
  inputs_.load.isSaturated = true;
  advanceTo(15s);
  expectState(ZoneState::recovering, TransitionReason::recoveryStepFailed);
  EXPECT_EQ(plan_.usableRatio, 0.25);
  EXPECT_EQ(plan_.failedRecoveries, 1U);
  inputs_.load.isSaturated = false;
  advanceTo(24s);
  EXPECT_EQ(plan_.usableRatio, 0.25) << "the next step waits twice as long";
  advanceTo(25s);
  EXPECT_EQ(plan_.usableRatio, 0.5);
}

TEST_F(ZoneStateMachineTest, DecrementsFailedRecoveriesWhenItHasServedForTheLongestDelay) {
  plan_.failedRecoveries = 2;
  advanceTo(0s);
  advanceTo(256 * 5s - 1s);
  EXPECT_EQ(plan_.failedRecoveries, 2U);
  advanceTo(256 * 5s);
  EXPECT_EQ(plan_.failedRecoveries, 1U);
}

}  // namespace
}  // namespace rainhook::failover
