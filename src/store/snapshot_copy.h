/// @file
/// Copies a store to another folder in small steps while writes continue.
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

/// Copies sealed segments, none of which may be compacted until the copy has finished. The destination
/// contains a marker file until the copy is complete: an interrupted copy may contain older records without
/// the records that erased them, so it must never be opened as a store. Only the writer thread may use it.
class SnapshotCopy {
 public:
  /// Copies `files` from the last to the first and skips missing ones. `manifest` lists their segments.
  SnapshotCopy(Disk& source, std::unique_ptr<Disk> destination, std::vector<std::string> files,
               std::string manifest, StatusCallback onEnded);

  /// Creates the marker file in the destination, which must be empty.
  static StoreStatus prepare(Disk& destination);

  /// Copies at most `budgetBytes`. Returns the final status once the copy has ended.
  std::optional<StoreStatus> step(std::uint64_t budgetBytes);
  /// Removes the copied files unless the copy is complete, then calls the callback.
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
