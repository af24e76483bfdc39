/// @file
/// Rebuilds a store's index from the files in the folder, which may be incomplete or damaged after a crash, a
/// disk failure or a change by another program.
///
/// Hint files have two uses. An intact hint file makes reading its segment unnecessary. Each entry also
/// identifies a record that may no longer be readable; its key then has no value rather than an older one.
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

/// Used once, before any other thread accesses the state. The caller holds the folder's lock.
class Recovery {
 public:
  /// All referenced objects must outlive this object.
  Recovery(Disk& disk, const CompactionPolicy& policy, FolderUsage& usage, StoreState& state,
           const LogCallback& log);

  /// Fills the index and the statistics. Errors: the folder can't be listed, it contains an interrupted
  /// snapshot, or the process has run out of descriptors or memory.
  StoreStatus run(StoreId newStoreId);
  /// Returns the segments that were found; call it once, after a successful run.
  SegmentCatalog::Contents takeContents() { return std::move(contents_); }

 private:
  /// A record that a hint entry describes but the segment does not contain.
  struct LostRecord {
    SegmentNumber segment{};
    RecordId record;
    std::uint64_t bytes = 0;  // 0 if an earlier recovery has already counted it
  };
  /// A range of a file without an intact record.
  struct CorruptRange {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
  };
  /// The damage found while a segment was scanned.
  struct Damage {
    std::uint64_t fileBytes = 0;
    std::vector<CorruptRange> corruptRanges;
    std::uint64_t lostRecords = 0;  // acknowledged records of which no other copy is left
    std::uint64_t lostBytes = 0;
  };

  void applyManifest();
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
  void applyRecordedFloor();
  void applyLostRecords();
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
  SequenceNumber discardBelow_{};  // a lost segment may have erased records with a lower sequence number
};

}  // namespace rainhook::store
