/// @file
/// The store without its thread: an append-only log in segments, an index of it in memory, recovery,
/// compaction and snapshots. Nothing here starts a thread or reads a clock.
///
/// Source of the design: Sheehy and Smith, "Bitcask: A Log-Structured Hash Table for Fast Key/Value Data"
/// (2010); what differs is in docs/store.md.
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

/// `get`, the scans, `statistics` and `id` may be called from any thread; everything else belongs to one
/// writer.
///
/// Invariants: what `commit` reported as successful is durable; a key's latest record is current, and where
/// that one can't be read nothing older is served; a segment leaves the folder only once all that is live in
/// it is durable elsewhere and the manifest no longer lists it; the folder never exceeds `maxDiskBytes`.
class LogStructuredStore {
 public:
  /// The disk must outlive the store.
  LogStructuredStore(Disk& disk, const StoreSettings& settings, LogCallback log);

  /// Locks the folder and recovers. `seed` becomes the id of a store that is only now created. Errors:
  /// locked, ioError, invalidArgument for an interrupted snapshot; never for damage.
  StoreStatus open(std::uint64_t seed);
  /// Writes with as few syncs as possible; returns a status for each write.
  std::vector<StoreStatus> commit(std::span<const WriteRequest> writes, UnixTime now);
  /// The value of a key, by one read of the disk at most.
  ReadResult get(std::string_view key, UnixTime now) const;
  /// A page of the live entries in the order of their keys.
  ScanPage scanByKey(std::string_view from, ScanStart start, std::size_t maxRows, UnixTime now) const;
  /// The oldest entries first, beginning after the cursor.
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows,
                     UnixTime now) const;
  /// Counters since `open`, and the present size.
  StoreStatistics statistics() const;
  /// Of the open store.
  StoreId id() const { return catalog_.storeId(); }

  /// Does one step of what is due besides commits: expiry, ageing out, compaction, a snapshot. False where
  /// nothing is due or can be done.
  bool runMaintenance(UnixTime now, bool hasWaitingWriters = false);
  /// Has `runMaintenance` write every segment anew that holds anything dead. `onEnded` is called once none is
  /// left, or with what stood in the way.
  void startCompaction(StatusCallback onEnded);
  /// Has `runMaintenance` copy the store into an empty folder; compaction rests meanwhile. `onEnded` is
  /// called only where this succeeds.
  StoreStatus startSnapshot(std::unique_ptr<Disk> destination, StatusCallback onEnded);

  /// Syncs, seals and unlocks; the next start is the quickest.
  void close();

 private:
  StoreStatus commitBatch(std::span<const WriteRequest> writes, UnixTime now);
  StoreStatus countRefused(std::size_t writes, StoreStatus status);
  StoreStatus ensureActiveSegment();
  bool makeRoom(std::uint64_t bytes, UnixTime now);
  bool expireEntries(UnixTime now);
  void takeOverCorruptRecords();
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
  mutable StoreState state_;  // guards itself; reads note what they find expired or corrupt
  SegmentCatalog catalog_;
  mutable SegmentFileCache files_;
  mutable RecordReader reader_;
  BatchWriter batchWriter_;
  Compactor compactor_;
  std::unique_ptr<SnapshotCopy> snapshot_;  // while one is under way
  bool isOpen_ = false;
};

}  // namespace rainhook::store
