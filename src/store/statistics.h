/// @file
/// Counters of a store since it was opened, and its current size.
#pragma once

#include <cstdint>

namespace rainhook::store {

/// The counters start at 0 each time the store is opened.
struct StoreStatistics {
  // Current size.
  std::uint64_t entries = 0;           ///< Live keys.
  std::uint64_t tombstones = 0;        ///< Deleted and lost keys that the index remembers.
  std::uint64_t indexBytes = 0;        ///< Memory that the index uses.
  std::uint64_t folderBytes = 0;       ///< Size of all files in the folder.
  std::uint64_t peakFolderBytes = 0;   ///< The largest `folderBytes` since the store was opened.
  std::uint64_t liveBytes = 0;         ///< The part of the folder that a full compaction would copy.
  std::uint64_t quarantinedFiles = 0;  ///< Quarantined files in the folder.

  // Writes.
  std::uint64_t puts = 0;            ///< Committed puts.
  std::uint64_t erases = 0;          ///< Committed erasures.
  std::uint64_t commits = 0;         ///< Groups of writes with one sync.
  std::uint64_t rejectedWrites = 0;  ///< Writes rejected for lack of room.
  std::uint64_t failedWrites = 0;    ///< Writes that failed because of a disk error.
  std::uint64_t writtenBytes = 0;    ///< Upper bound on the size of committed records and hint entries.
  std::uint64_t failedSyncs = 0;     ///< Failed syncs of segments.

  // Maintenance.
  std::uint64_t expiredEntries = 0;  ///< Entries found to be expired.
  std::uint64_t agedOutEntries = 0;  ///< Entries removed for lack of room.
  std::uint64_t compactedBytes = 0;  ///< Bytes copied by compactions.
  std::uint64_t compactions = 0;     ///< Segments removed by compactions.

  // Damage found by recovery or by reads.
  std::uint64_t lostFiles = 0;         ///< Segments with neither a segment file nor a complete hint file.
  std::uint64_t lostRecords = 0;       ///< Acknowledged records that can't be read.
  std::uint64_t lostBytes = 0;         ///< Bytes of lost files and records and of unreadable ranges.
  std::uint64_t tornBytes = 0;         ///< Bytes of unacknowledged writes that a crash interrupted.
  std::uint64_t discardedEntries = 0;  ///< Entries older than a lost segment, which may have erased them.
  std::uint64_t hintsRebuilt = 0;      ///< Hint files that recovery rewrote.
};

}  // namespace rainhook::store
