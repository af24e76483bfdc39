#include "options/store_options.h"

#include <fmt/format.h>

#include <cstdint>

namespace rainhook::options {
namespace {

constexpr std::uint64_t kib = std::uint64_t{1} << 10;
constexpr std::uint64_t mib = std::uint64_t{1} << 20;
constexpr std::uint64_t gib = std::uint64_t{1} << 30;

constexpr std::uint64_t maxKeyBytes = 64 * kib - 1;  // key lengths are stored in 16 bits
constexpr std::uint64_t minOpenFiles = 2;
constexpr std::uint64_t maxOpenFiles = 4096;
constexpr std::uint64_t maxCommitWrites = 65536;

// The disk must have room for at least this many segments, and a segment and the queue for at least this many
// of the largest entries.
constexpr std::uint64_t minSegmentsOnDisk = 8;
constexpr std::uint64_t minEntriesInSegment = 4;
constexpr std::uint64_t minEntriesInQueue = 2;

void checkProportions(const YamlSection& section, const store::StoreSettings& bounds) {
  if (bounds.maxSegmentBytes > bounds.maxDiskBytes / minSegmentsOnDisk)
    section.reject("segment_bytes", fmt::format("{} bytes are more than an eighth of disk_bytes ({} bytes)",
                                                bounds.maxSegmentBytes, bounds.maxDiskBytes));
  const std::uint64_t entryBytes = bounds.maxKeyBytes + bounds.maxValueBytes;
  if (entryBytes > bounds.maxSegmentBytes / minEntriesInSegment)
    section.reject("longest_value", fmt::format("longest_key and longest_value ({} bytes together) are more "
                                                "than a quarter of segment_bytes ({} bytes)",
                                                entryBytes, bounds.maxSegmentBytes));
  if (entryBytes > bounds.maxQueueBytes / minEntriesInQueue)
    section.reject(
        "longest_value",
        fmt::format(
            "longest_key and longest_value ({} bytes together) are more than half of queue_bytes ({} bytes)",
            entryBytes, bounds.maxQueueBytes));
}

}  // namespace

StoreOptions readStoreOptions(YamlSection section) {
  StoreOptions options;
  store::StoreSettings& bounds = options.bounds;
  options.folder = section.text("folder");
  bounds.maxDiskBytes = section.bytes("disk_bytes", bounds.maxDiskBytes, 256 * kib, 1024 * gib);
  bounds.maxSegmentBytes = section.bytes("segment_bytes", bounds.maxSegmentBytes, 16 * kib, gib);
  bounds.maxIndexBytes = section.bytes("index_bytes", bounds.maxIndexBytes, 64 * kib, 64 * gib);
  bounds.maxQueueBytes = section.bytes("queue_bytes", bounds.maxQueueBytes, 4 * kib, gib);
  bounds.maxKeyBytes = section.bytes("longest_key", bounds.maxKeyBytes, 1, maxKeyBytes);
  bounds.maxValueBytes = section.bytes("longest_value", bounds.maxValueBytes, 1, 256 * mib);
  bounds.maxOpenFiles = section.count("open_files", bounds.maxOpenFiles, minOpenFiles, maxOpenFiles);
  bounds.maintenanceStepBytes = section.bytes("step_bytes", bounds.maintenanceStepBytes, 4 * kib, 16 * mib);
  bounds.minCompressedValueBytes =
      section.bytes("compress_from", bounds.minCompressedValueBytes, 64, 256 * mib);
  bounds.maxCommitWrites = section.count("commit_most", bounds.maxCommitWrites, 1, maxCommitWrites);
  section.rejectUnknownKeys();
  checkProportions(section, bounds);
  return options;
}

}  // namespace rainhook::options
