// Small tests of the module, one for each failure found, without the bench.
#include <gtest/gtest.h>

#include "protocol_model.h"

namespace rainhook {
namespace {

using Where = World::Where;

// The cores do a req in `each`, however many share them; new reqs keep `held` of them waiting.
void busyFor(World& w, Duration time, Duration each, int held) {
  for (const Duration until = w.now + time; w.now < until;) {
    for (int i = w.count(Where::held); i < held; ++i) w.arrive();
    w.pass(0ms);
    const auto running = w.in(Where::running);
    w.pass(each / w.machine.cores);
    if (!running.empty() && w.reqs.at(running.front()).where == Where::running) w.end(running.front());
    w.pass(0ms);
  }
}

TEST(Climber, StartsAtTheCoresAndHoldsTheRest) {
  World w;
  w.open();
  for (int i = 0; i < 4; ++i) w.arrive();
  w.pass(0ms);
  EXPECT_EQ(w.count(Where::running), w.machine.cores);
  EXPECT_EQ(w.count(Where::held), 2);
  busyFor(w, 1900ms, 200ms, 2);  // few answers are noise and teach nothing
  EXPECT_EQ(w.count(Where::running), w.machine.cores);
}

TEST(Climber, FirstStepIsUpOneAndItDoesNotStandStillAtEvenLatency) {
  World w;
  w.open();
  busyFor(w, 1500ms, 50ms, 2);
  EXPECT_EQ(w.count(Where::running), w.machine.cores + 1);
  busyFor(w, 10s, 50ms, 2);
  EXPECT_EQ(w.count(Where::running), w.machine.cores);  // no opinion leans to fewer reqs
}

TEST(Climber, ClimbsQuicklyOnlyWhileCoresIdle) {
  World w;
  w.cpu = 0.3;  // the mean lags: by itself it does not say that a core is free now
  w.open();
  for (int i = 0; i < 6; ++i) w.arrive();
  w.pass(300ms);
  EXPECT_EQ(w.count(Where::running), w.machine.cores);
  w.wanting = 1;
  w.pass(200ms);
  EXPECT_GT(w.count(Where::running), w.machine.cores);
}

// A rough hint of a req's work: what is far longer than its handler's mean is not begun where much is turned
// away.
TEST(Hold, AHintOfMuchWorkTellsWhatComesTooLate) {
  World w;
  w.open();
  const auto hinted = [&](Duration work, Duration patience) {
    const RequestId id = w.arrive(0, patience);
    std::get<RequestArrived>(w.next.back()).estimatedWork = work;
    w.pass(0ms);
    return w.reqs.at(id).where;
  };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(hinted(100ms, 3s), Where::running);
    w.pass(200ms), w.end(w.in(Where::running).front()), w.pass(5ms);
  }
  EXPECT_EQ(hinted(700ms, 3s), Where::running);  // doubtful, but little is turned away
  w.pass(950ms), w.end(w.in(Where::running).front()), w.pass(5ms);
  for (int i = 0; i < 20; ++i) hinted(100ms, 20ms);
  EXPECT_EQ(hinted(700ms, 3s), Where::over);
}

// Callers wait as long for a further try as for a first one, or for what is left: that tells how late it is.
TEST(Hold, WhatIsLeftOfTheTimeoutTellsAFurtherTrysAge) {
  World w;
  w.open();
  const auto started = [&](Duration patience) {
    const RequestId id = w.arrive(0, patience);
    w.pass(0ms);
    const bool ran = w.reqs.at(id).starts > 0;
    if (ran) w.end(id);
    w.pass(20ms);
    return ran;
  };
  for (int i = 0; i < 60; ++i) EXPECT_TRUE(started(i % 2 ? 2s : 1s));  // two habits
  EXPECT_FALSE(started(1500ms));                                       // 1.5 s old, past its target
  int odd = 0;  // where hardly any wait comes again, it tells nothing
  for (int i = 0; i < 100; ++i) odd += started(1200ms + 17ms * i);
  EXPECT_GT(odd, 60);
}

// What a turn goes through is what came in it and what waits held, not what is kept or stands at calls.
TEST(Turns, CostNoMoreForAllThatIsInHand) {
  World w;
  w.machine = {.cores = 8,
               .memoryKb = 1e6,
               .executionMemoryFactor = 4,
               .cachedEntryKb = 1,
               .maxExecutionsPerCore = 100,
               .crowdingWindow = 2s};
  w.handlers = {{.latencyObjective = 20s, .clientTimeout = 30s, .callsDownstream = true},
                {.latencyObjective = 20s,
                 .clientTimeout = 30s,
                 .idempotency = Idempotency::keyed,
                 .deduplicationWindow = 40s}};
  w.below = {DownstreamKind::nextTier, 0, 5s, 200ms};
  w.open();
  const auto through = [&](int handler, auto then) {
    const RequestId id = w.arrive(handler, 30s);
    w.pass(0ms);
    ASSERT_EQ(w.reqs.at(id).where, Where::running);
    then(id);
    w.pass(0ms);
  };
  const auto looksOfAQuietSecond = [&] {
    const auto before = w.module->entriesScanned();
    w.pass(1s);
    return w.module->entriesScanned() - before;
  };
  const auto empty = looksOfAQuietSecond();
  for (int i = 0; i < 500; ++i) through(1, [&](RequestId id) { w.end(id); });
  for (int i = 0; i < 300; ++i) through(0, [&](RequestId id) { w.want(id); });
  EXPECT_EQ(w.kept.size(), 500u);
  EXPECT_EQ(w.count(Where::calling), 300);
  EXPECT_LE(looksOfAQuietSecond(), empty);
  w.pass(31s);  // each of them is looked at once more, when it is due
  for (const RequestId id : w.in(Where::calling)) w.end(id, Outcome::cancelled);
  EXPECT_EQ(w.broken, std::vector<std::string>{});
}

// Marks take memory until their window is over, and then give it back, time after time.
TEST(Turns, MarksThatAreOverGiveTheirRoomBack) {
  World w;
  w.handlers = {{.latencyObjective = 1s,
                 .clientTimeout = 3s,
                 .idempotency = Idempotency::keyed,
                 .deduplicationWindow = 2s}};
  w.open();
  const auto roomFor = [&] {
    for (int n = 0; n < 200; ++n) {
      const RequestId id = w.arrive();
      w.pass(0ms);
      if (w.reqs.at(id).starts == 0) return n;
      w.end(id);
      w.pass(0ms);
    }
    return 200;
  };
  const int first = roomFor();
  EXPECT_GT(first, 50);
  EXPECT_LT(first, 200);
  for (int again = 0; again < 5; ++again) {
    w.pass(3s);
    EXPECT_EQ(roomFor(), first) << again;
  }
  EXPECT_EQ(w.broken, std::vector<std::string>{});
}

TEST(Hold, IsCutFromItsOldestEnd) {
  World w;
  w.open();
  busyFor(w, 2s, 100ms, 1);
  std::vector<RequestId> ids;
  for (int i = 0; i < 40; ++i) ids.push_back(w.arrive());
  w.pass(0ms);
  EXPECT_EQ(w.reqs.at(ids[3]).shedAnswers, 1);
  EXPECT_EQ(w.reqs.at(ids.back()).shedAnswers, 0);
}

// Few cores and long work: one req alone is more than the hold may stand for, yet nothing is ahead of it.
TEST(Hold, AReqIsNotCutForItsOwnWork) {
  World w;
  w.open();
  for (int i = 0; i < 10; ++i) {
    const RequestId id = w.arrive();
    w.pass(700ms);
    EXPECT_EQ(w.reqs.at(id).where, Where::running);
    w.end(id), w.pass(100ms);
  }
}

// A dependency that is slow for a while: reqs that would only wait for a call stay held, others run on.
TEST(Calls, WhatWouldOnlyWaitForACallStaysHeldAndOthersRunOn) {
  World w;
  w.below = {DownstreamKind::shared, 2, 5s, 200ms};
  w.handlers.push_back(w.handlers[0]);
  w.handlers[1].callsDownstream = true;
  w.open();
  const auto callOnce = [&] {
    w.arrive(1), w.pass(0ms);
    for (const RequestId id : w.in(Where::running)) w.want(id);
    w.pass(0ms);
  };
  for (int i = 0; i < 10; ++i) {  // learns that handler 1 calls
    callOnce();
    for (const RequestId id : w.in(Where::calling)) w.endCall(id, Outcome::completed), w.end(id);
    w.pass(20ms);
  }
  callOnce(), callOnce();  // one call in hand, one req waiting for room
  ASSERT_EQ(w.count(Where::wanting), 1);
  const RequestId calls = w.arrive(1), plain = w.arrive(0);
  w.pass(0ms);
  EXPECT_EQ(w.reqs.at(calls).where, Where::held);
  EXPECT_EQ(w.reqs.at(plain).where, Where::running);
}

// Hundreds of servers with a share under one call each: kept in time, even while no call comes back.
TEST(Calls, AShareUnderOneCallIsKeptInTime) {
  World w;
  w.below = {DownstreamKind::shared, 0.4, 5s, 200ms};
  w.handlers[0].callsDownstream = true;
  w.open();
  for (int i = 0; i < 200; ++i) {
    w.arrive(), w.pass(50ms);
    for (const RequestId id : w.in(Where::running)) w.want(id);
    w.pass(0ms);
    EXPECT_LE(w.count(Where::calling), 1);
  }
  EXPECT_GT(w.callsMade, 4);
  EXPECT_EQ(w.broken, std::vector<std::string>{});
}

TEST(Calls, ALongTroubleIsForgottenOnceItIsOver) {
  World w;
  w.handlers[0].callsDownstream = true;
  w.open();
  const auto runWithCall = [&](Duration callTakes) {
    const RequestId id = w.arrive();
    w.pass(0ms);
    if (w.reqs.at(id).where != Where::running) return false;
    w.want(id), w.pass(callTakes);
    if (w.reqs.at(id).where != Where::calling) return false;
    w.endCall(id, Outcome::completed), w.pass(5ms);
    w.end(id), w.pass(5ms);
    return true;
  };
  for (int i = 0; i < 30; ++i) runWithCall(20ms);
  for (int i = 0; i < 10; ++i) runWithCall(900ms);
  w.pass(6s);
  EXPECT_TRUE(runWithCall(20ms));
}

// Where all are full another try only costs another reading. Slowness does not tell: the storm that sheds
// feed makes every server slow (hunted day: five tries a req, service 8%).
TEST(Pressure, AsksForNoOtherTryUnderLoadHoweverSlow) {
  World w;
  w.open();
  const auto burst = [&] {
    w.lastTries = 0;
    for (int i = 0; i < 40; ++i) w.arrive();
    w.pass(0ms);
    return w.lastTries;
  };
  busyFor(w, 3s, 50ms, 40);
  EXPECT_GT(burst(), 0);
  w.pass(4s);  // its cores stand still
  EXPECT_GT(burst(), 0);
}

// A run past its target earns nothing: it is stopped where that is allowed, its req shed without another try.
TEST(Hold, ARunPastItsTargetIsStoppedWhereLateEarnsNothing) {
  World w;
  w.machine.cancellation = CancellationMode::discardWork;
  w.open();
  const RequestId id = w.arrive();
  w.pass(980ms);
  EXPECT_EQ(w.reqs.at(id).where, Where::running);
  w.pass(60ms);
  EXPECT_EQ(w.reqs.at(id).where, Where::over);
  EXPECT_EQ(w.reqs.at(id).shedAnswers, 1);
  EXPECT_EQ(w.count(Where::running), 0);
}

// Hundreds of callers fill a table whose size nobody tells.
TEST(Pressure, ClosesIdleConnectionsTheSoonerTheMoreStandOpen) {
  World w;
  w.fleet.maxIdleTime = 30s;
  w.wanting = 1;
  w.open();
  w.pass(20s);
  EXPECT_EQ(w.closesIdle, 30s);
  w.connections = 100, w.wanting = 1;
  w.pass(10s);
  EXPECT_LE(w.closesIdle, 100ms);
  w.wanting = 9;  // a storm of reading and connecting, which closing would feed
  w.pass(12s);
  EXPECT_EQ(w.closesIdle, 30s);
}

// A hold of one or two reqs feels no pressure, whatever is shed: the sheds themselves must tell.
TEST(Pressure, ManyShedsAskForNoOtherTryHoweverShortTheHold) {
  World w;
  w.open();
  busyFor(w, 2s, 300ms, 1);
  for (int i = 0; i < 40; ++i) {
    w.arrive(0, 2s, 950ms), w.pass(0ms);  // read too late to be of use
    EXPECT_TRUE(i > 4 || w.lastTries == 0);
  }
  EXPECT_GT(w.lastTries, 25);
}

// What stands unread can't be shed: a slow server runs one fewer so that reading gets the core.
TEST(Hold, RunsOneFewerWhileReqsStandUnreadForLong) {
  World w;
  w.open();
  for (int i = 0; i < 30; ++i)
    w.arrive(0, 3s, i < 5 ? 0ms : 400ms), w.pass(0ms), w.leave(RequestId{w.ids}), w.pass(0ms);
  for (const RequestId id : w.in(Where::running)) w.end(id);
  for (int i = 0; i < 3; ++i) w.arrive(0, 3s, 400ms);
  w.pass(0ms);
  EXPECT_EQ(w.count(Where::running), w.machine.cores - 1);
}

TEST(Drain, NothingRunsAfterTheGraceAndAllIsAnsweredBeforeTheStop) {
  World w;
  w.open();
  const RequestId running = w.arrive(0, 9s);
  w.pass(0ms);
  w.notice(3s), w.pass(1500ms);
  const RequestId after = w.arrive(0, 9s);
  w.pass(0ms);
  EXPECT_EQ(w.reqs.at(after).starts, 0);
  EXPECT_EQ(w.reqs.at(after).shedAnswers, 1);
  w.pass(1490ms);
  EXPECT_EQ(w.reqs.at(running).answers, 1);
  EXPECT_TRUE(w.broken.empty());
}

// A connection that broke under a call says nothing of the dependency: a replayable req calls once more, then
// goes on without. One that must not be called twice goes on without at once.
TEST(Calls, ABrokenConnectionIsTriedOnceMoreWhereThatIsSafe) {
  for (const auto effect : {Idempotency::idempotent, Idempotency::nonIdempotent}) {
    World w;
    w.handlers[0].degradedWeight = 0.3, w.handlers[0].callsDownstream = true,
    w.handlers[0].idempotency = effect;
    w.open();
    const RequestId id = w.arrive();
    w.pass(10ms);
    w.want(id);
    w.pass(10ms);
    ASSERT_EQ(w.callsMade, 1);
    w.endCall(id, Outcome::connectionLost);
    w.pass(10ms);
    EXPECT_EQ(w.callsMade, effect == Idempotency::idempotent ? 2 : 1);
    if (effect == Idempotency::idempotent) w.endCall(id, Outcome::connectionLost);
    w.pass(10ms);
    EXPECT_EQ(w.reqs.at(id).where, Where::running);  // without its call
    EXPECT_TRUE(w.broken.empty());
  }
}

// While calls are quick, a reply that stays out far longer than usual is not waited for until it is too late:
// a replayable req calls again in time. Where all calls are slow it waits, since another would only add to
// that.
TEST(Calls, AReplyThatStaysOutIsAskedForAgainWhileOthersAreQuick) {
  for (const Duration usual : {10ms, 400ms}) {
    World w;
    w.handlers[0].degradedWeight = 0.3, w.handlers[0].callsDownstream = true;
    w.open();
    const auto call = [&](Duration takes) {
      const RequestId id = w.arrive();
      w.pass(5ms);
      w.want(id);
      w.pass(takes);
      return id;
    };
    for (int i = 0; i < 60; ++i) {
      const RequestId id = call(i < 30 ? 10ms : usual);
      if (w.reqs.at(id).where == Where::calling) w.endCall(id, Outcome::completed);
      w.pass(5ms);
      w.end(id);
    }
    const int before = w.callsMade;
    const RequestId id = call(300ms);  // no reply comes
    EXPECT_EQ(w.callsMade, before + (usual == 10ms ? 2 : 1));
    EXPECT_EQ(w.reqs.at(id).where, Where::calling);
    EXPECT_TRUE(w.broken.empty());
  }
}

// A caller whose habit is the rarer one is no further try: the common habit leaves room to learn it.
TEST(Waits, ACommonHabitDoesNotHideTheOthers) {
  World w;
  w.open();
  int shed = 0;
  for (int i = 0; i < 400; ++i) {
    const bool rare = i > 50 && i % 5 == 4;  // it comes later than the common one
    const RequestId id = w.arrive(0, rare ? 1550ms : 1500ms);
    w.pass(5ms);
    if (i > 200 && rare) shed += w.reqs.at(id).where == Where::over;
    if (w.reqs.at(id).where == Where::running) w.end(id);
    w.pass(5ms);
  }
  EXPECT_EQ(shed, 0);
}

}  // namespace
}  // namespace rainhook
