/// @file
/// Counts the bytes of all files in a store's folder. Each component that changes a file updates the count.
#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace rainhook::store {

/// Thread-safe.
class FolderUsage {
 public:
  /// Records that a file has grown by `bytes`.
  void add(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    bytes_ += bytes;
    peakBytes_ = std::max(peakBytes_, bytes_);
  }
  /// Records that a file has shrunk by `bytes`, or that a file of this size was removed.
  void subtract(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    bytes_ -= std::min(bytes_, bytes);
  }
  /// The current number of bytes.
  std::uint64_t bytes() const {
    const std::lock_guard lock(mutex_);
    return bytes_;
  }
  /// The highest number of bytes since this object was created.
  std::uint64_t peakBytes() const {
    const std::lock_guard lock(mutex_);
    return peakBytes_;
  }

 private:
  mutable std::mutex mutex_;
  std::uint64_t bytes_ = 0;
  std::uint64_t peakBytes_ = 0;
};

}  // namespace rainhook::store
