/// @file
/// The segments that are open for reading.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

#include "store/disk.h"
#include "store/ids.h"

namespace rainhook::store {

/// Keeps a bounded number of files open, the most recently used ones. Any thread may call. A file that is
/// evicted stays readable for whoever holds it.
class SegmentFileCache {
 public:
  /// The disk must outlive this.
  SegmentFileCache(Disk& disk, std::uint64_t maxOpenFiles) : disk_(disk), maxOpenFiles_(maxOpenFiles) {}

  /// Opens the segment's file, or returns the one that is open.
  Disk::OpenResult open(SegmentNumber number);
  /// Call after the file has lost its name, or a reader could open it once more.
  void evict(SegmentNumber number);

 private:
  struct OpenFile {
    std::shared_ptr<File> file;
    std::uint64_t lastUse = 0;
  };
  void evictLeastRecentlyUsed();

  Disk& disk_;
  const std::uint64_t maxOpenFiles_;
  std::mutex mutex_;  // over what follows
  std::map<SegmentNumber, OpenFile> files_;
  std::uint64_t uses_ = 0;
};

}  // namespace rainhook::store
