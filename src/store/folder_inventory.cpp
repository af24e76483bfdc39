#include "store/folder_inventory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "store/file_names.h"

namespace rainhook::store {
namespace {

HeaderReadResult readHeader(Disk& disk, const std::string& name) {
  const auto opened = disk.open(name);
  if (opened.error) return {{}, HeaderError::truncated};
  std::string bytes(fileHeaderBytes, '\0');
  const IoResult read = readAll(*opened.file, 0, bytes);
  return decodeHeader(std::string_view(bytes).substr(0, read.bytes));
}

}  // namespace

FolderInventory::FolderInventory(Disk& disk, FolderUsage& usage, const LogCallback& log)
    : disk_(disk), usage_(usage), log_(log) {}

StoreStatus FolderInventory::scan(StoreId newStoreId) {
  if (auto status = listFolder(); !status.isOk()) return status;
  readManifest();
  storeId_ = manifest_ ? manifest_->storeId : mostFrequentStoreId(newStoreId);
  excludeForeignAndObsoleteSegments();
  return {};
}

StoreStatus FolderInventory::listFolder() {
  std::vector<Disk::DirectoryEntry> files;
  if (const DiskError error = disk_.list(files))
    return {StoreErrorCode::ioError, "the store's folder can't be listed: " + error.message()};
  const bool isInterruptedSnapshot = std::any_of(
      files.begin(), files.end(), [](const auto& file) { return file.name == incompleteMarkerFileName; });
  if (isInterruptedSnapshot)
    return {
        StoreErrorCode::invalidArgument,
        "the folder contains an interrupted snapshot (file INCOMPLETE); delete it and create a new snapshot"};
  for (const auto& file : files) {
    names_.insert(file.name);
    if (!file.isNotRegularFile) addFile(file);
  }
  return {};
}

void FolderInventory::addFile(const Disk::DirectoryEntry& file) {
  const auto parsed = parseFileName(file.name);
  const bool isTemporary = file.name == manifestTemporaryFileName || (parsed && parsed->isTemporary);
  // A temporary file is left over from an interrupted replacement, so its contents are not needed.
  if (isTemporary && !disk_.remove(file.name)) return;
  usage_.add(file.bytes);
  if (isTemporary) return;
  if (parsed) {
    SegmentFiles& files = segments_[parsed->number];
    const bool isSegment = parsed->kind == FileKind::segment;
    (isSegment ? files.hasSegment : files.hasHint) = true;
    (isSegment ? files.segmentBytes : files.hintBytes) = file.bytes;
  } else if (file.name == manifestFileName) {
    manifestBytes_ = file.bytes;
  } else if (file.name.starts_with(quarantinePrefix)) {
    ++quarantinedFiles_;
  } else if (file.name != lockFileName) {
    quarantine(file.name, "unknown");
  }
}

void FolderInventory::quarantine(const std::string& name, const char* reason) {
  auto newName = fmt::format("{}{}-{}", quarantinePrefix, reason, name);
  for (int i = 2; names_.contains(newName); ++i)
    newName = fmt::format("{}{}-{}.{}", quarantinePrefix, reason, name, i);
  if (const DiskError error = disk_.rename(name, newName)) {
    if (log_) log_(fmt::format("could not quarantine file {} ({}): {}", name, reason, error.message()));
    return;
  }
  names_.insert(newName);
  ++quarantinedFiles_;
  if (log_) log_(fmt::format("quarantined file {} ({}) as {}", name, reason, newName));
}

void FolderInventory::readManifest() {
  if (!names_.contains(manifestFileName)) return;
  const auto opened = disk_.open(manifestFileName);
  ManifestReadResult read{std::nullopt, HeaderError::corrupt};
  if (opened.file) {
    std::string bytes(static_cast<std::size_t>(opened.file->size()), '\0');
    const IoResult result = readAll(*opened.file, 0, bytes);
    read = decodeManifest(std::string_view(bytes).substr(0, result.bytes));
  }
  if (read.manifest) {
    manifest_ = std::move(read.manifest);
    return;
  }
  quarantine(manifestFileName, read.error == HeaderError::newerVersion ? "newer" : "damaged");
  manifestBytes_ = 0;
  if (log_) log_("the manifest can't be read; using every segment in the folder");
}

/// Returns the store id that most files have; among equally frequent ids, the lowest one.
StoreId FolderInventory::mostFrequentStoreId(StoreId newStoreId) {
  std::map<StoreId, int> counts;
  for (const auto& [number, files] : segments_)
    for (const auto& name : {segmentFileName(number), hintFileName(number)})
      if (const auto read = readHeader(disk_, name); read.error == HeaderError::none)
        ++counts[read.header.storeId];
  const auto isRarer = [](const auto& left, const auto& right) { return left.second < right.second; };
  const auto most = std::max_element(counts.begin(), counts.end(), isRarer);
  return most == counts.end() ? newStoreId : most->first;
}

const Manifest::Segment* FolderInventory::listed(SegmentNumber number) const {
  if (!manifest_) return nullptr;
  const auto& all = manifest_->segments;
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const auto& segment) { return segment.number == number; });
  return found == all.end() ? nullptr : &*found;
}

void FolderInventory::excludeForeignAndObsoleteSegments() {
  for (auto segment = segments_.begin(); segment != segments_.end();) {
    if (keepSegment(segment->first, segment->second))
      ++segment;
    else
      segment = segments_.erase(segment);
  }
}

/// Returns whether a segment currently belongs to this store; otherwise quarantines or removes its files.
bool FolderInventory::keepSegment(SegmentNumber number, const SegmentFiles& files) {
  const auto header = readHeader(disk_, files.hasSegment ? segmentFileName(number) : hintFileName(number));
  const bool isHeaderIntact = header.error == HeaderError::none || header.error == HeaderError::newerVersion;
  const char* quarantineReason = nullptr;
  if (isHeaderIntact && header.header.storeId != storeId_)
    quarantineReason = "foreign";
  else if (header.error == HeaderError::newerVersion)
    quarantineReason = "newer";
  if (quarantineReason) {
    if (files.hasSegment) quarantine(segmentFileName(number), quarantineReason);
    if (files.hasHint) quarantine(hintFileName(number), quarantineReason);
    return false;
  }
  // A compaction removed an obsolete segment from the manifest, but a crash prevented the removal of its
  // files.
  const bool isObsolete = manifest_ && number < manifest_->nextSegment && !listed(number);
  if (!isObsolete) return true;
  if (files.hasSegment && !disk_.remove(segmentFileName(number))) usage_.subtract(files.segmentBytes);
  if (files.hasHint && !disk_.remove(hintFileName(number))) usage_.subtract(files.hintBytes);
  return false;
}

}  // namespace rainhook::store
