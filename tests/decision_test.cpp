/// @file
/// The decisions of the admission policy as a whole, one test for each failure that was found once.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <variant>
#include <vector>

#include "protocol_model.h"

namespace rainhook {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

class AdmissionPolicyTest : public ::testing::Test {
 protected:
  int cores() const { return model.settings.machine.cores; }
  HandlerPolicy& firstHandler() { return model.settings.handlers[0]; }
  int executing() const { return model.countIn(RequestState::executing); }
  RequestState stateOf(RequestId id) const { return model.requests.at(id).state; }

  /// A request arrives and the policy decides at once.
  RequestId arriveNow(int handler = 0, Duration timeRemaining = 3s, Duration readDelay = 0ms) {
    const RequestId id = model.arrive(handler, timeRemaining, readDelay);
    model.advance(0ms);
    return id;
  }

  void endExecutionNow(RequestId id) {
    model.endExecution(id);
    model.advance(0ms);
  }

  void requestCallNow(RequestId id) {
    model.requestCall(id);
    model.advance(0ms);
  }

  /// The cores need `each` for a request, however many share them; `queued` requests are kept waiting.
  void loadFor(Duration duration, Duration each, int queued) {
    const Duration until = model.now + duration;
    while (model.now < until) {
      for (int i = model.countIn(RequestState::queued); i < queued; ++i) model.arrive();
      model.advance(0ms);
      const std::vector<RequestId> ids = model.idsIn(RequestState::executing);
      model.advance(each / cores());
      if (!ids.empty() && stateOf(ids.front()) == RequestState::executing) model.endExecution(ids.front());
      model.advance(0ms);
    }
  }

  ProtocolModel model;
};

using ConcurrencyLimitTest = AdmissionPolicyTest;

TEST_F(ConcurrencyLimitTest, StartsAtTheCoresAndQueuesTheRest) {
  model.open();
  for (int i = 0; i < 4; ++i) model.arrive();
  model.advance(0ms);
  EXPECT_EQ(executing(), cores());
  EXPECT_EQ(model.countIn(RequestState::queued), 2);
  loadFor(1900ms, 200ms, 2);  // Few answers are noise and teach nothing.
  EXPECT_EQ(executing(), cores());
}

TEST_F(ConcurrencyLimitTest, FirstStepsUpByOneAndLeansDownWhenLatencyIsEven) {
  model.open();
  loadFor(1500ms, 50ms, 2);
  EXPECT_EQ(executing(), cores() + 1);
  loadFor(10s, 50ms, 2);
  EXPECT_EQ(executing(), cores());
}

TEST_F(ConcurrencyLimitTest, RisesQuicklyOnlyWhileCoresAreIdle) {
  model.cpuUtilization = 0.3;  // A moving average lags: by itself it does not say that a core is idle now.
  model.open();
  for (int i = 0; i < 6; ++i) model.arrive();
  model.advance(300ms);
  EXPECT_EQ(executing(), cores());
  model.runnableTasks = 1;
  model.advance(200ms);
  EXPECT_GT(executing(), cores());
}

// What stands unread can't be shed: a slow server executes one fewer so that reading gets the core.
TEST_F(ConcurrencyLimitTest, LeavesACoreForReadingWhenRequestsStandUnreadForLong) {
  model.open();
  for (int i = 0; i < 30; ++i) {
    const RequestId id = arriveNow(0, 3s, i < 5 ? 0ms : 400ms);
    model.disconnect(id);
    model.advance(0ms);
  }
  for (const RequestId id : model.idsIn(RequestState::executing)) model.endExecution(id);
  for (int i = 0; i < 3; ++i) model.arrive(0, 3s, 400ms);
  model.advance(0ms);
  EXPECT_EQ(executing(), cores() - 1);
}

using LatenessTest = AdmissionPolicyTest;

// An estimate far above the mean of the handler: not begun where much is shed.
TEST_F(LatenessTest, ShedsARequestOfMuchWorkOnlyUnderPressure) {
  model.open();
  const auto arriveWithEstimate = [this](Duration work, Duration timeRemaining) {
    const RequestId id = model.arrive(0, timeRemaining);
    std::get<RequestArrived>(model.pendingEvents.back()).estimatedWork = work;
    model.advance(0ms);
    return stateOf(id);
  };
  const auto endExecutionAfter = [this](Duration duration) {
    model.advance(duration);
    model.endExecution(model.idsIn(RequestState::executing).front());
    model.advance(5ms);
  };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(arriveWithEstimate(100ms, 3s), RequestState::executing);
    endExecutionAfter(200ms);
  }
  EXPECT_EQ(arriveWithEstimate(700ms, 3s), RequestState::executing);  // Doubtful, but little is shed.
  endExecutionAfter(950ms);
  for (int i = 0; i < 20; ++i) arriveWithEstimate(100ms, 20ms);
  EXPECT_EQ(arriveWithEstimate(700ms, 3s), RequestState::over);
}

