/// @file
/// Recovery rebuilds a store's index from whatever a crash, a failure of the disk or a stranger left.
///
/// Hint files serve twice: an intact one saves reading its segment, and each entry tells of a record that may
/// not be readable any more, whose key then serves nothing rather than something older.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "store/compaction_policy.h"
#include "store/disk.h"
#include "store/folder_inventory.h"
#include "store/folder_usage.h"
#include "store/hint_file.h"
#include "store/requests.h"
#include "store/segment_catalog.h"
#include "store/store_state.h"

namespace rainhook::store {

/// Used once, before any other thread sees the state. The caller holds the folder's lock.
class Recovery {
 public:
  /// All references must outlive this.
  Recovery(Disk& disk, const CompactionPolicy& policy, FolderUsage& usage, StoreState& state,
           const LogCallback& log);

  /// Fills the index and the statistics. Errors: the folder can't be listed, holds an interrupted snapshot,
  /// or the process is short of descriptors or memory.
  StoreStatus run(StoreId newStoreId);
  /// The segments that were found; call once, after a successful run.
  SegmentCatalog::Contents takeContents() { return std::move(contents_); }

 private:
  /// A record that a hint tells of and the segment does not hold.
  struct LostRecord {
    SegmentNumber segment{};
    RecordId record;
    std::uint64_t bytes = 0;  // 0 where an earlier start has counted it
  };
  /// A part of a file that holds no intact record.
  struct CorruptStretch {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
  };
  /// What a segment that was read through could not give.
  struct Damage {
    std::uint64_t fileBytes = 0;
    std::vector<CorruptStretch> stretches;
    std::uint64_t lostRecords = 0;  // acknowledged, and no other copy is left
    std::uint64_t lostBytes = 0;
  };

  void takeManifest();
  void noteLostSegment(const Manifest::Segment& segment);
  StoreStatus recoverSegment(SegmentNumber number, const FolderInventory::SegmentFiles& files);
  HintFile readHints(SegmentNumber number);
  void recoverPresentSegment(SegmentNumber number, const std::shared_ptr<File>& file, const HintFile& hints);
  void recoverMissingSegment(SegmentNumber number, std::uint64_t bytes, const HintFile& hints);
  void scanSegment(SegmentNumber number, const std::shared_ptr<File>& file, const HintFile& hints);
  std::vector<HintEntry> readRecords(SegmentNumber number, const std::shared_ptr<File>& file);
  void addHintsWithoutRecord(SegmentNumber number, const HintFile& hints, std::vector<HintEntry>& entries);
  void rewriteHints(SegmentNumber number, const std::vector<HintEntry>& entries, std::uint64_t segmentBytes);
  void addEntry(SegmentNumber number, const HintEntry& entry);
  void addLostRecord(SegmentNumber number, const HintEntry& entry);
  void hideRecordsOlderThanLost();
  void reportDamage();
  void reportSegmentDamage(SegmentNumber number, const Damage& damage);
  void expireSweptEntries();
  void advanceSequencePast(SequenceNumber sequence);
  void log(const std::string& line) const;

  Disk& disk_;
  const CompactionPolicy& policy_;
  FolderUsage& usage_;
  StoreState& state_;
  const LogCallback& log_;
  FolderInventory inventory_;
  SegmentCatalog::Contents contents_;
  std::vector<LostRecord> lostRecords_;
  std::map<SegmentNumber, Damage> damage_;
  SequenceNumber highestSequence_{};
  bool hasLostSegment_ = false;
  SequenceNumber doubtfulBelow_{};  // a lost segment may have erased records below it
};

}  // namespace rainhook::store
