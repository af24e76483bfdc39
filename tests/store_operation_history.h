/// @file
/// Runs a random history of operations on a store over a simulated disk and on its reference model.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/log_structured_store.h"
#include "store_reference_model.h"
#include "store_simulated_disk.h"

namespace rainhook::store {

/// Appends a number to a prefix: numbered("key", 7) is "key7".
inline std::string numbered(const char* prefix, std::uint64_t number) {
  std::string out(prefix);
  return out += std::to_string(number);
}

/// Returns limits so small that a short history fills several segments.
inline StoreSettings smallSettings() {
  StoreSettings out;
  out.maxDiskBytes = 64 << 10;
  out.maxSegmentBytes = 1200;
  out.maintenanceStepBytes = 400;
  out.maxOpenFiles = 3;
  out.maxKeyBytes = 40;
  out.maxValueBytes = 200;
  out.minCompressedValueBytes = 64;
  return out;
}

/// Performs puts, overwrites, erasures, expiries, compactions, snapshots and restarts, chosen at random from
/// a seed.
class OperationHistory {
 public:
  explicit OperationHistory(SimulatedDisk& disk, std::uint64_t seed, StoreSettings settings = smallSettings())
      : simulatedDisk_(disk), settings_(settings), random_(seed) {}

  /// Opens or reopens the store. Returns false once the disk has failed permanently.
  bool open() {
    if (store_) {
      earlierCompactions += store_->statistics().compactions;
      earlierExpiredEntries += store_->statistics().expiredEntries;
    }
    disk_ = std::make_unique<CrashSimulatingDisk>(simulatedDisk_);
    store_ = std::make_unique<LogStructuredStore>(
        *disk_, settings_, [this](const std::string& line) { logLines.push_back(line); });
    return store_->open(storeSeed).isOk();
  }
  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
  }
  void step() {
    const auto choice = randomBelow(random_, 20);
    if (choice < 12) {
      std::vector<WriteRequest> writes;
      for (auto remaining = 1 + randomBelow(random_, 3); remaining > 0; --remaining)
        writes.push_back(randomWrite());
      commit(writes);
    } else if (choice < 17) {
      for (auto remaining = randomBelow(random_, 12); remaining > 0; --remaining) store_->runMaintenance(now);
    } else if (choice < 19) {
      now += std::chrono::milliseconds(randomBelow(random_, 40));
    } else if (simulatedDisk_.operations < simulatedDisk_.crashAt) {
      snapshotOrReopen();
    }
  }
  /// Commits the writes and records in the model which of them were acknowledged.
  void commit(const std::vector<WriteRequest>& writes) {
    const auto statuses = store_->commit(writes, now);
    for (std::size_t i = 0; i < writes.size(); ++i) model.recordWrite(writes[i], statuses[i].isOk());
  }
  void runAllMaintenance() {
    for (int i = 0; i < maxMaintenanceSteps && store_->runMaintenance(now); ++i) {
    }
  }
  void compactAll() {
    std::optional<StoreStatus> ended;
    store_->startCompaction([&](StoreStatus status) { ended = std::move(status); });
    for (int i = 0; i < maxMaintenanceSteps && !ended; ++i) store_->runMaintenance(now);
    EXPECT_TRUE(ended);
  }
  /// Describes the keys for which the store returns wrong results; empty if there are none.
  std::string contradictions() { return model.contradictions(*store_, now); }
  LogStructuredStore& store() { return *store_; }
  /// Destroys the store without closing it, like a kill of its process.
  void kill() { store_.reset(); }

  UnixTime now{std::chrono::milliseconds(1'000'000)};
  ReferenceModel model;
  std::vector<std::string> logLines;
  std::uint64_t earlierCompactions = 0;     // by the stores before the current one
  std::uint64_t earlierExpiredEntries = 0;  // by the stores before the current one
  std::uint64_t erasures = 0;

 private:
  static constexpr std::uint64_t storeSeed = 77;
  static constexpr int maxMaintenanceSteps = 10000;

  void snapshotOrReopen() {
    // The maintenance steps that follow continue the snapshot; a restart ends it.
    if (randomBelow(random_, 3) == 0) {
      snapshotDisk_ = SimulatedDisk();
      (void)store_->startSnapshot(std::make_unique<CrashSimulatingDisk>(snapshotDisk_), {});
      return;
    }
    if (randomBelow(random_, 2) == 0) store_->close();
    open();
  }
  WriteRequest randomWrite() {
    const std::string key = numbered("key", randomBelow(random_, 12));
    if (randomBelow(random_, 5) == 0) {
      ++erasures;
      return WriteRequest::erase(key);
    }
    const std::string number = std::to_string(++writtenValues_);
    auto out = WriteRequest::put(key, number + ":" + std::string(randomBelow(random_, 90), 'v'));
    if (randomBelow(random_, 4) == 0)
      out.expiry = now + std::chrono::milliseconds(1 + randomBelow(random_, 60));
    return out;
  }

  SimulatedDisk snapshotDisk_;
  SimulatedDisk& simulatedDisk_;
  StoreSettings settings_;
  RandomSource random_;
  std::unique_ptr<CrashSimulatingDisk> disk_;
  std::unique_ptr<LogStructuredStore> store_;
  int writtenValues_ = 0;
};

}  // namespace rainhook::store