TEST_F(LatenessTest, CancelsAnExecutionPastItsTargetWhereLateEarnsNothing) {
  model.settings.machine.cancellation = CancellationMode::discardWork;
  model.open();
  const RequestId id = model.arrive();
  model.advance(980ms);
  EXPECT_EQ(stateOf(id), RequestState::executing);
  model.advance(60ms);
  EXPECT_EQ(stateOf(id), RequestState::over);
  EXPECT_EQ(model.requests.at(id).shedCount, 1);
  EXPECT_EQ(executing(), 0);
}

using AttemptAgeTest = AdmissionPolicyTest;

// Clients wait for a habitual time, or for what is left of their timeout: that tells the age of a retry.
TEST_F(AttemptAgeTest, IsToldByWhatIsLeftOfTheTimeoutWhereOthersAreHabitual) {
  model.open();
  const auto wasStarted = [this](Duration timeRemaining) {
    const RequestId id = arriveNow(0, timeRemaining);
    const bool hasStarted = model.requests.at(id).startCount > 0;
    if (hasStarted) model.endExecution(id);
    model.advance(20ms);
    return hasStarted;
  };
  for (int i = 0; i < 60; ++i) EXPECT_TRUE(wasStarted(i % 2 ? 2s : 1s));  // Two habits.
  EXPECT_FALSE(wasStarted(1500ms));                                       // 1.5 s old, past its target.
  int startedUnusual = 0;  // Where hardly any wait comes again, it tells nothing.
  for (int i = 0; i < 100; ++i)
    if (wasStarted(1200ms + 17ms * i)) ++startedUnusual;
  EXPECT_GT(startedUnusual, 60);
}

// A client whose habit is the rarer one does not retry: the common habit leaves room to learn it.
TEST_F(AttemptAgeTest, IsZeroForARareHabitBesideACommonOne) {
  model.open();
  int shed = 0;
  for (int i = 0; i < 400; ++i) {
    const bool isRare = i > 50 && i % 5 == 4;  // It comes later than the common one.
    const RequestId id = model.arrive(0, isRare ? 1550ms : 1500ms);
    model.advance(5ms);
    if (i > 200 && isRare && stateOf(id) == RequestState::over) ++shed;
    if (stateOf(id) == RequestState::executing) model.endExecution(id);
    model.advance(5ms);
  }
  EXPECT_EQ(shed, 0);
}

using EventCostTest = AdmissionPolicyTest;

