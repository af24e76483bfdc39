// What an operator sets for a store: how much it may hold, and how it spends its time.
#pragma once

#include <cstdint>

namespace rainhook::store {

struct StoreSettings {
  std::uint64_t maxDiskBytes = 256 << 20;          // the whole folder, at every moment
  std::uint64_t maxIndexBytes = 64 << 20;          // memory of the index, as counted by Index::bytes
  std::uint64_t maxQueueBytes = 4 << 20;           // what waits to be written
  std::uint64_t maxSegmentBytes = 4 << 20;         // a segment with its hint file
  std::uint64_t maxKeyBytes = 1024;                // bytes
  std::uint64_t maxValueBytes = 256 << 10;         // bytes, before compression
  std::uint64_t maxOpenFiles = 32;                 // segments open to be read at once
  std::uint64_t maintenanceStepBytes = 128 << 10;  // what one step of compaction or of a snapshot reads
  std::uint64_t minCompressedValueBytes = 512;     // bytes; shorter values are kept as they are
  std::uint64_t maxCommitWrites = 1024;            // writes in one commit; 1 is one sync each

  bool operator==(const StoreSettings&) const = default;
};

}  // namespace rainhook::store
