/// @file
/// What a start finds in a store's folder: which files belong to the store, and which do not.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "store/disk.h"
#include "store/folder_usage.h"
#include "store/manifest.h"
#include "store/requests.h"
#include "store/status.h"

namespace rainhook::store {

/// Files that are foreign, unknown, corrupt or of a newer version are renamed out of the way, never deleted.
/// Leftovers of an interrupted replacement or compaction are removed.
class FolderInventory {
 public:
  /// The files of one segment.
  struct SegmentFiles {
    bool hasSegment = false;         ///< There is a file of records.
    bool hasHint = false;            ///< There is a hint file.
    std::uint64_t segmentBytes = 0;  ///< Size of the file of records.
    std::uint64_t hintBytes = 0;     ///< Size of the hint file.
  };

  /// All references must outlive this.
  FolderInventory(Disk& disk, FolderUsage& usage, const LogCallback& log);

  /// Call once. `newStoreId` is the id of a store that is only now created. Errors: the folder can't be
  /// listed, or holds an interrupted snapshot.
  StoreStatus take(StoreId newStoreId);

  /// The id of the store in the folder, or the new one.
  StoreId storeId() const { return storeId_; }
  /// The segments that belong to the store.
  const std::map<SegmentNumber, SegmentFiles>& segments() const { return segments_; }
  /// Absent in a new store, or where it can't be read.
  const std::optional<Manifest>& manifest() const { return manifest_; }
  /// Size of the manifest's file.
  std::uint64_t manifestBytes() const { return manifestBytes_; }
  /// Files that stand aside now, also those of earlier starts.
  std::uint64_t quarantinedFiles() const { return quarantinedFiles_; }
  /// What the manifest says of a segment; null where it does not list it.
  const Manifest::Segment* listed(SegmentNumber number) const;

 private:
  StoreStatus listFolder();
  void addFile(const Disk::DirectoryEntry& file);
  void quarantine(const std::string& name, const char* reason);
  void readManifest();
  StoreId mostFrequentStoreId(StoreId newStoreId);
  void removeStrangersAndLeftovers();
  bool keepSegment(SegmentNumber number, const SegmentFiles& files);

  Disk& disk_;
  FolderUsage& usage_;
  const LogCallback& log_;
  std::set<std::string> names_;
  std::map<SegmentNumber, SegmentFiles> segments_;
  std::optional<Manifest> manifest_;
  StoreId storeId_{};
  std::uint64_t manifestBytes_ = 0;
  std::uint64_t quarantinedFiles_ = 0;
};

}  // namespace rainhook::store
