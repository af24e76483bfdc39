/// @file
/// The store without its thread: an append-only log in segments, an in-memory index, recovery, compaction and
/// snapshots. Nothing here starts a thread or reads a clock.
///
/// Source of the design: Sheehy and Smith, "Bitcask: A Log-Structured Hash Table for Fast Key/Value Data"
/// (2010); docs/store.md describes the differences.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "store/batch_writer.h"
#include "store/compaction_policy.h"
#include "store/compactor.h"
#include "store/disk.h"
#include "store/folder_usage.h"
#include "store/key_index.h"
#include "store/record_reader.h"
#include "store/requests.h"
#include "store/segment_catalog.h"
#include "store/segment_file_cache.h"
#include "store/snapshot_copy.h"
#include "store/statistics.h"
#include "store/status.h"
#include "store/store_settings.h"
#include "store/store_state.h"

namespace rainhook::store {

/// Any thread may call `get`, the scans, `statistics` and `id`; only one writer thread may call the other
/// functions.
///
/// Invariants: a write that `commit` reported as successful is durable; a key's latest record is current, and
/// if it can't be read, no older record is served; a segment is removed from the folder only after all of its
/// live records are durable elsewhere and the manifest no longer lists it; the folder never exceeds
/// `maxDiskBytes`.
class LogStructuredStore {
 public:
  /// The disk must outlive the store.
  LogStructuredStore(Disk& disk, const StoreSettings& settings, LogCallback log);

  /// Locks the folder and recovers the store. `seed` becomes the store's id if the folder contains no store
  /// yet. Errors: locked, ioError, invalidArgument for an interrupted snapshot. Damaged files are not an
  /// error.
  StoreStatus open(std::uint64_t seed);
  /// Makes the writes durable with as few syncs as possible; returns a status for each write.
  std::vector<StoreStatus> commit(std::span<const WriteRequest> writes, UnixTime now);
  /// Returns the value of a key; usually reads the disk at most once.
  ReadResult get(std::string_view key, UnixTime now) const;
  /// Returns a page of the live entries in key order.
  ScanPage scanByKey(std::string_view from, ScanStart start, std::size_t maxRows, UnixTime now) const;
  /// Returns a page of the live entries, the oldest first, starting after the cursor.
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows,
                     UnixTime now) const;
  /// The counters since `open` and the current sizes.
  StoreStatistics statistics() const;
  /// The id of the open store.
  StoreId id() const { return catalog_.storeId(); }

  /// Does one step of the maintenance that is due: expiry, ageing out, compaction or a snapshot. Returns
  /// false if nothing is due or nothing can be done.
  bool runMaintenance(UnixTime now, bool hasWaitingWriters = false);
  /// Makes `runMaintenance` rewrite every segment with dead bytes. Calls `onEnded` once none is left, or with
  /// the error that stopped the compaction.
  void startCompaction(StatusCallback onEnded);
  /// Makes `runMaintenance` copy the store into an empty folder; compaction is suspended meanwhile. Calls
  /// `onEnded` only if the snapshot could be started (the returned status is a success).
  StoreStatus startSnapshot(std::unique_ptr<Disk> destination, StatusCallback onEnded);

  /// Syncs and seals the segments and unlocks the folder. Recovery is fastest after this.
  void close();

 private:
  StoreStatus commitBatch(std::span<const WriteRequest> writes, UnixTime now);
  StoreStatus countUnsuccessfulWrites(std::size_t writes, StoreStatus status);
  void recordFloor();
  StoreStatus ensureActiveSegment();
  bool makeRoom(std::uint64_t bytes, UnixTime now);
  bool expireEntries(UnixTime now);
  void processCorruptRecords();
  bool ageOut(std::uint64_t minBytes);
  bool prepareNextSegment();
  bool stepSnapshot(std::uint64_t budgetBytes);
  void endSnapshot(StoreStatus status);
  SegmentWriter* activeSegment() { return catalog_.writer(SegmentRole::commits); }
  void log(const std::string& line) const;

  Disk& disk_;
  const StoreSettings settings_;
  const CompactionPolicy policy_;
  const LogCallback log_;
  FolderUsage usage_;
  mutable StoreState state_;  // has its own mutex; `get` adds expired and corrupt entries to it
  SegmentCatalog catalog_;
  mutable SegmentFileCache files_;
  mutable RecordReader reader_;
  BatchWriter batchWriter_;
  Compactor compactor_;
  std::unique_ptr<SnapshotCopy> snapshot_;  // null unless a snapshot is in progress
  bool isOpen_ = false;
};

}  // namespace rainhook::store
