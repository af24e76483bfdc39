/// @file
/// Compaction: copies the live records of a segment into another one and removes the segment, in small steps.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "store/compaction_policy.h"
#include "store/disk.h"
#include "store/folder_usage.h"
#include "store/record_scanner.h"
#include "store/requests.h"
#include "store/segment_catalog.h"
#include "store/segment_file_cache.h"
#include "store/store_state.h"

namespace rainhook::store {

/// The compaction of one segment.
struct CompactionJob {
  /// The work that remains for the input segment.
  enum class Stage { copyingRecords, removingFiles, updatingIndex };
  /// A copy that was appended to the output but not written yet.
  struct PendingCopy {
    RecordId record;          ///< The record that was copied.
    RecordLocation location;  ///< The location that the copy will have.
  };

  SegmentNumber input{};                 ///< The segment that is being compacted.
  std::optional<RecordScanner> scanner;  ///< Absent if the segment file is missing or was read to its end.
  Stage stage = Stage::copyingRecords;   ///< The current stage.
  std::vector<RecordId> inputRecords;    ///< All records of the input segment.
  bool reliesOnFloor = false;            ///< Without the floor, dropping a record could restore an older one.
  std::vector<PendingCopy> pendingCopies;  ///< Copies that are not written yet.
  std::size_t unindexedRecords = 0;        ///< The number of `inputRecords` already removed from the index.
};

/// Only the writer thread may call it. One segment at a time goes through three stages: the compactor copies
/// its live records, removes it from the manifest and the folder, and removes its records from the index.
/// Abandoning a compaction before the second stage loses nothing, since the input segment still exists.
class Compactor {
 public:
  /// All referenced objects must outlive this object.
  Compactor(Disk& disk, const CompactionPolicy& policy, SegmentCatalog& catalog, StoreState& state,
            FolderUsage& usage, SegmentFileCache& files, LogCallback log);

  /// Does one step, which reads at most `budgetBytes`. Returns false if there was nothing to do or the step
  /// failed.
  bool step(std::uint64_t budgetBytes);
  /// Whether the last step failed for lack of room or because of a disk error.
  bool hasFailed() const { return hasFailed_; }

  /// Requests that every segment with dead bytes be rewritten. Calls `onEnded` once none is left, or with the
  /// error that stopped the compaction.
  void requestAll(StatusCallback onEnded);
  /// Discards the pending requests and calls their callbacks with this status.
  void endRequests(const StoreStatus& status);

  /// Completes the compaction of a segment whose files are already removed; abandons any other compaction.
  void suspend();
  /// Abandons the current compaction.
  void abandon() { job_.reset(); }
  /// Syncs the output and seals it, even if the sync fails.
  void sealOutput();

 private:
  using Stage = CompactionJob::Stage;

  std::optional<SegmentNumber> nextInput();
  bool startJob(SegmentNumber input);
  /// Ends the job with a failure and returns false. Keeps the input and the committed copies.
  bool fail(const std::string& reason);

  bool copyStep(std::uint64_t budgetBytes);
  bool copyIfCurrent(const Record& record, const RecordLocation& location);
  bool copyLostRecords();
  bool recordFloor();
  bool writeToOutput(const Record& record);
  SegmentWriter* outputWithRoom(std::uint64_t addedBytes);
  bool ensureOutput(std::uint64_t addedBytes);
  bool flushOutput();
  bool syncOutput();
  void publishCopies();
  bool removeInput();
  bool updateIndexStep();

  Disk& disk_;
  const CompactionPolicy& policy_;
  SegmentCatalog& catalog_;
  StoreState& state_;
  FolderUsage& usage_;
  SegmentFileCache& files_;
  LogCallback log_;
  std::optional<CompactionJob> job_;
  bool hasFailed_ = false;
  std::vector<SegmentNumber> requested_;  // an element is dropped when the compaction of its segment starts
  std::vector<StatusCallback> onRequestsEnded_;
};

}  // namespace rainhook::store
