/// @file
/// What an operator sets for a store: its limits, and how it divides its work.
#pragma once

#include <cstdint>

namespace rainhook::store {

/// All sizes in bytes.
struct StoreSettings {
  std::uint64_t maxDiskBytes = 256 << 20;   ///< The whole folder, at every moment.
  std::uint64_t maxIndexBytes = 64 << 20;   ///< Memory of the index, as KeyIndex::memoryBytes counts it.
  std::uint64_t maxQueueBytes = 4 << 20;    ///< Writes and reads that are pending.
  std::uint64_t maxSegmentBytes = 4 << 20;  ///< A segment together with its hint file.
  std::uint64_t maxKeyBytes = 1024;         ///< The longest key.
  std::uint64_t maxValueBytes = 256 << 10;  ///< The longest value, before compression.
  std::uint64_t maxOpenFiles = 32;          ///< Segments open for reading at once.
  std::uint64_t maintenanceStepBytes = 128 << 10;  ///< Read by one step of a compaction or a snapshot.
  std::uint64_t minCompressedValueBytes = 512;     ///< Shorter values are stored uncompressed.
  std::uint64_t maxCommitWrites = 1024;            ///< Writes in one group commit; 1 syncs each on its own.

  /// Compares all members.
  bool operator==(const StoreSettings&) const = default;
};

}  // namespace rainhook::store
