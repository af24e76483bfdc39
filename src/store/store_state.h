/// @file
/// The state that a store's writer thread shares with readers on other threads.
#pragma once

#include <algorithm>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "store/ids.h"
#include "store/key_index.h"
#include "store/statistics.h"

namespace rainhook::store {

/// Identifies a record independently of its location.
struct RecordId {
  std::string key;            ///< The record's key.
  SequenceNumber sequence{};  ///< The record's sequence number.
};

/// A record that a read has found to be corrupt.
struct CorruptRecord {
  SegmentNumber segment{};  ///< The segment that contains it.
  RecordId record;          ///< The corrupt record.
};

/// Hold `mutex` while accessing any member. As an exception, the writer thread may call `index.floor()`
/// without the mutex, because only that thread raises the floor.
struct StoreState {
  mutable std::mutex mutex;    ///< Guards all members below.
  KeyIndex index;              ///< The index of all keys.
  StoreStatistics statistics;  ///< Without the current sizes, which are computed on demand.
  /// The latest time at which an entry was found to be expired, if no expiry sweep on disk covers it yet.
  std::optional<UnixTime> unrecordedExpiry;
  /// Corrupt records found by readers; the writer thread processes them in its next maintenance step.
  std::vector<CorruptRecord> corruptRecords;

  /// Records that an entry was found to be expired, so that it stays expired even if the clock steps back
  /// before the next commit. The caller holds the mutex.
  void noteExpired(UnixTime now) {
    unrecordedExpiry = unrecordedExpiry ? std::max(*unrecordedExpiry, now) : now;
  }
};

}  // namespace rainhook::store
