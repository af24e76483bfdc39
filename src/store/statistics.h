/// @file
/// Counters of a store since it was opened, and its present size.
#pragma once

#include <cstdint>

namespace rainhook::store {

/// The counters begin at 0 with each opening.
struct StoreStatistics {
  // Present size.
  std::uint64_t entries = 0;           ///< Live keys.
  std::uint64_t tombstones = 0;        ///< Deleted keys of which older records still stand on disk.
  std::uint64_t indexBytes = 0;        ///< Memory of the index.
  std::uint64_t folderBytes = 0;       ///< Of all files in the folder.
  std::uint64_t peakFolderBytes = 0;   ///< Since the store was opened.
  std::uint64_t liveBytes = 0;         ///< Of the folder: what a compaction of everything would copy.
  std::uint64_t quarantinedFiles = 0;  ///< Files that do not belong to the store.

  // Writes.
  std::uint64_t puts = 0;            ///< That were committed.
  std::uint64_t erases = 0;          ///< That were committed.
  std::uint64_t commits = 0;         ///< Groups of writes with one sync.
  std::uint64_t rejectedWrites = 0;  ///< For lack of room.
  std::uint64_t failedWrites = 0;    ///< For a failure of the disk.
  std::uint64_t writtenBytes = 0;    ///< By commits: records with their hint entries.
  std::uint64_t failedSyncs = 0;     ///< Of segments.

  // Maintenance.
  std::uint64_t expiredEntries = 0;  ///< Seen as expired.
  std::uint64_t agedOutEntries = 0;  ///< Given up for lack of room.
  std::uint64_t compactedBytes = 0;  ///< Copied by compactions.
  std::uint64_t compactions = 0;     ///< Segments that a compaction has removed.

  // Found by recovery or by reads.
  std::uint64_t lostFiles = 0;         ///< Segments without any file.
  std::uint64_t lostRecords = 0;       ///< Acknowledged ones that can't be read.
  std::uint64_t lostBytes = 0;         ///< Of lost files and records, and of stretches that can't be read.
  std::uint64_t tornBytes = 0;         ///< Of writes that a crash interrupted and nobody was promised.
  std::uint64_t discardedEntries = 0;  ///< Older than a lost segment, which may have erased them.
  std::uint64_t hintsRebuilt = 0;      ///< Hint files that a start wrote anew.
};

}  // namespace rainhook::store
