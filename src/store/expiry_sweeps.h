/// @file
/// The expiry sweeps that a store remembers. Pure.
#pragma once

#include <utility>
#include <vector>

#include "store/key_index.h"
#include "store/manifest.h"

namespace rainhook::store {

/// A sweep is dropped once a later one covers it. Several remain only where the clock stepped back between
/// them; of more than `maxSweeps` such steps the oldest is forgotten.
class ExpirySweeps {
 public:
  static constexpr std::size_t maxSweeps = 64;  ///< How many are remembered.

  ExpirySweeps() = default;
  /// As a manifest lists them.
  explicit ExpirySweeps(std::vector<ExpirySweep> sweeps) : sweeps_(std::move(sweeps)) {}

  /// Adds one that is later than all others.
  void add(ExpirySweep sweep);
  /// Whether the entry was seen as expired by one of them.
  bool cover(const IndexEntry& entry) const;
  /// In the order of writing.
  const std::vector<ExpirySweep>& all() const { return sweeps_; }

 private:
  std::vector<ExpirySweep> sweeps_;  // in the order of writing, with falling times
};

}  // namespace rainhook::store
