#include "store/snapshot_copy.h"

#include <utility>

#include "store/file_names.h"

namespace rainhook::store {
namespace {

StoreStatus copyFailure(const std::string& fileName, const DiskError& error) {
  return {StoreErrorCode::ioError, "snapshot: " + fileName + ": " + error.message()};
}

StoreStatus folderFailure(const DiskError& error) {
  return {StoreErrorCode::ioError, "snapshot: the destination folder: " + error.message()};
}

}  // namespace

SnapshotCopy::SnapshotCopy(Disk& source, std::unique_ptr<Disk> destination, std::vector<std::string> files,
                           std::string manifest, StatusCallback onEnded)
    : source_(source),
      destination_(std::move(destination)),
      remainingFiles_(std::move(files)),
      createdFiles_{incompleteMarkerFileName},
      manifest_(std::move(manifest)),
      onEnded_(std::move(onEnded)) {}

StoreStatus SnapshotCopy::prepare(Disk& destination) {
  std::vector<Disk::DirectoryEntry> files;
  if (const DiskError error = destination.list(files)) return folderFailure(error);
  if (!files.empty())
    return {StoreErrorCode::invalidArgument,
            "snapshot: the destination folder is not empty; it contains " + files.front().name};
  const auto marker = destination.create(incompleteMarkerFileName);
  if (marker.error) return copyFailure(incompleteMarkerFileName, marker.error);
  if (const DiskError error = destination.syncDirectory()) {
    destination.remove(incompleteMarkerFileName);
    return folderFailure(error);
  }
  return {};
}

std::optional<StoreStatus> SnapshotCopy::step(std::uint64_t budgetBytes) {
  if (!from_ && remainingFiles_.empty()) return complete();
  if (!from_) {
    if (auto status = openNextFile(); !status.isOk()) return status;
    if (!from_) return std::nullopt;
  }
  if (auto status = copyChunk(budgetBytes); !status.isOk()) return status;
  return std::nullopt;
}

/// Leaves `from_` null if the file is missing.
StoreStatus SnapshotCopy::openNextFile() {
  const std::string name = remainingFiles_.back();
  auto from = source_.open(name);
  if (from.error == std::errc::no_such_file_or_directory) {
    remainingFiles_.pop_back();  // a hint file is missing if it could not be created
    return {};
  }
  if (from.error) return copyFailure(name, from.error);
  auto to = destination_->create(name);
  if (to.error) return copyFailure(name, to.error);
  createdFiles_.push_back(name);
  from_ = std::move(from.file);
  to_ = std::move(to.file);
  offset_ = 0;
  return {};
}

StoreStatus SnapshotCopy::copyChunk(std::uint64_t budgetBytes) {
  const std::string& name = remainingFiles_.back();
  std::string bytes(static_cast<std::size_t>(budgetBytes), '\0');
  const IoResult read = readAll(*from_, offset_, bytes);
  if (read.error) return copyFailure(name, read.error);
  const auto chunk = std::string_view(bytes).substr(0, read.bytes);
  if (const DiskError error = writeAll(*to_, offset_, chunk)) return copyFailure(name, error);
  offset_ += read.bytes;
  if (read.bytes == budgetBytes) return {};
  if (const DiskError error = to_->sync()) return copyFailure(name, error);
  from_.reset();
  to_.reset();
  remainingFiles_.pop_back();
  return {};
}

StoreStatus SnapshotCopy::complete() {
  const auto opened = destination_->create(manifestFileName);
  createdFiles_.emplace_back(manifestFileName);
  if (opened.error) return copyFailure(manifestFileName, opened.error);
  if (const DiskError error = writeAll(*opened.file, 0, manifest_))
    return copyFailure(manifestFileName, error);
  if (const DiskError error = opened.file->sync()) return copyFailure(manifestFileName, error);
  if (const DiskError error = destination_->syncDirectory()) return folderFailure(error);
  if (const DiskError error = destination_->remove(incompleteMarkerFileName))
    return copyFailure(incompleteMarkerFileName, error);
  if (const DiskError error = destination_->syncDirectory()) return folderFailure(error);
  createdFiles_.clear();
  return {};
}

void SnapshotCopy::finish(StoreStatus status) {
  // The marker file is removed last; while it exists, the folder can't be opened as a store.
  while (!createdFiles_.empty()) {
    destination_->remove(createdFiles_.back());
    createdFiles_.pop_back();
  }
  if (onEnded_) onEnded_(std::move(status));
}

}  // namespace rainhook::store
