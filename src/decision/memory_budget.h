/// @file
/// Accounts for the memory of requests and retained results.
#pragma once

#include "decision/settings.h"

namespace rainhook {

/// Keeps what is reserved under the machine's memory, less a margin.
///
/// It only counts: the caller reserves what it takes and releases exactly that.
class MemoryBudget {
 public:
  /// Starts with nothing reserved.
  explicit MemoryBudget(const MachineProfile& machine);

  /// Whether so many more kilobytes fit.
  [[nodiscard]] bool fits(double moreKb) const { return reservedKb_ + moreKb <= capacityKb_ * usableShare; }
  /// Whether more is reserved than may be.
  [[nodiscard]] bool isExceeded() const { return !fits(0); }

  /// Reserves so many kilobytes, whether or not they fit.
  void reserve(double kb) { reservedKb_ += kb; }
  /// Releases so many reserved kilobytes.
  void release(double kb) { reservedKb_ -= kb; }

  /// Memory of a request in execution, from what it takes while it is queued.
  [[nodiscard]] double executionKb(double queuedKb) const { return queuedKb * executionMemoryFactor_; }

  /// Memory of one retained result.
  [[nodiscard]] double cachedEntryKb() const { return cachedEntryKb_; }

 private:
  static constexpr double usableShare = 0.94;

  const double capacityKb_;
  const double executionMemoryFactor_;
  const double cachedEntryKb_;
  double reservedKb_ = 0;
};

inline MemoryBudget::MemoryBudget(const MachineProfile& machine)
    : capacityKb_(machine.memoryKb),
      executionMemoryFactor_(machine.executionMemoryFactor),
      cachedEntryKb_(machine.cachedEntryKb) {}

}  // namespace rainhook
