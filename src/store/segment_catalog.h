/// @file
/// The segments of a store and the manifest that lists them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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

/// The purpose of a segment that is being written.
enum class SegmentRole { commits, compaction };

/// Whether the contents of a segment are reliable. They are not after a failed sync or truncation.
enum class SegmentTrust { trusted, untrusted };

/// A segment that accepts no more records.
struct SealedSegment {
  std::uint64_t bytes = 0;            ///< Size of the segment file.
  std::uint64_t hintBytes = 0;        ///< Size of the hint file.
  std::uint64_t committedBytes = 0;   ///< Records after this offset may belong to a failed write.
  SequenceNumber lastSequence{};      ///< The highest sequence number of its records.
  SequenceNumber recordedFloor{};     ///< The highest floor that one of its records states.
  bool isUntrusted = false;           ///< A sync or a truncation of it failed.
  bool isDamaged = false;             ///< Some of its records can't be read.
  std::vector<RecordId> lostRecords;  ///< Its unreadable records that hide older records.
};

/// Only the writer thread may use it, except for `storeId`. The file names of a new segment are durable
/// before the manifest lists it, and a manifest without an old segment is durable before that segment's files
/// are removed. Therefore a listed segment that is missing has been lost, and an unlisted one with a number
/// below `nextSegment` is left over from an interrupted removal.
class SegmentCatalog {
 public:
  /// The state that recovery finds in the folder.
  struct Contents {
    StoreId storeId{};                              ///< The id of the store in the folder.
    SegmentNumber nextSegment{1};                   ///< The number of the next new segment.
    SequenceNumber nextSequence{1};                 ///< The sequence number of the next record.
    ExpirySweeps sweeps;                            ///< The sweeps in the manifest and in later records.
    std::map<SegmentNumber, SealedSegment> sealed;  ///< All segments that were found.
    std::uint64_t manifestBytes = 0;                ///< Size of the manifest file.
  };
  /// Which segments a manifest lists.
  enum class ManifestScope { allSegments, sealedSegments };

  /// All referenced objects must outlive this object.
  SegmentCatalog(Disk& disk, FolderUsage& usage, const StoreState& state)
      : disk_(disk), usage_(usage), state_(state) {}

  /// Sets the state that recovery found; call it once, before all other functions.
  void restore(Contents contents) { contents_ = std::move(contents); }

  /// The id of the open store.
  StoreId storeId() const { return contents_.storeId; }
  /// The sequence number of the next record.
  SequenceNumber nextSequence() const { return contents_.nextSequence; }
  /// Allocates and returns the next sequence number.
  SequenceNumber allocateSequence();
  /// Adds a sweep that is durable.
  void addSweep(ExpirySweep sweep) { contents_.sweeps.add(sweep); }
  /// The highest floor that a trusted segment other than `excluded` states. Recovery finds it without the
  /// manifest.
  SequenceNumber recordedFloor(std::optional<SegmentNumber> excluded = std::nullopt) const;

  /// The segment that is being written for this role; null if there is none.
  SegmentWriter* writer(SegmentRole role) { return writerSlot(role).get(); }
  /// The const overload.
  const SegmentWriter* writer(SegmentRole role) const {
    return role == SegmentRole::commits ? commitWriter_.get() : compactionWriter_.get();
  }
  /// Starts a segment for this role. The role must not have a segment yet.
  StoreStatus openWriter(SegmentRole role);
  /// Creates the next segment before it is needed.
  StoreStatus prepareSpare();
  /// Whether `openWriter` can start a segment without creating its files.
  bool hasDurableSpare() const { return spare_ && isSpareDurable_; }
  /// Seals the segment of this role. The role must have a segment.
  void seal(SegmentRole role, SegmentTrust trust);

  /// The sealed segments by number.
  const std::map<SegmentNumber, SealedSegment>& sealedSegments() const { return contents_.sealed; }
  /// Returns null if the segment is not sealed.
  SealedSegment* findSealed(SegmentNumber number);
  /// Whether there is an untrusted segment, whose live records still have to be rewritten.
  bool hasUntrustedSegment() const;
  /// Removes a sealed segment from the manifest, then removes its files. On an error the segment stays.
  DiskError removeSealed(SegmentNumber number);

  /// The current contents of the manifest.
  Manifest manifest(ManifestScope scope) const;
  /// Replaces the manifest on disk.
  DiskError writeManifest();

  /// The input of CompactionPolicy.
  StoreOccupancy occupancy() const;

 private:
  std::unique_ptr<SegmentWriter>& writerSlot(SegmentRole role) {
    return role == SegmentRole::commits ? commitWriter_ : compactionWriter_;
  }
  std::vector<const SegmentWriter*> activeWriters() const;
  std::optional<SegmentNumber> segmentWithFloor() const;

  Disk& disk_;
  FolderUsage& usage_;
  const StoreState& state_;
  Contents contents_;
  std::unique_ptr<SegmentWriter> commitWriter_;
  std::unique_ptr<SegmentWriter> compactionWriter_;
  std::unique_ptr<SegmentWriter> spare_;  // created in advance, or left after a failed write of the manifest
  bool isSpareDurable_ = false;           // its directory entries are durable
};

/// Formats "NAME: ERROR" for statuses and the log.
std::string describeError(const std::string& fileName, const DiskError& error);

}  // namespace rainhook::store
