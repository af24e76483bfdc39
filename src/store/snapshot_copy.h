/// @file
/// A copy of a store in another folder, made a step at a time while writes go on.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/requests.h"
#include "store/status.h"

namespace rainhook::store {

/// Copies sealed segments, none of which may be compacted until the end. A marker stands in the destination
/// until all of it is there, so that an interrupted copy, which may hold older records without what erased
/// them, is never taken for a store. Belongs to the writer's thread.
class SnapshotCopy {
 public:
  /// `files` are copied from the last to the first; a missing one is skipped. `manifest` lists their
  /// segments.
  SnapshotCopy(Disk& source, std::unique_ptr<Disk> destination, std::vector<std::string> files,
               std::string manifest, StatusCallback onEnded);

  /// Puts the marker into the destination, which must be empty.
  static StoreStatus prepare(Disk& destination);

  /// Copies `budgetBytes` at most. Returns how it ended once it has.
  std::optional<StoreStatus> step(std::uint64_t budgetBytes);
  /// Removes what was copied unless it is whole, then calls back.
  void finish(StoreStatus status);

 private:
  StoreStatus openNextFile();
  StoreStatus copyChunk(std::uint64_t budgetBytes);
  StoreStatus complete();

  Disk& source_;
  std::unique_ptr<Disk> destination_;
  std::vector<std::string> remainingFiles_;
  std::vector<std::string> createdFiles_;  // the marker first
  std::string manifest_;
  StatusCallback onEnded_;
  std::shared_ptr<File> from_;  // null between two files
  std::shared_ptr<File> to_;
  std::uint64_t offset_ = 0;
};

}  // namespace rainhook::store
