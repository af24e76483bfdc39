// What decides in the store: when a segment is full, what is compacted next, what ages out, how much a step
// may do. Pure: facts in, a choice out; no clock, no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "store/ids.h"
#include "store/store_settings.h"

namespace rainhook::store {

struct SegmentInfo {
  SegmentNumber number{};
  std::uint64_t bytes = 0;   // with its hint file
  std::uint64_t living = 0;  // what a compaction would have to copy
  bool sealed = false;
  bool isUntrusted = false;  // a sync of it failed: what it holds has to be written anew
  bool damaged = false;
};

struct StoreOccupancy {
  std::uint64_t bytes = 0;  // of all files, whoever they belong to
  std::uint64_t indexBytes = 0;
  std::vector<SegmentInfo> segments;
};

class CompactionPolicy {
 public:
  explicit CompactionPolicy(const StoreSettings& bounds) : bounds_(bounds) {}

  // Kept free of new writes, so that a compaction can always copy one whole segment and replace the manifest.
  std::uint64_t reserve() const {
    return bounds_.maxSegmentBytes + bounds_.maxSegmentBytes / 4 + manifestRoom();
  }
  bool canWrite(std::uint64_t folder, std::uint64_t cost) const {
    return folder + cost + reserve() <= bounds_.maxDiskBytes;
  }
  bool canCopy(std::uint64_t folder, std::uint64_t cost) const {
    return folder + cost + manifestRoom() / 2 <= bounds_.maxDiskBytes;
  }
  bool isFull(std::uint64_t segmentWeight, std::uint64_t cost) const {
    return segmentWeight + cost > bounds_.maxSegmentBytes;
  }
  // The segment to compact next: one that is distrusted, then one that holds nothing living, then a damaged
  // one, then the one with the most dead where that is worth it. How much is worth it falls as room gets
  // short.
  std::optional<SegmentNumber> next(const StoreOccupancy& facts) const;
  // How many bytes of the living (disk and index counted apart) are over what may live; the oldest are to age
  // out.
  struct Excess {
    std::uint64_t disk = 0, index = 0;
    bool any() const { return disk + index > 0; }
  };
  Excess excess(const StoreOccupancy& facts) const;
  // What a step of compaction may read: less while writers wait.
  std::uint64_t step(bool writersWait) const {
    return writersWait ? bounds_.maintenanceStepBytes / 4 : bounds_.maintenanceStepBytes;
  }
  // Time to make the next segment, before a commit has to wait for that.
  bool isNearlyFull(std::uint64_t segmentWeight) const {
    return segmentWeight >= bounds_.maxSegmentBytes / 4 * 3;
  }
  // Where a write finds no room and nothing is dead, so much of the oldest gives way at once.
  std::uint64_t minAgeOutBytes() const { return bounds_.maxSegmentBytes / 4; }
  // Anything to be gained by writing it anew, whatever the copy costs.
  bool hasReclaimableBytes(const SegmentInfo& segment) const;

 private:
  // Two manifests stand in the folder while one replaces the other.
  std::uint64_t manifestRoom() const { return 4096 + 128 * (bounds_.maxDiskBytes / bounds_.maxSegmentBytes); }
  std::uint64_t usable() const { return bounds_.maxDiskBytes - reserve(); }

  StoreSettings bounds_;
};

}  // namespace rainhook::store
