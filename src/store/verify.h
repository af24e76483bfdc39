// Reads every byte of a store and tells what of it can't be read or does not agree. Changes nothing. The
// caller holds the folder's lock, or a write under way would look like damage.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"

namespace rainhook::store {

struct VerificationReport {
  struct Row {
    std::string file;
    std::uint64_t offset = 0, bytes = 0;
    std::string what;
  };
  std::vector<Row> damage;  // in the order of the files
  std::vector<Row> notes;   // worth knowing, nothing is lost by it
  std::uint64_t segments = 0, records = 0, bytes = 0;
};

// A fault only where the folder can't be listed.
DiskError verify(Disk& disk, VerificationReport& into);

}  // namespace rainhook::store
