/// @file
/// Tests of the complete admission policy. Each guards against a failure that occurred once.
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

  /// Lets a request arrive and the policy decide about it immediately.
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

  /// Simulates a load in which each core completes one request every `executionTime` and `queued` requests
  /// always wait.
  void loadFor(Duration duration, Duration executionTime, int queued) {
    const Duration until = model.now + duration;
    while (model.now < until) {
      for (int i = model.countIn(RequestState::queued); i < queued; ++i) model.arrive();
      model.advance(0ms);
      const std::vector<RequestId> ids = model.idsIn(RequestState::executing);
      model.advance(executionTime / cores());
      if (!ids.empty() && stateOf(ids.front()) == RequestState::executing) model.endExecution(ids.front());
      model.advance(0ms);
    }
  }

  ProtocolModel model;
};

using ConcurrencyLimitTest = AdmissionPolicyTest;

// Guards against a limit that changes on a few responses, whose latencies are mostly noise.
TEST_F(ConcurrencyLimitTest, StartsAtCoreCountAndQueuesOtherRequests) {
  model.open();
  for (int i = 0; i < 4; ++i) model.arrive();
  model.advance(0ms);
  EXPECT_EQ(executing(), cores());
  EXPECT_EQ(model.countIn(RequestState::queued), 2);
  loadFor(1900ms, 200ms, 2);  // Too few responses to adjust the limit.
  EXPECT_EQ(executing(), cores());
}

// Guards against a limit that keeps rising although more executions do not lower the latency.
TEST_F(ConcurrencyLimitTest, StepsUpByOneFirstAndFallsWhenLatencyIsUnchanged) {
  model.open();
  loadFor(1500ms, 50ms, 2);
  EXPECT_EQ(executing(), cores() + 1);
  loadFor(10s, 50ms, 2);
  EXPECT_EQ(executing(), cores());
}

// Guards against a quick rise of the limit on an outdated gauge, and against cores that stay idle while
// requests are queued.
TEST_F(ConcurrencyLimitTest, RisesQuicklyOnlyWhenCoresAreIdle) {
  model.cpuUtilization = 0.3;  // A moving average lags, so it alone does not show that a core is idle now.
  model.open();
  for (int i = 0; i < 6; ++i) model.arrive();
  model.advance(300ms);
  EXPECT_EQ(executing(), cores());
  model.runnableTasks = 1;
  model.advance(200ms);
  EXPECT_GT(executing(), cores());
}

