// The store through crashes and faults of the disk: whatever is lost of what was not synced, each start
// succeeds and serves what was acknowledged.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "store_world.h"

namespace rainhook::store {
namespace {

constexpr int steps = 70, choices = 5;

// RAINHOOK_SEEDS asks for a longer search by hand.
std::uint64_t seeds(std::uint64_t usual) {
  const char* more = std::getenv("RAINHOOK_SEEDS");
  return more ? std::strtoull(more, nullptr, 10) : usual;
}

// Starts on what a crash left, looks, works on, and starts again.
void expectRecoversAndContinues(SimulatedDisk platter, ReferenceModel ledger, UnixTime now,
                                const std::string& where) {
  OperationHistory after(platter, 5);
  after.now = now, after.ledger = std::move(ledger);
  ASSERT_TRUE(after.open()) << where;
  ASSERT_EQ(after.ledger.contradictions(after.book(), after.now), "") << where << " after the start";
  ASSERT_EQ(after.book().stats().lostRecords, 0u) << where;
  after.runAllMaintenance();
  ASSERT_EQ(after.ledger.contradictions(after.book(), after.now), "") << where << " after compaction";
  after.play(15);
  ASSERT_EQ(after.ledger.contradictions(after.book(), after.now), "") << where << " after more writes";
  ASSERT_TRUE(after.open()) << where;
  ASSERT_EQ(after.ledger.contradictions(after.book(), after.now), "") << where << " after another start";
}

TEST(StoreCrash, AtEveryOperationWithAnyChoiceOfWhatSurvives) {
  for (std::uint64_t seed = 1; seed <= seeds(3); ++seed) {
    SimulatedDisk whole;
    OperationHistory first(whole, seed);
    ASSERT_TRUE(first.open());
    first.play(steps);
    ASSERT_EQ(first.ledger.contradictions(first.book(), first.now), "");
    ASSERT_GT(first.compactions + first.book().stats().compactions, 0u);
    for (std::uint64_t at = 0; at < whole.operations; ++at) {
      SimulatedDisk platter;
      platter.crashAt = at;
      OperationHistory history(platter, seed);
      if (history.open()) history.play(steps);
      history.forget();
      for (int choice = 0; choice < choices; ++choice) {
        expectRecoversAndContinues(platter.after(choice), history.ledger, history.now,
                                   "seed " + std::to_string(seed) + ", crash at " + std::to_string(at) +
                                       ", choice " + std::to_string(choice));
        if (HasFatalFailure()) return;
      }
    }
  }
}

TEST(StoreCrash, AgainAtEveryOperationOfTheRecovery) {
  SimulatedDisk whole;
  OperationHistory first(whole, 4);
  ASSERT_TRUE(first.open());
  first.play(steps);
  for (std::uint64_t at = 3; at < whole.operations; at += 11) {
    SimulatedDisk platter;
    platter.crashAt = at;
    OperationHistory history(platter, 4);
    if (history.open()) history.play(steps);
    history.forget();
    for (int choice = 0; choice < 3; ++choice) {
      const auto found = platter.after(choice);
      for (std::uint64_t again = 0;; ++again) {
        SimulatedDisk second = found;
        // The inodes are shared by a copy; take bytes of its own.
        second = SimulatedDisk::of(second.image());
        second.crashAt = again;
        OperationHistory recovering(second, 5);
        recovering.now = history.now;
        recovering.open();
        recovering.forget();
        const bool over = second.operations <= again;
        expectRecoversAndContinues(second.after(static_cast<int>(again % choices)), history.ledger,
                                   history.now,
                                   "crash at " + std::to_string(at) + ", again at " + std::to_string(again));
        if (HasFatalFailure()) return;
        if (over) break;
      }
    }
  }
}

// Each fault once at each operation; the process lives on, and then the power fails.
TEST(StoreCrash, AFaultAtEveryOperationLosesNothingAcknowledged) {
  for (std::uint64_t seed = 6; seed < 6 + seeds(1); ++seed)
    for (const int error : {EIO, ENOSPC, EMFILE, -1}) {
      SimulatedDisk whole;
      OperationHistory first(whole, seed);
      ASSERT_TRUE(first.open());
      first.play(steps);
      for (std::uint64_t at = 0; at < whole.operations; ++at) {
        SimulatedDisk platter;
        platter.faults[at] = error;
        OperationHistory history(platter, seed);
        const auto where =
            "seed " + std::to_string(seed) + ", fault " + std::to_string(error) + " at " + std::to_string(at);
        ASSERT_TRUE(history.open()) << where;
        history.play(steps);
        ASSERT_EQ(history.ledger.contradictions(history.book(), history.now), "") << where;
        history.forget();
        for (const int choice : {0, 2}) {
          expectRecoversAndContinues(platter.after(choice), history.ledger, history.now,
                                     where + ", choice " + std::to_string(choice));
          if (HasFatalFailure()) return;
        }
      }
    }
}

TEST(StoreCrash, ADiskWhoseEverySyncFailsAcknowledgesNothing) {
  SimulatedDisk platter;
  OperationHistory history(platter, 7);
  ASSERT_TRUE(history.open());
  history.play(20);
  platter.everySync = EIO;
  const std::vector<WriteRequest> writes{{false, "key1", "new", neverExpires}};
  const auto names = platter.names.size();
  for (int i = 0; i < 20; ++i) {
    const auto outcome = history.book().commit(writes, history.now).front();
    EXPECT_EQ(outcome.code, StoreErrorCode::ioError);
    history.ledger.wrote(writes[0], false);
  }
  EXPECT_LE(platter.names.size(), names + 6) << "a failing disk fills with files";
  platter.everySync = 0;
  history.runAllMaintenance();
  EXPECT_TRUE(history.book().commit(writes, history.now).front().isOk());
  history.ledger.wrote(writes[0], true);
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
  history.forget();
  expectRecoversAndContinues(platter.after(0), history.ledger, history.now, "after the syncs worked again");
}

// A sync that failed in one process says nothing to the next, whose own sync succeeds and means nothing.
TEST(StoreCrash, WhatAFailedSyncLeftIsDistrustedByLaterStartsToo) {
  SimulatedDisk platter;
  OperationHistory history(platter, 13);
  ASSERT_TRUE(history.open());
  // Each segment half dead: the second round writes every other key again.
  for (std::uint64_t i = 0; i < 18; ++i)
    history.put({{false, named("key", i < 12 ? i : (i - 12) * 2), std::string(40, 'a'), neverExpires}});
  while (history.book().stats().compactedBytes == 0) ASSERT_TRUE(history.book().runMaintenance(history.now));
  ASSERT_EQ(history.book().stats().compactions, 0u) << "copies that were not synced, and their input";
  platter.everySync = EIO;
  ASSERT_TRUE(history.open());
  platter.everySync = 0;
  ASSERT_TRUE(history.open());
  ASSERT_TRUE(history.open()) << "and by one that knows of it from the manifest alone";
  history.runAllMaintenance();
  expectRecoversAndContinues(platter.after(0), history.ledger, history.now,
                             "after a start whose syncs failed");
}

TEST(StoreCrash, WithoutDescriptorsItRefusesAndThenGoesOn) {
  SimulatedDisk platter;
  OperationHistory history(platter, 8);
  ASSERT_TRUE(history.open());
  history.play(30);
  platter.everyOpen = EMFILE;
  history.play(30);
  history.runAllMaintenance();
  platter.everyOpen = 0;
  ASSERT_TRUE(history.open()) << "a start without descriptors may have failed";
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
  history.play(30);
  EXPECT_EQ(history.ledger.contradictions(history.book(), history.now), "");
  history.forget();
  expectRecoversAndContinues(platter.after(0), history.ledger, history.now, "after descriptors were short");
}

TEST(StoreCrash, AFullDiskInACompactionKeepsWhatWasAcknowledgedAndGoesOn) {
  std::uint64_t refused = 0;
  for (std::uint64_t spare = 0; spare < 3000; spare += 60) {
    SimulatedDisk platter;
    OperationHistory history(platter, 9);
    ASSERT_TRUE(history.open());
    history.play(40);
    platter.capacity = platter.used() + spare;
    history.play(40);
    history.runAllMaintenance();
    ASSERT_EQ(history.ledger.contradictions(history.book(), history.now), "") << spare;
    refused += history.book().stats().failedWrites;
    platter.capacity = ~std::uint64_t{0};
    const std::vector<WriteRequest> writes{{false, "key2", "room again", neverExpires}};
    ASSERT_TRUE(history.book().commit(writes, history.now).front().isOk()) << spare;
    history.ledger.wrote(writes[0], true);
    history.forget();
    expectRecoversAndContinues(platter.after(0), history.ledger, history.now,
                               "spare " + std::to_string(spare));
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(refused, 100u) << "the disk was never full";
}

TEST(StoreCrash, ASnapshotCutShortAtAnyOperationHarmsNothing) {
  std::uint64_t operations = 1;
  for (std::uint64_t at = 0; at <= operations; ++at) {
    SimulatedDisk platter, target;
    OperationHistory history(platter, 10);
    ASSERT_TRUE(history.open());
    history.play(40);
    target.crashAt = at;
    std::optional<StoreStatus> ended;
    auto copied = history.ledger;
    const auto begun = history.book().startSnapshot(std::make_unique<CrashSimulatingDisk>(target),
                                                    [&](StoreStatus outcome) { ended = std::move(outcome); });
    if (!begun.isOk()) ended = begun;
    for (int i = 0; i < 2000 && !ended; ++i) {
      history.book().runMaintenance(history.now);
      if (i % 3 == 0)
        history.put(
            {{false, named("key", static_cast<std::uint64_t>(i % 12)), "while copying", neverExpires}});
    }
    ASSERT_TRUE(ended);
    ASSERT_EQ(history.ledger.contradictions(history.book(), history.now), "");
    operations = std::max(operations, target.operations);
    for (int choice = 0; choice < choices; ++choice) {
      SimulatedDisk found = target.after(choice);
      OperationHistory other(found, 11);
      other.now = history.now;
      // Cut short, it is refused or was never begun; whole, it is the store as it was at its beginning.
      const bool opened = other.open();
      const bool begunThere =
          found.names.size() > 1 || ended->isOk();  // beside the manifest of an empty store
      if (opened && begunThere) {
        ASSERT_EQ(copied.contradictions(other.book(), history.now), "") << at << ", choice " << choice;
      }
      ASSERT_TRUE(opened || !ended->isOk()) << at << ", choice " << choice;
    }
  }
}

// A write that failed may be found by a start all the same: its file was not cut back, or the cut was
// forgotten. An erasure that was acknowledged after it holds against that.
TEST(StoreCrash, AnErasureHoldsAgainstAWriteThatFailedBefore) {
  for (const bool older : {false, true})
    for (const bool syncFails : {true, false})
      for (int choice = 0; choice < 40; ++choice) {
        SimulatedDisk platter;
        OperationHistory history(platter, 12);
        ASSERT_TRUE(history.open());
        // Beside enough that lives to keep its segment from being compacted first.
        if (older)
          history.put({{false, "key1", "older", neverExpires},
                       {false, "keeper", "0123456789abcdefghijklmnopqrstuvwxyz", neverExpires}});
        ASSERT_TRUE(history.open());  // what is older stands in a segment of its own
        history.put({{false, "other", "there", neverExpires}});
        const auto next = platter.operations;
        platter.everyOpen = EMFILE;  // no new segment can be had for a second try
        if (syncFails) {
          platter.faults[next + 1] = EIO;  // the sync behind the write; then the cut works
        } else {
          platter.faults[next] = -1;  // half of the write, which holds the whole record of key1, ...
          platter.faults[next + 1] = EIO, platter.faults[next + 2] = EIO;  // no more of it, and no cut
        }
        const std::vector<WriteRequest> failing{{false, "key1", "failed", neverExpires},
                                                {false, "key2", std::string(190, 'z'), neverExpires}};
        ASSERT_FALSE(history.book().commit(failing, history.now).front().isOk());
        for (const auto& write : failing) history.ledger.wrote(write, false);
        platter.everyOpen = 0;
        platter.faults.clear();
        const std::vector<WriteRequest> erasing{{true, "key1", {}, neverExpires}};
        ASSERT_TRUE(history.book().commit(erasing, history.now).front().isOk());
        history.ledger.wrote(erasing[0], true);
        const auto where = std::string(older ? "older, " : "") + (syncFails ? "sync" : "cut") + ", choice " +
                           std::to_string(choice);
        expectRecoversAndContinues(platter.after(choice), history.ledger, history.now, where);
        if (HasFatalFailure()) return;
        // Whatever is compacted, and whenever the power fails.
        std::optional<StoreStatus> ended;
        history.book().startCompaction([&](StoreStatus outcome) { ended = std::move(outcome); });
        for (int step = 0; step < 200 && !ended; ++step) {
          history.book().runMaintenance(history.now);
          expectRecoversAndContinues(platter.after(choice % 4), history.ledger, history.now,
                                     where + ", step " + std::to_string(step));
          if (HasFatalFailure()) return;
        }
        ASSERT_TRUE(ended);
      }
}

RC_GTEST_PROP(StoreCrash, AnyHistoryBesideAPlainMap, (std::uint64_t seed)) {
  SimulatedDisk platter;
  OperationHistory history(platter, seed);
  RC_ASSERT(history.open());
  for (int round = 0; round < 4; ++round) {
    history.play(12);
    RC_ASSERT(history.ledger.contradictions(history.book(), history.now) == "");
    RC_ASSERT(platter.mostUsed <= smallBounds().maxDiskBytes);
  }
}

}  // namespace
}  // namespace rainhook::store
