/// @file
/// Controls the wall clock and the disk of one process from the test. A test library is loaded into that
/// process before the C library (LD_PRELOAD) and reads the control from a mapped file. The program contains
/// no code for it.
#pragma once

#include <atomic>
#include <cstdint>

namespace rainhook::fleet {

/// Shared between the test and the process through a mapped file, which initially contains only zeros.
struct ClockAndDiskControl {
  /// Added to the wall clock that the process reads.
  std::atomic<std::int64_t> wallOffsetNs{0};
  /// The errno with which each write and sync of a file fails; 0 if none fails.
  std::atomic<std::int32_t> diskFault{0};
  /// Number of times the process read the wall clock with an offset.
  std::atomic<std::uint64_t> wallReads{0};
  /// Number of writes and syncs that failed with `diskFault`.
  std::atomic<std::uint64_t> diskFaults{0};
};

/// Name of the environment variable that contains the path of the mapped file.
inline constexpr const char* controlFileVariable = "RAINHOOK_TEST_CONTROL";

}  // namespace rainhook::fleet
