/// @file
/// How many bytes all files in a store's folder take, kept up to date by whoever changes one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>

namespace rainhook::store {

/// Any thread may call.
class FolderUsage {
 public:
  /// A file has grown by this.
  void add(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    bytes_ += bytes;
    peakBytes_ = std::max(peakBytes_, bytes_);
  }
  /// A file has shrunk by this, or one of this size is gone.
  void subtract(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    bytes_ -= std::min(bytes_, bytes);
  }
  /// At present.
  std::uint64_t bytes() const {
    const std::lock_guard lock(mutex_);
    return bytes_;
  }
  /// The most since this was created.
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