// What a batch scans is what came in it and what is queued, not what is retained or at downstream calls.
TEST_F(EventCostTest, DoesNotGrowWithRetainedResultsAndOpenCalls) {
  model.settings.machine = {.cores = 8,
                            .memoryKb = 1e6,
                            .executionMemoryFactor = 4,
                            .cachedEntryKb = 1,
                            .maxExecutionsPerCore = 100,
                            .overcommitWindow = 2s};
  model.settings.handlers = {{.latencyObjective = 20s, .clientTimeout = 30s, .callsDownstream = true},
                             {.latencyObjective = 20s,
                              .clientTimeout = 30s,
                              .idempotency = Idempotency::keyed,
                              .deduplicationWindow = 40s}};
  model.settings.downstream = {.kind = DownstreamKind::nextTier,
                               .concurrentCallQuota = 0,
                               .quotaWindow = 5s,
                               .maxAbandonedCallDuration = 200ms};
  model.open();
  const auto arriveAndStart = [this](int handler) {
    const RequestId id = arriveNow(handler, 30s);
    EXPECT_EQ(stateOf(id), RequestState::executing);
    return id;
  };
  const auto entriesScannedInAQuietSecond = [this] {
    const std::uint64_t before = model.policy->entriesScanned();
    model.advance(1s);
    return model.policy->entriesScanned() - before;
  };
  const std::uint64_t scannedWhenEmpty = entriesScannedInAQuietSecond();
  for (int i = 0; i < 500; ++i) endExecutionNow(arriveAndStart(1));
  for (int i = 0; i < 300; ++i) requestCallNow(arriveAndStart(0));
  EXPECT_THAT(model.retainedUntil, SizeIs(500));
  EXPECT_EQ(model.countIn(RequestState::calling), 300);
  EXPECT_LE(entriesScannedInAQuietSecond(), scannedWhenEmpty);
  model.advance(31s);  // Each is looked at once more, at its deadline.
  for (const RequestId id : model.idsIn(RequestState::calling)) model.endExecution(id, Outcome::cancelled);
  EXPECT_THAT(model.violations, IsEmpty());
}

using DeduplicationTest = AdmissionPolicyTest;

// Retained results take memory until their window is over, and then give it back, time after time.
TEST_F(DeduplicationTest, ReleasesItsMemoryWhenTheWindowsAreOver) {
  model.settings.handlers = {{.latencyObjective = 1s,
                              .clientTimeout = 3s,
                              .idempotency = Idempotency::keyed,
                              .deduplicationWindow = 2s}};
  model.open();
  const auto fillMemory = [this] {
    for (int count = 0; count < 200; ++count) {
      const RequestId id = arriveNow();
      if (model.requests.at(id).startCount == 0) return count;
      endExecutionNow(id);
    }
    return 200;
  };
  const int capacity = fillMemory();
  EXPECT_GT(capacity, 50);
  EXPECT_LT(capacity, 200);
  for (int round = 0; round < 5; ++round) {
    model.advance(3s);
    EXPECT_EQ(fillMemory(), capacity) << round;
  }
  EXPECT_THAT(model.violations, IsEmpty());
}

using QueueTrimTest = AdmissionPolicyTest;

TEST_F(QueueTrimTest, ShedsFromTheOldestEnd) {
  model.open();
  loadFor(2s, 100ms, 1);
  std::vector<RequestId> ids;
  for (int i = 0; i < 40; ++i) ids.push_back(model.arrive());
  model.advance(0ms);
  EXPECT_EQ(model.requests.at(ids[3]).shedCount, 1);
  EXPECT_EQ(model.requests.at(ids.back()).shedCount, 0);
}

// Few cores and long work: one request alone is more than may wait, yet nothing is ahead of it.
TEST_F(QueueTrimTest, DoesNotShedARequestForItsOwnWork) {
  model.open();
  for (int i = 0; i < 10; ++i) {
    const RequestId id = model.arrive();
    model.advance(700ms);
    EXPECT_EQ(stateOf(id), RequestState::executing);
    model.endExecution(id);
    model.advance(100ms);
  }
}

using DownstreamCallTest = AdmissionPolicyTest;

