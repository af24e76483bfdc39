#include "store/compaction_policy.h"

#include <algorithm>

#include "store/record_format.h"

namespace rainhook::store {
namespace {

// Shares in percent of a segment's bytes that have to be dead before the rest is worth copying: half of it
// while there is room, and with none left anything that gives back more than the copy's headers. In between,
// write amplification stays near 1 / share.
constexpr std::uint64_t deadShareWithRoom = 50;
constexpr std::uint64_t deadShareUnderPressure = 25;
constexpr std::uint64_t deadShareWithoutRoom = 5;

// Used share of the usable bytes, in percent, from which the next lower threshold holds.
constexpr std::uint64_t pressureFrom = 70;
constexpr std::uint64_t withoutRoomFrom = 90;

// The share of the usable bytes that may live, in percent; beyond it a compaction would copy nearly all for
// nearly nothing.
constexpr std::uint64_t maxLiveShare = 80;

// Room for the manifest: two of them stand in the folder while one replaces the other.
constexpr std::uint64_t manifestBaseBytes = 4096;
constexpr std::uint64_t manifestBytesPerSegment = 128;

/// Why a segment is to be compacted; the greatest goes first.
enum class Urgency { none, dead, damaged, empty, untrusted };

std::uint64_t deadBytes(const SegmentInfo& segment) {
  return segment.bytes - std::min(segment.bytes, segment.liveBytes);
}

/// Compares the dead shares without a division.
bool hasLargerDeadShare(const SegmentInfo& left, const SegmentInfo& right) {
  return deadBytes(left) * right.bytes > deadBytes(right) * left.bytes;
}

Urgency urgencyOf(const SegmentInfo& segment, std::uint64_t requiredDeadShare) {
  if (!segment.isSealed) return Urgency::none;
  if (segment.isUntrusted) return Urgency::untrusted;
  if (segment.liveBytes == 0) return Urgency::empty;
  if (segment.isDamaged) return Urgency::damaged;
  return deadBytes(segment) * 100 >= requiredDeadShare * segment.bytes ? Urgency::dead : Urgency::none;
}

std::uint64_t requiredDeadShare(std::uint64_t usedPercent) {
  if (usedPercent >= withoutRoomFrom) return deadShareWithoutRoom;
  return usedPercent >= pressureFrom ? deadShareUnderPressure : deadShareWithRoom;
}

}  // namespace

std::uint64_t CompactionPolicy::manifestRoom() const {
  return manifestBaseBytes + manifestBytesPerSegment * (settings_.maxDiskBytes / settings_.maxSegmentBytes);
}

std::uint64_t CompactionPolicy::reservedBytes() const {
  return settings_.maxSegmentBytes + settings_.maxSegmentBytes / 4 + manifestRoom();
}

std::uint64_t CompactionPolicy::usableBytes() const { return settings_.maxDiskBytes - reservedBytes(); }

bool CompactionPolicy::canWrite(std::uint64_t folderBytes, std::uint64_t bytes) const {
  return folderBytes + bytes + reservedBytes() <= settings_.maxDiskBytes;
}

bool CompactionPolicy::canCopy(std::uint64_t folderBytes, std::uint64_t bytes) const {
  return folderBytes + bytes + manifestRoom() / 2 <= settings_.maxDiskBytes;
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
  const std::uint64_t deadShare = requiredDeadShare(usedPercent);
  const SegmentInfo* best = nullptr;
  Urgency bestUrgency = Urgency::none;
  for (const SegmentInfo& segment : occupancy.segments) {
    const Urgency urgency = urgencyOf(segment, deadShare);
    if (urgency == Urgency::none || urgency < bestUrgency) continue;
    // The older one stays where they are equal.
    if (urgency > bestUrgency || hasLargerDeadShare(segment, *best)) {
      best = &segment;
      bestUrgency = urgency;
    }
  }
  if (!best) return std::nullopt;
  return best->number;
}

bool CompactionPolicy::hasReclaimableBytes(const SegmentInfo& segment) const {
  // Two headers and the end of the hint stand in every segment.
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
  const std::uint64_t maxLiveBytes = usable / 100 * maxLiveShare;
  Excess out;
  if (liveBytes > maxLiveBytes) out.diskBytes = liveBytes - maxLiveBytes;
  if (occupancy.indexBytes > settings_.maxIndexBytes)
    out.indexBytes = occupancy.indexBytes - settings_.maxIndexBytes;
  return out;
}

}  // namespace rainhook::store
