/// @file
/// Compaction: copies what is live in a segment into another one and removes it, a step at a time.
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

/// One segment on its way out of the store.
struct CompactionJob {
  /// What is done with the input next.
  enum class Stage { copying, removing, forgetting };
  /// A copy that was appended to the output and not written yet.
  struct PendingCopy {
    RecordId record;          ///< The record that was copied.
    RecordLocation location;  ///< Where the copy will stand.
  };

  SegmentNumber input{};                   ///< The segment on its way out.
  std::optional<RecordScanner> scanner;    ///< None where the file is gone and only its hint file is left.
  Stage stage = Stage::copying;            ///< Where the job stands.
  std::vector<RecordId> inputRecords;      ///< All of the segment.
  std::vector<PendingCopy> pendingCopies;  ///< Of the present output segment.
  std::size_t forgottenRecords = 0;        ///< How many of `inputRecords` have left the index.
};

/// Belongs to the writer's thread. One segment at a time goes through three stages: its live records are
/// copied, it leaves the manifest and the folder, the index forgets its records. Abandoning it before the
/// second loses nothing, since it still stands.
class Compactor {
 public:
  /// All references must outlive this.
  Compactor(Disk& disk, const CompactionPolicy& policy, SegmentCatalog& catalog, StoreState& state,
            FolderUsage& usage, SegmentFileCache& files, LogCallback log);

  /// Does one step, which reads `budgetBytes` at most. False where nothing is to be done or it failed.
  bool step(std::uint64_t budgetBytes);
  /// Whether the last step failed: for lack of room or an error of the disk.
  bool hasFailed() const { return hasFailed_; }

  /// Has every segment written anew that holds anything dead. `onEnded` is called once none is left, or with
  /// what stood in the way.
  void requestAll(StatusCallback onEnded);
  /// Drops what was requested and calls back.
  void endRequests(const StoreStatus& status);

  /// Brings a segment that has left the folder to its end, abandons any other.
  void suspend();
  /// Abandons the segment in work.
  void abandon() { job_.reset(); }
  /// Syncs the output and seals it, also where the sync fails.
  void sealOutput();

 private:
  using Stage = CompactionJob::Stage;

  std::optional<SegmentNumber> nextInput();
  bool startJob(SegmentNumber input);
  /// Ends the job with a failure; always false. The input and all that was copied stay.
  bool fail(const std::string& reason);

  bool copyStep(std::uint64_t budgetBytes);
  bool copyIfCurrent(const Record& record, const RecordLocation& location);
  bool copyLostRecords();
  bool writeToOutput(const Record& record);
  bool ensureOutput(std::uint64_t addedBytes);
  bool flushOutput();
  bool syncOutput();
  void publishCopies();
  bool removeInput();
  bool forgetStep();

  Disk& disk_;
  const CompactionPolicy& policy_;
  SegmentCatalog& catalog_;
  StoreState& state_;
  FolderUsage& usage_;
  SegmentFileCache& files_;
  LogCallback log_;
  std::optional<CompactionJob> job_;
  bool hasFailed_ = false;
  std::vector<SegmentNumber> requested_;  // each leaves when its turn comes
  std::vector<StatusCallback> onRequestsEnded_;
};

}  // namespace rainhook::store