// A dependency that is slow for a while: what would only wait for a call stays queued, others go on.
TEST_F(DownstreamCallTest, KeepsCallingRequestsQueuedWhileCallsWaitForRoom) {
  model.settings.downstream = {.kind = DownstreamKind::shared,
                               .concurrentCallQuota = 2,
                               .quotaWindow = 5s,
                               .maxAbandonedCallDuration = 200ms};
  model.settings.handlers.push_back(model.settings.handlers[0]);
  model.settings.handlers[1].callsDownstream = true;
  model.open();
  const auto startCall = [this] {
    arriveNow(1);
    for (const RequestId id : model.idsIn(RequestState::executing)) model.requestCall(id);
    model.advance(0ms);
  };
  for (int i = 0; i < 10; ++i) {  // The policy learns that handler 1 calls.
    startCall();
    for (const RequestId id : model.idsIn(RequestState::calling)) {
      model.endCall(id, Outcome::completed);
      model.endExecution(id);
    }
    model.advance(20ms);
  }
  startCall();
  startCall();
  ASSERT_EQ(model.countIn(RequestState::awaitingCall), 1);
  const RequestId calling = model.arrive(1);
  const RequestId plain = model.arrive(0);
  model.advance(0ms);
  EXPECT_EQ(stateOf(calling), RequestState::queued);
  EXPECT_EQ(stateOf(plain), RequestState::executing);
}

// Hundreds of servers with a quota under one call each: kept over time, even while no call comes back.
TEST_F(DownstreamCallTest, KeepsAQuotaUnderOneCallOverTime) {
  model.settings.downstream = {.kind = DownstreamKind::shared,
                               .concurrentCallQuota = 0.4,
                               .quotaWindow = 5s,
                               .maxAbandonedCallDuration = 200ms};
  firstHandler().callsDownstream = true;
  model.open();
  for (int i = 0; i < 200; ++i) {
    model.arrive();
    model.advance(50ms);
    for (const RequestId id : model.idsIn(RequestState::executing)) model.requestCall(id);
    model.advance(0ms);
    EXPECT_LE(model.countIn(RequestState::calling), 1);
  }
  EXPECT_GT(model.callsMade, 4);
  EXPECT_THAT(model.violations, IsEmpty());
}

TEST_F(DownstreamCallTest, RecoversWhenALongSlownessIsOver) {
  firstHandler().callsDownstream = true;
  model.open();
  const auto executeWithCall = [this](Duration callDuration) {
    const RequestId id = arriveNow();
    if (stateOf(id) != RequestState::executing) return false;
    model.requestCall(id);
    model.advance(callDuration);
    if (stateOf(id) != RequestState::calling) return false;
    model.endCall(id, Outcome::completed);
    model.advance(5ms);
    model.endExecution(id);
    model.advance(5ms);
    return true;
  };
  for (int i = 0; i < 30; ++i) executeWithCall(20ms);
  for (int i = 0; i < 10; ++i) executeWithCall(900ms);
  model.advance(6s);
  EXPECT_TRUE(executeWithCall(20ms));
}

// A connection that broke under a call says nothing of the dependency: an idempotent request calls once more,
// then goes on without. One that must not be called twice goes on without at once.
class BrokenCallTest : public AdmissionPolicyTest, public ::testing::WithParamInterface<Idempotency> {};