// Guards against requests that wait unread for too long, when they can't be shed: a server that reads slowly
// executes one request fewer, which leaves a core for reading.
TEST_F(ConcurrencyLimitTest, LeavesOneCoreForReadingWhenRequestsWaitLongUnread) {
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

// Guards against starting a request whose estimated work is far above the mean of its handler while the
// server sheds many requests.
TEST_F(LatenessTest, ShedsRequestWithMuchWorkOnlyWhenUnderPressure) {
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
  // The request may be late, but the server sheds few requests.
  EXPECT_EQ(arriveWithEstimate(700ms, 3s), RequestState::executing);
  endExecutionAfter(950ms);
  for (int i = 0; i < 20; ++i) arriveWithEstimate(100ms, 20ms);
  EXPECT_EQ(arriveWithEstimate(700ms, 3s), RequestState::ended);
}

// Guards against executions that occupy cores although their late responses would earn no weight.
TEST_F(LatenessTest, CancelsExecutionWhenPastTargetAndLateWeightIsZero) {
  model.settings.machine.cancellation = CancellationMode::discardWork;
  model.open();
  const RequestId id = model.arrive();
  model.advance(980ms);
  EXPECT_EQ(stateOf(id), RequestState::executing);
  model.advance(60ms);
  EXPECT_EQ(stateOf(id), RequestState::ended);
  EXPECT_EQ(model.requests.at(id).shedCount, 1);
  EXPECT_EQ(executing(), 0);
}

using AttemptAgeTest = AdmissionPolicyTest;

// Guards against executing retries that are past their target. The client of a first attempt waits for one of
// a few frequent times; an infrequent time is the rest of the client timeout and gives the age of a retry.
TEST_F(AttemptAgeTest, IsDerivedFromTimeRemainingWhenMostTimesAreFrequent) {
  model.open();
  const auto wasStarted = [this](Duration timeRemaining) {
    const RequestId id = arriveNow(0, timeRemaining);
    const bool hasStarted = model.requests.at(id).startCount > 0;
    if (hasStarted) model.endExecution(id);
    model.advance(20ms);
    return hasStarted;
  };
  for (int i = 0; i < 60; ++i) EXPECT_TRUE(wasStarted(i % 2 ? 2s : 1s));  // Two frequent times.
  EXPECT_FALSE(wasStarted(1500ms));                                       // 1.5 s old, so past its target.
  int startedWithRareTime = 0;  // If hardly any time occurs again, no age is derived from it.
  for (int i = 0; i < 100; ++i)
    if (wasStarted(1200ms + 17ms * i)) ++startedWithRareTime;
  EXPECT_GT(startedWithRareTime, 60);
}

// Guards against taking first attempts for retries: the entries of a common time must leave an entry for the
// rarer time of other clients.
TEST_F(AttemptAgeTest, IsZeroWhenRareTimeOccursBesideCommonOne) {
  model.open();
  int shed = 0;
  for (int i = 0; i < 400; ++i) {
    const bool isRare = i > 50 && i % 5 == 4;  // The rare time first occurs after the common one.
    const RequestId id = model.arrive(0, isRare ? 1550ms : 1500ms);
    model.advance(5ms);
    if (i > 200 && isRare && stateOf(id) == RequestState::ended) ++shed;
    if (stateOf(id) == RequestState::executing) model.endExecution(id);
    model.advance(5ms);
  }
  EXPECT_EQ(shed, 0);
}

using EventCostTest = AdmissionPolicyTest;

// Guards against a cost per batch that grows with the retained results and open downstream calls: a batch
// scans only its own events and the queued requests.
TEST_F(EventCostTest, DoesNotGrowWhenResultsAreRetainedAndCallsAreOpen) {
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
  const auto entriesScannedInOneIdleSecond = [this] {
    const std::uint64_t before = model.policy->entriesScanned();
    model.advance(1s);
    return model.policy->entriesScanned() - before;
  };
  const std::uint64_t scannedWhenEmpty = entriesScannedInOneIdleSecond();
  for (int i = 0; i < 500; ++i) endExecutionNow(arriveAndStart(1));
  for (int i = 0; i < 300; ++i) requestCallNow(arriveAndStart(0));
  EXPECT_THAT(model.retainedUntil, SizeIs(500));
  EXPECT_EQ(model.countIn(RequestState::calling), 300);
  EXPECT_LE(entriesScannedInOneIdleSecond(), scannedWhenEmpty);
  model.advance(31s);  // Each call is scanned once more, at its deadline.
  for (const RequestId id : model.idsIn(RequestState::calling)) model.endExecution(id, Outcome::cancelled);
  EXPECT_THAT(model.violations, IsEmpty());
}

using DeduplicationTest = AdmissionPolicyTest;

// Guards against leaking the memory of retained results: each deduplication window that ends must release it.
TEST_F(DeduplicationTest, ReleasesMemoryWhenWindowsEnd) {
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

// Guards against shedding the requests that arrived last, which are the most likely to be answered in time.
TEST_F(QueueTrimTest, ShedsOldestRequestsWhenQueueIsFull) {
  model.open();
  loadFor(2s, 100ms, 1);
  std::vector<RequestId> ids;
  for (int i = 0; i < 40; ++i) ids.push_back(model.arrive());
  model.advance(0ms);
  EXPECT_EQ(model.requests.at(ids[3]).shedCount, 1);
  EXPECT_EQ(model.requests.at(ids.back()).shedCount, 0);
}

// Guards against shedding the only request because its own work exceeds the tolerable wait, as happens with
// few cores and long executions: no request is ahead of it.
TEST_F(QueueTrimTest, KeepsRequestWhenOnlyItsOwnWorkIsQueued) {
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

// Guards against executions that only wait for a downstream call while the dependency is slow: requests that
// usually call stay queued, others start.
TEST_F(DownstreamCallTest, KeepsRequestsThatUsuallyCallQueuedWhenCallsWaitForQuota) {
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
  for (int i = 0; i < 10; ++i) {  // Teaches the policy that handler 1 makes downstream calls.
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
  const RequestId withCall = model.arrive(1);
  const RequestId withoutCall = model.arrive(0);
  model.advance(0ms);
  EXPECT_EQ(stateOf(withCall), RequestState::queued);
  EXPECT_EQ(stateOf(withoutCall), RequestState::executing);
}

// Guards against exceeding a quota below one call per server, as with hundreds of servers: it must hold over
// time even if no call is ever answered.
TEST_F(DownstreamCallTest, KeepsQuotaBelowOneCallWhenNoCallIsAnswered) {
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

// Guards against shedding all requests that make downstream calls because of an estimate from a slow phase
// that has ended.
TEST_F(DownstreamCallTest, RecoversWhenCallsAreFastAgain) {
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

// Guards against unsafe or missing retries after a lost connection, which does not show that the dependency
// is overloaded: an idempotent request repeats its call once and then continues without it; a request whose
// call must not be repeated continues without it immediately.
class BrokenCallTest : public AdmissionPolicyTest, public ::testing::WithParamInterface<Idempotency> {};

TEST_P(BrokenCallTest, IsRetriedOnceOnlyWhenIdempotent) {
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
  EXPECT_EQ(stateOf(id), RequestState::executing);  // It continues without its call.
  EXPECT_THAT(model.violations, IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Idempotencies, BrokenCallTest,
                         ::testing::Values(Idempotency::idempotent, Idempotency::nonIdempotent));

// Guards against waiting for a single lost reply: while calls are fast, an idempotent request repeats a call
// that takes far longer than usual. If all calls are slow it waits, since another call would only add to the
// load.
class UnansweredCallTest : public AdmissionPolicyTest, public ::testing::WithParamInterface<Duration> {};

TEST_P(UnansweredCallTest, IsRetriedOnlyWhenOtherCallsAreFast) {
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
  const RequestId id = arriveAndCall(300ms);  // No reply arrives.
  EXPECT_EQ(model.callsMade, callsBefore + (usualCall == 10ms ? 2 : 1));
  EXPECT_EQ(stateOf(id), RequestState::calling);
  EXPECT_THAT(model.violations, IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(UsualCallDurations, UnansweredCallTest, ::testing::Values(10ms, 400ms));

using RetryAdviceTest = AdmissionPolicyTest;

// Guards against retries while all servers are overloaded, when each retry only costs another read. A slow
// server must discourage retries too, since the retries of shed requests slow down every server; otherwise,
// in one simulated day, there were five attempts per request and 8% of the requests were served.
TEST_F(RetryAdviceTest, DiscouragesRetriesWhenOverloadedEvenIfServerIsSlow) {
  model.open();
  const auto discouragedRetriesInBurst = [this] {
    model.discouragedRetries = 0;
    for (int i = 0; i < 40; ++i) model.arrive();
    model.advance(0ms);
    return model.discouragedRetries;
  };
  loadFor(3s, 50ms, 40);
  EXPECT_GT(discouragedRetriesInBurst(), 0);
  model.advance(4s);  // No execution ends.
  EXPECT_GT(discouragedRetriesInBurst(), 0);
}

// Guards against missing an overload while the queue holds only one or two requests and shows no wait: the
// share of shed requests must reveal it.
TEST_F(RetryAdviceTest, DiscouragesRetriesWhenManyAreShedEvenIfQueueIsShort) {
  model.open();
  loadFor(2s, 300ms, 1);
  for (int i = 0; i < 40; ++i) {
    arriveNow(0, 2s, 950ms);  // Read too late to be answered in time.
    EXPECT_TRUE(i > 4 || model.discouragedRetries == 0);
  }
  EXPECT_GT(model.discouragedRetries, 25);
}

using IdleConnectionTest = AdmissionPolicyTest;

// Guards against a full connection table, whose size is not reported: hundreds of clients can fill it. Idle
// connections are closed sooner the more are open, except while reading and accepting overload the cores.
TEST_F(IdleConnectionTest, AreClosedSoonerWhenManyAreOpenUnlessReadingOverloadsCores) {
  model.settings.fleet.maxIdleTime = 30s;
  model.runnableTasks = 1;
  model.open();
  model.advance(20s);
  EXPECT_EQ(model.idleTimeout, 30s);
  model.openConnections = 100;
  model.runnableTasks = 1;
  model.advance(10s);
  EXPECT_LE(model.idleTimeout, 100ms);
  model.runnableTasks = 9;  // Overload by reading and connecting, which closing would increase.
  model.advance(12s);
  EXPECT_EQ(model.idleTimeout, 30s);
}

using GracefulShutdownTest = AdmissionPolicyTest;

// Guards against executing requests that arrive after the drain grace, and against requests that have no
// response when the server stops.
TEST_F(GracefulShutdownTest, StartsNothingAfterDrainGraceAndAnswersAllBeforeStop) {
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
