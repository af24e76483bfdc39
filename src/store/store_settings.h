/// @file
/// The settings of a store: its limits and the sizes of its work units.
#pragma once

#include <cstdint>

namespace rainhook::store {

/// All sizes in bytes.
struct StoreSettings {
  std::uint64_t maxDiskBytes = 256 << 20;   ///< Limit for the whole folder at any time.
  std::uint64_t maxIndexBytes = 64 << 20;   ///< Limit for the index, as KeyIndex::memoryBytes counts it.
  std::uint64_t maxQueueBytes = 4 << 20;    ///< Limit for pending writes and reads.
  std::uint64_t maxSegmentBytes = 4 << 20;  ///< Limit for a segment together with its hint file.
  std::uint64_t maxKeyBytes = 1024;         ///< Limit for a key.
  std::uint64_t maxValueBytes = 256 << 10;  ///< Limit for a value before compression.
  std::uint64_t maxOpenFiles = 32;          ///< Limit for segments open for reading at the same time.
  std::uint64_t maintenanceStepBytes = 128 << 10;  ///< Limit for the reads of one maintenance step.
  std::uint64_t minCompressedValueBytes = 512;     ///< Shorter values are stored uncompressed.
  /// Limit for the writes in one group commit; with 1, each write has its own sync.
  std::uint64_t maxCommitWrites = 1024;

  /// Compares all members.
  bool operator==(const StoreSettings&) const = default;
};

}  // namespace rainhook::store
