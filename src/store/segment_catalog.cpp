#include "store/segment_catalog.h"

#include <algorithm>
#include <utility>

#include "store/file_names.h"

namespace rainhook::store {

std::string describeError(const std::string& fileName, const DiskError& error) {
  return fileName + ": " + error.message();
}

SequenceNumber SegmentCatalog::allocateSequence() {
  return std::exchange(contents_.nextSequence, successor(contents_.nextSequence));
}

StoreStatus SegmentCatalog::prepareSpare() {
  if (!spare_) {
    const SegmentNumber number = contents_.nextSegment;
    auto created = SegmentWriter::create(disk_, usage_, contents_.storeId, number);
    if (created.error)
      return {StoreErrorCode::ioError, describeError(segmentFileName(number), created.error)};
    contents_.nextSegment = successor(number);
    spare_ = std::move(created.segment);
    isSpareDurable_ = false;
  }
  if (isSpareDurable_) return {};
  if (const DiskError error = disk_.syncDirectory())
    return {StoreErrorCode::ioError, describeError("sync of the store's folder", error)};
  isSpareDurable_ = true;
  return {};
}

StoreStatus SegmentCatalog::openWriter(SegmentRole role) {
  if (auto status = prepareSpare(); !status.isOk()) return status;
  auto& slot = writerSlot(role);
  slot = std::move(spare_);
  const DiskError error = writeManifest();
  if (!error) return {};
  spare_ = std::move(slot);
  return {StoreErrorCode::ioError, describeError(manifestFileName, error)};
}

void SegmentCatalog::seal(SegmentRole role, SegmentTrust trust) {
  auto& slot = writerSlot(role);
  slot->seal();
  SealedSegment sealed;
  sealed.bytes = slot->bytes();
  sealed.hintBytes = slot->hintBytes();
  sealed.committedBytes = slot->committedBytes();
  sealed.lastSequence = slot->lastSequence();
  sealed.recordedFloor = slot->recordedFloor();
  sealed.isUntrusted = trust == SegmentTrust::untrusted;
  contents_.sealed[slot->number()] = std::move(sealed);
  slot.reset();
}

SealedSegment* SegmentCatalog::findSealed(SegmentNumber number) {
  const auto found = contents_.sealed.find(number);
  return found == contents_.sealed.end() ? nullptr : &found->second;
}

bool SegmentCatalog::hasUntrustedSegment() const {
  return std::any_of(contents_.sealed.begin(), contents_.sealed.end(),
                     [](const auto& entry) { return entry.second.isUntrusted; });
}

DiskError SegmentCatalog::removeSealed(SegmentNumber number) {
  auto removed = contents_.sealed.extract(number);
  if (const DiskError error = writeManifest()) {
    contents_.sealed.insert(std::move(removed));
    return error;
  }
  // No sync is needed: if a crash leaves the files, the manifest does not list them and recovery removes
  // them.
  if (!disk_.remove(segmentFileName(number))) usage_.subtract(removed.mapped().bytes);
  if (!disk_.remove(hintFileName(number))) usage_.subtract(removed.mapped().hintBytes);
  return {};
}

std::vector<const SegmentWriter*> SegmentCatalog::activeWriters() const {
  std::vector<const SegmentWriter*> out;
  for (const SegmentWriter* writer : {commitWriter_.get(), compactionWriter_.get()})
    if (writer) out.push_back(writer);
  return out;
}

SequenceNumber SegmentCatalog::recordedFloor(std::optional<SegmentNumber> excluded) const {
  SequenceNumber highest{};
  for (const SegmentWriter* writer : activeWriters()) highest = std::max(highest, writer->recordedFloor());
  for (const auto& [number, segment] : contents_.sealed)
    if (number != excluded && !segment.isUntrusted) highest = std::max(highest, segment.recordedFloor);
  return highest;
}

Manifest SegmentCatalog::manifest(ManifestScope scope) const {
  Manifest out;
  out.storeId = contents_.storeId;
  out.nextSegment = contents_.nextSegment;
  out.nextSequence = contents_.nextSequence;
  out.floor = state_.index.floor();
  out.sweeps = contents_.sweeps.all();
  // An untrusted segment is listed as not sealed, so that the next recovery treats it as untrusted, too.
  for (const auto& [number, segment] : contents_.sealed)
    out.segments.push_back({number, !segment.isUntrusted, segment.bytes, segment.lastSequence});
  if (scope == ManifestScope::sealedSegments) return out;
  for (const SegmentWriter* writer : activeWriters())
    out.segments.push_back({writer->number(), false, 0, {}});
  return out;
}

DiskError SegmentCatalog::writeManifest() {
  const std::string bytes = encodeManifest(manifest(ManifestScope::allSegments));
  auto opened = disk_.create(manifestTemporaryFileName);
  if (opened.error) return opened.error;
  usage_.add(bytes.size());
  DiskError error = writeAll(*opened.file, 0, bytes);
  if (!error) error = opened.file->sync();
  if (!error) error = disk_.rename(manifestTemporaryFileName, manifestFileName);
  if (error) {
    disk_.remove(manifestTemporaryFileName);
    usage_.subtract(bytes.size());
    return error;
  }
  usage_.subtract(std::exchange(contents_.manifestBytes, bytes.size()));
  return disk_.syncDirectory();
}

/// The open or the first sealed segment that states the highest floor; none if no segment states a floor.
std::optional<SegmentNumber> SegmentCatalog::segmentWithFloor() const {
  const SequenceNumber floor = recordedFloor();
  if (floor == SequenceNumber{}) return std::nullopt;
  for (const SegmentWriter* writer : activeWriters())
    if (writer->recordedFloor() == floor) return writer->number();
  for (const auto& [number, segment] : contents_.sealed)
    if (segment.recordedFloor == floor && !segment.isUntrusted) return number;
  return std::nullopt;
}

// A compaction copies the live entries of a segment and, if no other segment states it, the floor.
StoreOccupancy SegmentCatalog::occupancy() const {
  const auto floorSegment = segmentWithFloor();
  const auto liveBytesIn = [&](SegmentNumber number) {
    return state_.index.liveBytesIn(number) + (number == floorSegment ? floorRecordBytes : 0);
  };
  StoreOccupancy out;
  out.folderBytes = usage_.bytes();
  const std::lock_guard lock(state_.mutex);
  out.indexBytes = state_.index.memoryBytes();
  for (const auto& [number, segment] : contents_.sealed)
    out.segments.push_back({number, segment.bytes + segment.hintBytes, liveBytesIn(number), true,
                            segment.isUntrusted, segment.isDamaged});
  for (const SegmentWriter* writer : activeWriters())
    out.segments.push_back({writer->number(), writer->bytes() + writer->hintBytes(),
                            liveBytesIn(writer->number()), false, false, false});
  return out;
}

}  // namespace rainhook::store
