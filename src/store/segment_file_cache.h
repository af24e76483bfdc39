/// @file
/// The segment files that are open for reading.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include "store/disk.h"
#include "store/ids.h"

namespace rainhook::store {

/// Keeps the most recently used files open, up to a limit. Thread-safe. An evicted file stays readable
/// through the pointers to it that still exist.
class SegmentFileCache {
 public:
  /// The disk must outlive this object.
  SegmentFileCache(Disk& disk, std::uint64_t maxOpenFiles) : disk_(disk), maxOpenFiles_(maxOpenFiles) {}

  /// Opens the segment file, or returns it if it is already open.
  Disk::OpenResult open(SegmentNumber number);
  /// Removes the file from the cache. Call this only after the file was removed from the disk; otherwise a
  /// reader could open it again.
  void evict(SegmentNumber number);

 private:
  struct OpenFile {
    std::shared_ptr<File> file;
    std::uint64_t lastUse = 0;
  };
  void evictLeastRecentlyUsed();

  Disk& disk_;
  const std::uint64_t maxOpenFiles_;
  std::mutex mutex_;  // guards the members below
  std::map<SegmentNumber, OpenFile> files_;
  std::uint64_t uses_ = 0;
};

}  // namespace rainhook::store
