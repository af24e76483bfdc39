#include "store/compaction_policy.h"

#include <algorithm>

#include "store/format.h"

namespace rainhook::store {
namespace {

// Shares in percent of a segment's bytes that have to be dead before it is worth copying the rest: with lots
// of room half, and with none left anything that gives back more than its copy's heads. Between, the write
// amplification stays near 1 / share.
constexpr std::uint64_t calmShare = 50, pressedShare = 25, shortShare = 5;
// Room in use, in percent of what may be used.
constexpr std::uint64_t pressedFrom = 70, shortFrom = 90;
// What may live, in percent of what may be used; beyond it, compaction would copy nearly all for nearly
// nothing.
constexpr std::uint64_t livingMost = 80;

std::uint64_t dead(const SegmentInfo& segment) {
  return segment.bytes - std::min(segment.bytes, segment.living);
}

}  // namespace

std::optional<SegmentNumber> CompactionPolicy::next(const StoreOccupancy& facts) const {
  const auto used = facts.bytes * 100 / std::max<std::uint64_t>(usable(), 1);
  const auto worth = used >= shortFrom ? shortShare : used >= pressedFrom ? pressedShare : calmShare;
  const auto rank = [&](const SegmentInfo& segment) {
    if (!segment.sealed) return 0;
    if (segment.isUntrusted) return 4;
    if (segment.living == 0) return 3;
    if (segment.damaged) return 2;
    return dead(segment) * 100 >= worth * segment.bytes ? 1 : 0;
  };
  const SegmentInfo* best = nullptr;
  int bestRank = 0;
  for (const SegmentInfo& segment : facts.segments) {
    const int own = rank(segment);
    if (own == 0 || own < bestRank) continue;
    // By share, compared without division; the older one where they are equal.
    const bool deader = !best || dead(segment) * best->bytes > dead(*best) * segment.bytes;
    if (own > bestRank || deader) best = &segment, bestRank = own;
  }
  if (!best) return std::nullopt;
  return best->number;
}

bool CompactionPolicy::hasReclaimableBytes(const SegmentInfo& segment) const {
  // Two heads and the end of the hint are no loss.
  return segment.sealed && dead(segment) > 2 * fileHeaderBytes + recordBytes(0, hintLocationBytes);
}

CompactionPolicy::Excess CompactionPolicy::excess(const StoreOccupancy& facts) const {
  std::uint64_t living = 0;
  for (const SegmentInfo& segment : facts.segments) living += segment.living;
  const auto others = facts.bytes - std::min(facts.bytes, [&] {
                        std::uint64_t all = 0;
                        for (const SegmentInfo& segment : facts.segments) all += segment.bytes;
                        return all;
                      }());
  const auto mayUse = usable() - std::min(usable(), others);
  const auto mayLive = mayUse / 100 * livingMost;
  Excess out;
  if (living > mayLive) out.disk = living - mayLive;
  if (facts.indexBytes > bounds_.maxIndexBytes) out.index = facts.indexBytes - bounds_.maxIndexBytes;
  return out;
}

}  // namespace rainhook::store
