#include "store/segment_file_cache.h"

#include <algorithm>

#include "store/file_names.h"

namespace rainhook::store {

Disk::OpenResult SegmentFileCache::open(SegmentNumber number) {
  const std::lock_guard lock(mutex_);
  if (const auto found = files_.find(number); found != files_.end()) {
    found->second.lastUse = ++uses_;
    return {found->second.file, {}};
  }
  auto opened = disk_.open(segmentFileName(number));
  if (opened.error) return {nullptr, opened.error};
  if (files_.size() >= maxOpenFiles_) evictLeastRecentlyUsed();
  files_[number] = {opened.file, ++uses_};
  return opened;
}

void SegmentFileCache::evictLeastRecentlyUsed() {
  const auto usedBefore = [](const auto& left, const auto& right) {
    return left.second.lastUse < right.second.lastUse;
  };
  files_.erase(std::min_element(files_.begin(), files_.end(), usedBefore));
}

void SegmentFileCache::evict(SegmentNumber number) {
  const std::lock_guard lock(mutex_);
  files_.erase(number);
}

}  // namespace rainhook::store
