/// @file
/// Controls one process from outside: its wall clock and the disk under it. A library of the tests stands
/// before the C library in that process (LD_PRELOAD) and reads this from a mapped file; the program itself
/// knows nothing of it.
#pragma once

#include <atomic>
#include <cstdint>

namespace rainhook::fleet {

/// Shared between the test and the process, in a mapped file that begins with zeros.
struct ClockAndDiskControl {
  std::atomic<std::int64_t> wallOffsetNs{0};
  std::atomic<std::int32_t> diskFault{0};    ///< errno of each write and sync of a file; 0: none
  std::atomic<std::uint64_t> wallReads{0};   ///< how often the process has read a clock with an offset
  std::atomic<std::uint64_t> diskFaults{0};  ///< how often the process has met a disk fault
};

/// The variable of the environment that names the mapped file.
inline constexpr const char* controlFileVariable = "RAINHOOK_TEST_CONTROL";

}  // namespace rainhook::fleet
