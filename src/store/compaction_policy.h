/// @file
/// The decisions of the store: when a segment is full, what is compacted next, what ages out, how much a
/// maintenance step may do. Pure: the store's occupancy in, a choice out; no clock, no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "store/ids.h"
#include "store/store_settings.h"

namespace rainhook::store {

/// What the policy knows of one segment.
struct SegmentInfo {
  SegmentNumber number{};       ///< Which segment.
  std::uint64_t bytes = 0;      ///< With its hint file.
  std::uint64_t liveBytes = 0;  ///< What a compaction would have to copy.
  bool isSealed = false;        ///< Takes no more records.
  bool isUntrusted = false;     ///< A sync of it failed: what it holds has to be written anew.
  bool isDamaged = false;       ///< Some of its records can't be read.
};

/// What the policy decides from.
struct StoreOccupancy {
  std::uint64_t folderBytes = 0;      ///< Of all files, whoever they belong to.
  std::uint64_t indexBytes = 0;       ///< Memory of the index.
  std::vector<SegmentInfo> segments;  ///< All segments, in no particular order.
};

/// The rules, for one set of limits.
class CompactionPolicy {
 public:
  /// Live bytes beyond what may live.
  struct Excess {
    std::uint64_t diskBytes = 0;   ///< Over the limit on disk.
    std::uint64_t indexBytes = 0;  ///< Over the limit on the index.
    /// Whether anything has to age out.
    bool isAny() const { return diskBytes + indexBytes > 0; }
  };

  /// For these limits.
  explicit CompactionPolicy(const StoreSettings& settings) : settings_(settings) {}

  /// Kept free of new writes, so that a compaction can always copy one whole segment and replace the
  /// manifest.
  std::uint64_t reservedBytes() const;
  /// Whether the folder has room for a new write.
  bool canWrite(std::uint64_t folderBytes, std::uint64_t bytes) const;
  /// Whether the folder has room for the output of a compaction, which may use the reserve.
  bool canCopy(std::uint64_t folderBytes, std::uint64_t bytes) const;

  /// Whether a segment of this size has no room for so much more.
  bool isFull(std::uint64_t segmentBytes, std::uint64_t addedBytes) const;
  /// Time to prepare the next segment, before a commit would have to wait for that.
  bool isNearlyFull(std::uint64_t segmentBytes) const;

  /// The segment to compact next: one that is untrusted, then one that holds nothing live, then a damaged
  /// one, then the one with the largest dead share where that is worth a copy. How much is worth it falls as
  /// room gets scarce.
  std::optional<SegmentNumber> selectInput(const StoreOccupancy& occupancy) const;
  /// Whether anything would be gained by writing this segment anew, whatever the copy costs.
  bool hasReclaimableBytes(const SegmentInfo& segment) const;

  /// How much of the live entries, the oldest first, has to age out.
  Excess excess(const StoreOccupancy& occupancy) const;
  /// How much of the oldest ages out at once where a write finds no room and nothing is dead.
  std::uint64_t minAgeOutBytes() const;

  /// What one step of a compaction may read: less while writers wait.
  std::uint64_t stepBytes(bool hasWaitingWriters) const;

 private:
  std::uint64_t manifestRoom() const;
  std::uint64_t usableBytes() const;

  StoreSettings settings_;
};

}  // namespace rainhook::store
