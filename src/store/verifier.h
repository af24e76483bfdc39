/// @file
/// Reads every byte of a store and reports unreadable and inconsistent data. Changes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"

namespace rainhook::store {

/// The result of `verify`.
struct VerificationReport {
  /// A range of a file and a description of the problem.
  struct Finding {
    std::string file;          ///< The file's name.
    std::uint64_t offset = 0;  ///< Offset from the beginning of the file.
    std::uint64_t bytes = 0;   ///< Length of the range.
    std::string description;   ///< Human-readable.
  };
  std::vector<Finding> damage;  ///< Damaged ranges in the order of the files.
  std::vector<Finding> notes;   ///< Findings without any data loss.
  std::uint64_t segments = 0;   ///< The number of segments that were read.
  std::uint64_t records = 0;    ///< The number of intact records.
  std::uint64_t bytes = 0;      ///< Size of all files in the folder.
};

/// Verifies the store in the folder. The caller must hold the folder's lock; otherwise a write in progress
/// would look like damage. Returns an error only if the folder can't be listed.
DiskError verify(Disk& disk, VerificationReport& report);

}  // namespace rainhook::store
