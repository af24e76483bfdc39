#include "store/compaction_policy.h"

#include <algorithm>

#include "store/record_format.h"

namespace rainhook::store {
namespace {

// The percentage of a segment's bytes that must be dead before the segment is compacted: half of them while
// there is room, and in a nearly full folder just enough to free more than the headers of the copy. If the
// share s of the compacted bytes is dead, the write amplification stays near 1 / s.
constexpr std::uint64_t normalDeadPercent = 50;
constexpr std::uint64_t lowSpaceDeadPercent = 25;
constexpr std::uint64_t nearlyFullDeadPercent = 5;

// The used percentage of the usable bytes from which each lower threshold applies.
constexpr std::uint64_t lowSpaceUsedPercent = 70;
constexpr std::uint64_t nearlyFullUsedPercent = 90;

// The percentage of the usable bytes that live entries may occupy. With more live entries, a compaction would
// copy nearly all bytes and free almost none.
constexpr std::uint64_t maxLivePercent = 80;

// The space reserved for the manifest: the folder contains two manifests while one replaces the other.
constexpr std::uint64_t manifestBaseBytes = 4096;
constexpr std::uint64_t manifestBytesPerSegment = 128;

/// The reason to compact a segment; the highest value is compacted first.
enum class Urgency { none, deadShare, damaged, empty, untrusted };

std::uint64_t deadBytes(const SegmentInfo& segment) {
  return segment.bytes - std::min(segment.bytes, segment.liveBytes);
}

/// Compares the shares of dead bytes without a division.
bool hasLargerDeadShare(const SegmentInfo& left, const SegmentInfo& right) {
  return deadBytes(left) * right.bytes > deadBytes(right) * left.bytes;
}

Urgency urgencyOf(const SegmentInfo& segment, std::uint64_t requiredDeadPercent) {
  if (!segment.isSealed) return Urgency::none;
  if (segment.isUntrusted) return Urgency::untrusted;
  if (segment.liveBytes == 0) return Urgency::empty;
  if (segment.isDamaged) return Urgency::damaged;
  return deadBytes(segment) * 100 >= requiredDeadPercent * segment.bytes ? Urgency::deadShare : Urgency::none;
}

std::uint64_t requiredDeadPercent(std::uint64_t usedPercent) {
  if (usedPercent >= nearlyFullUsedPercent) return nearlyFullDeadPercent;
  return usedPercent >= lowSpaceUsedPercent ? lowSpaceDeadPercent : normalDeadPercent;
}

}  // namespace

std::uint64_t CompactionPolicy::manifestReserveBytes() const {
  return manifestBaseBytes + manifestBytesPerSegment * (settings_.maxDiskBytes / settings_.maxSegmentBytes);
}

std::uint64_t CompactionPolicy::reservedBytes() const {
  return settings_.maxSegmentBytes + settings_.maxSegmentBytes / 4 + manifestReserveBytes();
}

std::uint64_t CompactionPolicy::usableBytes() const { return settings_.maxDiskBytes - reservedBytes(); }

bool CompactionPolicy::canWrite(std::uint64_t folderBytes, std::uint64_t bytes) const {
  return folderBytes + bytes + reservedBytes() <= settings_.maxDiskBytes;
}

bool CompactionPolicy::canCopy(std::uint64_t folderBytes, std::uint64_t bytes) const {
  return folderBytes + bytes + manifestReserveBytes() / 2 <= settings_.maxDiskBytes;
}

bool CompactionPolicy::isFull(std::uint64_t segmentBytes, std::uint64_t addedBytes) const {
  return segmentBytes + addedBytes > settings_.maxSegmentBytes;
}

bool CompactionPolicy::isNearlyFull(std::uint64_t segmentBytes) const {
  return segmentBytes >= settings_.maxSegmentBytes / 4 * 3;
}

std::uint64_t CompactionPolicy::stepBytes(bool hasWaitingWriters) const {
  return hasWaitingWriters ? settings_.maintenanceStepBytes / 4 : settings_.maintenanceStepBytes;
}

std::uint64_t CompactionPolicy::minAgeOutBytes() const { return settings_.maxSegmentBytes / 4; }

std::optional<SegmentNumber> CompactionPolicy::selectInput(const StoreOccupancy& occupancy) const {
  const std::uint64_t usedPercent = occupancy.folderBytes * 100 / std::max<std::uint64_t>(usableBytes(), 1);
  const std::uint64_t minDeadPercent = requiredDeadPercent(usedPercent);
  const SegmentInfo* best = nullptr;
  Urgency bestUrgency = Urgency::none;
  for (const SegmentInfo& segment : occupancy.segments) {
    const Urgency urgency = urgencyOf(segment, minDeadPercent);
    if (urgency == Urgency::none || urgency < bestUrgency) continue;
    // Among equal segments, the first one in the list, which has the lowest number, is selected.
    if (urgency > bestUrgency || hasLargerDeadShare(segment, *best)) {
      best = &segment;
      bestUrgency = urgency;
    }
  }
  if (!best) return std::nullopt;
  return best->number;
}

bool CompactionPolicy::hasReclaimableBytes(const SegmentInfo& segment) const {
  // Every segment contains two file headers and the end entry of its hint file, which are never live.
  return segment.isSealed && deadBytes(segment) > 2 * fileHeaderBytes + recordBytes(0, hintLocationBytes);
}

CompactionPolicy::Excess CompactionPolicy::excess(const StoreOccupancy& occupancy) const {
  std::uint64_t liveBytes = 0;
  std::uint64_t segmentBytes = 0;
  for (const SegmentInfo& segment : occupancy.segments) {
    liveBytes += segment.liveBytes;
    segmentBytes += segment.bytes;
  }
  const std::uint64_t otherBytes = occupancy.folderBytes - std::min(occupancy.folderBytes, segmentBytes);
  const std::uint64_t usable = usableBytes() - std::min(usableBytes(), otherBytes);
  const std::uint64_t maxLiveBytes = usable / 100 * maxLivePercent;
  Excess out;
  if (liveBytes > maxLiveBytes) out.diskBytes = liveBytes - maxLiveBytes;
  if (occupancy.indexBytes > settings_.maxIndexBytes)
    out.indexBytes = occupancy.indexBytes - settings_.maxIndexBytes;
  return out;
}

}  // namespace rainhook::store
