/// @file
/// The segments of a store and the manifest that lists them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store/compaction_policy.h"
#include "store/disk.h"
#include "store/expiry_sweeps.h"
#include "store/folder_usage.h"
#include "store/manifest.h"
#include "store/segment_writer.h"
#include "store/status.h"
#include "store/store_state.h"

namespace rainhook::store {

/// What a segment is being written for.
enum class SegmentRole { commits, compaction };

/// Whether what was written to a segment can be relied on: not after a failed sync or truncation.
enum class SegmentTrust { trusted, untrusted };

/// A segment that takes no more records.
struct SealedSegment {
  std::uint64_t bytes = 0;            ///< Of the file of records.
  std::uint64_t hintBytes = 0;        ///< Of the hint file.
  std::uint64_t committedBytes = 0;   ///< Behind it may stand records of a write that failed.
  SequenceNumber lastSequence{};      ///< The highest of its records.
  bool isUntrusted = false;           ///< A sync or a truncation of it failed.
  bool isDamaged = false;             ///< Some of its records can't be read.
  std::vector<RecordId> lostRecords;  ///< Its unreadable records that hide older ones.
};

/// Belongs to the writer's thread, but for `storeId`. The names of a new segment are durable before the
/// manifest lists it, and the manifest without an old one before its files are removed: a listed segment that
/// is missing has been lost, an unlisted one of a lower number is a leftover.
class SegmentCatalog {
 public:
  /// What recovery finds in the folder.
  struct Contents {
    StoreId storeId{};                              ///< Of the store in the folder.
    SegmentNumber nextSegment{1};                   ///< The number of the next new segment.
    SequenceNumber nextSequence{1};                 ///< Of the next record.
    ExpirySweeps sweeps;                            ///< Of the manifest and of later records.
    std::map<SegmentNumber, SealedSegment> sealed;  ///< All segments that were found.
    std::uint64_t manifestBytes = 0;                ///< Size of the manifest's file.
  };
  /// Which segments a manifest is to list.
  enum class ManifestScope { allSegments, sealedSegments };

  /// All references must outlive this.
  SegmentCatalog(Disk& disk, FolderUsage& usage, const StoreState& state)
      : disk_(disk), usage_(usage), state_(state) {}

  /// Takes over what recovery found; call once, before everything else.
  void restore(Contents contents) { contents_ = std::move(contents); }

  /// Of the open store.
  StoreId storeId() const { return contents_.storeId; }
  /// Of the next record.
  SequenceNumber nextSequence() const { return contents_.nextSequence; }
  /// Returns the next sequence number, which is used with that.
  SequenceNumber takeSequence();
  /// Remembers a sweep that is durable.
  void addSweep(ExpirySweep sweep) { contents_.sweeps.add(sweep); }

  /// The segment that is being written for this role; null where there is none.
  SegmentWriter* writer(SegmentRole role) { return writerSlot(role).get(); }
  /// The same for reading.
  const SegmentWriter* writer(SegmentRole role) const {
    return role == SegmentRole::commits ? commitWriter_.get() : compactionWriter_.get();
  }
  /// Begins a segment for this role, which must have none.
  StoreStatus openWriter(SegmentRole role);
  /// Creates the next segment ahead of its need.
  StoreStatus prepareSpare();
  /// Whether `openWriter` would not have to create files.
  bool hasDurableSpare() const { return spare_ && isSpareDurable_; }
  /// Ends the segment of this role, which must have one.
  void seal(SegmentRole role, SegmentTrust trust);

  /// By their numbers.
  const std::map<SegmentNumber, SealedSegment>& sealedSegments() const { return contents_.sealed; }
  /// Null where that segment is not sealed.
  SealedSegment* findSealed(SegmentNumber number);
  /// Whether any segment still has to be written anew.
  bool hasUntrustedSegment() const;
  /// Takes a sealed segment out of the manifest, then removes its files. On an error it stays.
  DiskError removeSealed(SegmentNumber number);

  /// What the manifest says at present.
  Manifest manifest(ManifestScope scope) const;
  /// Replaces the manifest on disk.
  DiskError writeManifest();

  /// What CompactionPolicy decides from.
  StoreOccupancy occupancy() const;

 private:
  std::unique_ptr<SegmentWriter>& writerSlot(SegmentRole role) {
    return role == SegmentRole::commits ? commitWriter_ : compactionWriter_;
  }
  std::vector<const SegmentWriter*> openWriters() const;

  Disk& disk_;
  FolderUsage& usage_;
  const StoreState& state_;
  Contents contents_;
  std::unique_ptr<SegmentWriter> commitWriter_;
  std::unique_ptr<SegmentWriter> compactionWriter_;
  std::unique_ptr<SegmentWriter> spare_;  // created ahead, or the manifest could not list it yet
  bool isSpareDurable_ = false;           // its names are on the disk
};

/// "NAME: ERROR", as statuses and the log have it.
std::string describeError(const std::string& fileName, const DiskError& error);

}  // namespace rainhook::store
