/// @file
/// Accounts for the memory of requests and retained results.
#pragma once

#include "decision/settings.h"

namespace rainhook {

/// Compares the reserved memory with the memory of the machine less a margin.
///
/// The class only counts: the caller reserves the memory that it uses and later releases the same amount.
class MemoryBudget {
 public:
  /// Starts with nothing reserved.
  explicit MemoryBudget(const MachineProfile& machine);

  /// Whether `additionalKb` more kilobytes fit.
  [[nodiscard]] bool fits(double additionalKb) const {
    return reservedKb_ + additionalKb <= capacityKb_ * usableShare;
  }
  /// Whether more memory is reserved than is usable.
  [[nodiscard]] bool isExceeded() const { return !fits(0); }

  /// Reserves `kb` kilobytes, whether or not they fit.
  void reserve(double kb) { reservedKb_ += kb; }
  /// Releases `kb` reserved kilobytes.
  void release(double kb) { reservedKb_ -= kb; }

  /// Memory of a request in execution, calculated from its memory while it is queued.
  [[nodiscard]] double executionKb(double queuedKb) const { return queuedKb * executionMemoryFactor_; }

  /// Memory of one retained result, that is, one entry of the deduplication cache.
  [[nodiscard]] double cachedEntryKb() const { return cachedEntryKb_; }

 private:
  /// The share of the memory that may be reserved; the rest is the margin.
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
