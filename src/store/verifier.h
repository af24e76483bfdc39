/// @file
/// Reads every byte of a store and reports what can't be read or contradicts itself. Changes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"

namespace rainhook::store {

struct VerificationReport {
  struct Finding {
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    std::string description;
  };
  std::vector<Finding> damage;  ///< In the order of the files.
  std::vector<Finding> notes;   ///< Worth knowing; nothing is lost by it.
  std::uint64_t segments = 0;
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;
};

/// The caller holds the folder's lock, or a write under way would look like damage. An error only where the
/// folder can't be listed.
DiskError verify(Disk& disk, VerificationReport& report);

}  // namespace rainhook::store
