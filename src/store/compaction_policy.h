/// @file
/// Decides when a segment is full, which segment is compacted next, which entries age out, and how much work
/// one maintenance step may do. Pure functions of the store's occupancy: no clock, no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "store/ids.h"
#include "store/store_settings.h"

namespace rainhook::store {

/// The properties of one segment that the policy uses.
struct SegmentInfo {
  SegmentNumber number{};       ///< Identifies the segment.
  std::uint64_t bytes = 0;      ///< Size including the hint file.
  std::uint64_t liveBytes = 0;  ///< Bytes that a compaction would copy; the other bytes are dead.
  bool isSealed = false;        ///< The segment accepts no more records.
  bool isUntrusted = false;     ///< A sync of the segment failed, so its live records must be rewritten.
  bool isDamaged = false;       ///< Some of its records can't be read.
};

/// The space that the store uses: the input of the policy.
struct StoreOccupancy {
  std::uint64_t folderBytes = 0;      ///< Size of all files in the folder, including foreign ones.
  std::uint64_t indexBytes = 0;       ///< Memory that the index uses.
  std::vector<SegmentInfo> segments;  ///< Sealed segments by ascending number, then the open ones.
};

/// Applies the rules for one set of limits.
class CompactionPolicy {
 public:
  /// The bytes of live entries by which the limits are exceeded.
  struct Excess {
    std::uint64_t diskBytes = 0;   ///< Bytes over the share of the disk limit that is for live entries.
    std::uint64_t indexBytes = 0;  ///< Bytes over the limit on the index.
    /// Whether any entry has to age out.
    bool isNonZero() const { return diskBytes + indexBytes > 0; }
  };

  /// Takes the limits from the settings.
  explicit CompactionPolicy(const StoreSettings& settings) : settings_(settings) {}

  /// Bytes that new writes may not use, so that a compaction can always copy one whole segment and replace
  /// the manifest.
  std::uint64_t reservedBytes() const;
  /// Whether the folder has room for a new write.
  bool canWrite(std::uint64_t folderBytes, std::uint64_t bytes) const;
  /// Whether the folder has room for the output of a compaction, which may use the reserve.
  bool canCopy(std::uint64_t folderBytes, std::uint64_t bytes) const;

  /// Whether a segment of `segmentBytes` has no room for `addedBytes` more.
  bool isFull(std::uint64_t segmentBytes, std::uint64_t addedBytes) const;
  /// Whether the next segment should be prepared now, so that no commit has to wait for its creation.
  bool isNearlyFull(std::uint64_t segmentBytes) const;

  /// Returns the segment to compact next: an untrusted one, then one without live records, then a damaged
  /// one, then the one with the largest share of dead bytes, if that share reaches a threshold. The threshold
  /// falls as free space decreases.
  std::optional<SegmentNumber> selectInput(const StoreOccupancy& occupancy) const;
  /// Whether rewriting this segment would free any space, regardless of the cost of the copy.
  bool hasReclaimableBytes(const SegmentInfo& segment) const;

  /// Returns how many bytes of live entries have to age out, the oldest entries first.
  Excess excess(const StoreOccupancy& occupancy) const;
  /// The minimum number of bytes of the oldest entries that age out at once when a write finds no room and
  /// there are no dead bytes to reclaim.
  std::uint64_t minAgeOutBytes() const;

  /// The number of bytes that one compaction step may read; it is smaller while writers wait.
  std::uint64_t stepBytes(bool hasWaitingWriters) const;

 private:
  std::uint64_t manifestReserveBytes() const;
  std::uint64_t usableBytes() const;

  StoreSettings settings_;
};

}  // namespace rainhook::store
