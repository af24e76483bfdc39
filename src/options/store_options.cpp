#include "options/store_options.h"

#include <cstdint>

namespace rainhook::options {
namespace {

constexpr std::uint64_t kib = std::uint64_t{1} << 10;
constexpr std::uint64_t mib = std::uint64_t{1} << 20;
constexpr std::uint64_t gib = std::uint64_t{1} << 30;

constexpr std::uint64_t maxKeyBytes = 64 * kib - 1;  // a key's length has 16 bits
constexpr std::uint64_t minOpenFiles = 2;
constexpr std::uint64_t maxOpenFiles = 4096;
constexpr std::uint64_t maxCommitWrites = 65536;

// How much smaller than the whole its parts must be.
constexpr std::uint64_t minSegmentsOnDisk = 8;
constexpr std::uint64_t minEntriesInSegment = 4;
constexpr std::uint64_t minEntriesInQueue = 2;

void checkProportions(const YamlSection& section, const store::StoreBounds& bounds) {
  if (bounds.segmentBytes > bounds.diskBytes / minSegmentsOnDisk)
    section.reject("segment_bytes", "is over an eighth of disk_bytes");
  const std::uint64_t entryBytes = bounds.longestKey + bounds.longestValue;
  if (entryBytes > bounds.segmentBytes / minEntriesInSegment)
    section.reject("longest_value", "is, with longest_key, over a quarter of segment_bytes");
  if (entryBytes > bounds.queueBytes / minEntriesInQueue)
    section.reject("longest_value", "is, with longest_key, over half of queue_bytes");
}

}  // namespace

StoreOptions readStoreOptions(YamlSection section) {
  StoreOptions options;
  store::StoreBounds& bounds = options.bounds;
  options.folder = section.text("folder");
  bounds.diskBytes = section.bytes("disk_bytes", bounds.diskBytes, 256 * kib, 1024 * gib);
  bounds.segmentBytes = section.bytes("segment_bytes", bounds.segmentBytes, 16 * kib, gib);
  bounds.indexBytes = section.bytes("index_bytes", bounds.indexBytes, 64 * kib, 64 * gib);
  bounds.queueBytes = section.bytes("queue_bytes", bounds.queueBytes, 4 * kib, gib);
  bounds.longestKey = section.bytes("longest_key", bounds.longestKey, 1, maxKeyBytes);
  bounds.longestValue = section.bytes("longest_value", bounds.longestValue, 1, 256 * mib);
  bounds.openFiles = section.count("open_files", bounds.openFiles, minOpenFiles, maxOpenFiles);
  bounds.stepBytes = section.bytes("step_bytes", bounds.stepBytes, 4 * kib, 16 * mib);
  bounds.compressFrom = section.bytes("compress_from", bounds.compressFrom, 64, 256 * mib);
  bounds.commitMost = section.count("commit_most", bounds.commitMost, 1, maxCommitWrites);
  section.rejectUnknownKeys();
  checkProportions(section, bounds);
  return options;
}

}  // namespace rainhook::options
