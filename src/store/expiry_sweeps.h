/// @file
/// The expiry sweeps that a store remembers. No I/O, no clock.
#pragma once

#include <utility>
#include <vector>

#include "store/key_index.h"
#include "store/manifest.h"

namespace rainhook::store {

/// A sweep is dropped once a later one covers it. Several remain only if the clock stepped back between them;
/// if there are more than `maxSweeps`, the oldest one is dropped.
class ExpirySweeps {
 public:
  static constexpr std::size_t maxSweeps = 64;  ///< The maximum number of sweeps that are remembered.

  ExpirySweeps() = default;
  /// Takes the sweeps in the order in which a manifest lists them.
  explicit ExpirySweeps(std::vector<ExpirySweep> sweeps) : sweeps_(std::move(sweeps)) {}

  /// Adds a sweep that is later than all others.
  void add(ExpirySweep sweep);
  /// Whether one of the sweeps marks the entry as expired.
  bool cover(const IndexEntry& entry) const;
  /// All sweeps in the order of writing.
  const std::vector<ExpirySweep>& all() const { return sweeps_; }

 private:
  std::vector<ExpirySweep> sweeps_;  // in the order of writing, with decreasing `expiredBy`
};

}  // namespace rainhook::store
