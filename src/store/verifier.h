/// @file
/// Reads every byte of a store and reports what can't be read or contradicts itself. Changes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"

namespace rainhook::store {

/// What verify found.
struct VerificationReport {
  /// A place and what is to be said of it.
  struct Finding {
    std::string file;          ///< Its name.
    std::uint64_t offset = 0;  ///< From the beginning of the file.
    std::uint64_t bytes = 0;   ///< Length of the place.
    std::string description;   ///< For people.
  };
  std::vector<Finding> damage;  ///< In the order of the files.
  std::vector<Finding> notes;   ///< Worth knowing; nothing is lost by it.
  std::uint64_t segments = 0;   ///< That were read.
  std::uint64_t records = 0;    ///< Intact ones.
  std::uint64_t bytes = 0;      ///< Of all files in the folder.
};

/// The caller holds the folder's lock, or a write under way would look like damage. An error only where the
/// folder can't be listed.
DiskError verify(Disk& disk, VerificationReport& report);

}  // namespace rainhook::store