TEST_P(BrokenCallTest, IsRetriedOnceOnlyWhereThatIsSafe) {
  const bool isSafe = GetParam() == Idempotency::idempotent;
  firstHandler().degradedWeight = 0.3;
  firstHandler().callsDownstream = true;
  firstHandler().idempotency = GetParam();
  model.open();
  const RequestId id = model.arrive();
  model.advance(10ms);
  model.requestCall(id);
  model.advance(10ms);
  ASSERT_EQ(model.callsMade, 1);
  model.endCall(id, Outcome::connectionLost);
  model.advance(10ms);
  EXPECT_EQ(model.callsMade, isSafe ? 2 : 1);
  if (isSafe) model.endCall(id, Outcome::connectionLost);
  model.advance(10ms);
  EXPECT_EQ(stateOf(id), RequestState::executing);  // Without its call.
  EXPECT_THAT(model.violations, IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Idempotencies, BrokenCallTest,
                         ::testing::Values(Idempotency::idempotent, Idempotency::nonIdempotent));

// While calls are quick, a reply that is far later than usual is not waited for: an idempotent request calls
// again in time. Where all calls are slow it waits, since another call would only add to the load.
class UnansweredCallTest : public AdmissionPolicyTest, public ::testing::WithParamInterface<Duration> {};

TEST_P(UnansweredCallTest, IsRetriedWhileOthersAreQuick) {
  const Duration usualCall = GetParam();
  firstHandler().degradedWeight = 0.3;
  firstHandler().callsDownstream = true;
  model.open();
  const auto arriveAndCall = [this](Duration callDuration) {
    const RequestId id = model.arrive();
    model.advance(5ms);
    model.requestCall(id);
    model.advance(callDuration);
    return id;
  };
  for (int i = 0; i < 60; ++i) {
    const RequestId id = arriveAndCall(i < 30 ? 10ms : usualCall);
    if (stateOf(id) == RequestState::calling) model.endCall(id, Outcome::completed);
    model.advance(5ms);
    model.endExecution(id);
  }
  const int callsBefore = model.callsMade;
  const RequestId id = arriveAndCall(300ms);  // No reply comes.
  EXPECT_EQ(model.callsMade, callsBefore + (usualCall == 10ms ? 2 : 1));
  EXPECT_EQ(stateOf(id), RequestState::calling);
  EXPECT_THAT(model.violations, IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(UsualCallDurations, UnansweredCallTest, ::testing::Values(10ms, 400ms));

using RetryAdviceTest = AdmissionPolicyTest;

// Where all servers are full, a retry only costs another reading. Slowness does not tell: the storm that
// sheds feed makes every server slow (seen in a simulated day: five attempts a request, 8% served).
TEST_F(RetryAdviceTest, DiscouragesRetriesUnderLoadHoweverSlowTheServer) {
  model.open();
  const auto discouragedInABurst = [this] {
    model.discouragedRetries = 0;
    for (int i = 0; i < 40; ++i) model.arrive();
    model.advance(0ms);
    return model.discouragedRetries;
  };
  loadFor(3s, 50ms, 40);
  EXPECT_GT(discouragedInABurst(), 0);
  model.advance(4s);  // The cores stand still.
  EXPECT_GT(discouragedInABurst(), 0);
}

// A queue of one or two requests shows no wait, whatever is shed: the sheds themselves must tell.
TEST_F(RetryAdviceTest, DiscouragesRetriesAfterManyShedsHoweverShortTheQueue) {
  model.open();
  loadFor(2s, 300ms, 1);
  for (int i = 0; i < 40; ++i) {
    arriveNow(0, 2s, 950ms);  // Read too late to be of use.
    EXPECT_TRUE(i > 4 || model.discouragedRetries == 0);
  }
  EXPECT_GT(model.discouragedRetries, 25);
}

using IdleConnectionTest = AdmissionPolicyTest;

// Hundreds of clients fill a connection table whose size is not reported.
TEST_F(IdleConnectionTest, AreClosedTheSoonerTheMoreAreOpenUnlessReadingIsAStorm) {
  model.settings.fleet.maxIdleTime = 30s;
  model.runnableTasks = 1;
  model.open();
  model.advance(20s);
  EXPECT_EQ(model.idleTimeout, 30s);
  model.openConnections = 100;
  model.runnableTasks = 1;
  model.advance(10s);
  EXPECT_LE(model.idleTimeout, 100ms);
  model.runnableTasks = 9;  // A storm of reading and connecting, which closing would feed.
  model.advance(12s);
  EXPECT_EQ(model.idleTimeout, 30s);
}

using GracefulShutdownTest = AdmissionPolicyTest;

TEST_F(GracefulShutdownTest, StartsNothingAfterTheGraceAndAnswersAllBeforeTheStop) {
  model.open();
  const RequestId before = arriveNow(0, 9s);
  model.announceShutdown(3s);
  model.advance(1500ms);
  const RequestId after = arriveNow(0, 9s);
  EXPECT_EQ(model.requests.at(after).startCount, 0);
  EXPECT_EQ(model.requests.at(after).shedCount, 1);
  model.advance(1490ms);
  EXPECT_EQ(model.requests.at(before).answerCount, 1);
  EXPECT_THAT(model.violations, IsEmpty());
}

}  // namespace
}  // namespace rainhook
