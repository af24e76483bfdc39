/// @file
/// What the writer of a store shares with readers on other threads.
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

/// A record as the index knows it, without its place.
struct RecordId {
  std::string key;            ///< Its key.
  SequenceNumber sequence{};  ///< Its place in the order of writing.
};

/// A record that a read has found to be corrupt.
struct CorruptRecord {
  SegmentNumber segment{};  ///< Where it stands.
  RecordId record;          ///< Which record.
};

/// Hold `mutex` for all of it. Only the writer raises the floor of the index, so it may read that without.
struct StoreState {
  mutable std::mutex mutex;    ///< Over all that follows.
  KeyIndex index;              ///< Of all keys.
  StoreStatistics statistics;  ///< Without the present size, which is computed on demand.
  /// The latest time by which something was seen as expired and no record on disk says so yet.
  std::optional<UnixTime> unrecordedExpiry;
  /// Found by readers; the writer takes them over with its next maintenance step.
  std::vector<CorruptRecord> corruptRecords;

  /// Remembers that something was seen as expired: a clock that steps back before the next commit must not
  /// revive it. The caller holds the mutex.
  void noteExpired(UnixTime now) {
    unrecordedExpiry = unrecordedExpiry ? std::max(*unrecordedExpiry, now) : now;
  }
};

}  // namespace rainhook::store
