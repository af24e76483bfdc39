/// @file
/// Determines which files in a store's folder belong to the store when the store is opened.
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

/// Quarantines files that are foreign, unknown, corrupt or of a newer version by renaming them; it never
/// deletes them. Removes files left over from an interrupted replacement or compaction.
class FolderInventory {
 public:
  /// The files of one segment.
  struct SegmentFiles {
    bool hasSegment = false;         ///< The segment file exists.
    bool hasHint = false;            ///< The hint file exists.
    std::uint64_t segmentBytes = 0;  ///< Size of the segment file.
    std::uint64_t hintBytes = 0;     ///< Size of the hint file.
  };

  /// All referenced objects must outlive this object.
  FolderInventory(Disk& disk, FolderUsage& usage, const LogCallback& log);

  /// Scans the folder; call it once. `newStoreId` becomes the store's id if the folder contains no store yet.
  /// Errors: the folder can't be listed, or it contains an interrupted snapshot.
  StoreStatus scan(StoreId newStoreId);

  /// The id of the store in the folder, or the id given to `scan`.
  StoreId storeId() const { return storeId_; }
  /// The segments that belong to the store.
  const std::map<SegmentNumber, SegmentFiles>& segments() const { return segments_; }
  /// The manifest; absent in a new store or if it can't be read.
  const std::optional<Manifest>& manifest() const { return manifest_; }
  /// Size of the manifest file.
  std::uint64_t manifestBytes() const { return manifestBytes_; }
  /// The number of quarantined files in the folder, including those quarantined when it was opened earlier.
  std::uint64_t quarantinedFiles() const { return quarantinedFiles_; }
  /// The manifest's entry for a segment; null if the manifest does not list the segment.
  const Manifest::Segment* listed(SegmentNumber number) const;

 private:
  StoreStatus listFolder();
  void addFile(const Disk::DirectoryEntry& file);
  void quarantine(const std::string& name, const char* reason);
  void readManifest();
  StoreId mostFrequentStoreId(StoreId newStoreId);
  void excludeForeignAndObsoleteSegments();
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
