#include "store/recovery.h"

#include <fmt/format.h>

#include <algorithm>

#include "store/file_names.h"
#include "store/record_scanner.h"

namespace rainhook::store {
namespace {

constexpr SequenceNumber maxSequence{~std::uint64_t{0}};

/// Whether the error is caused by the process or the system rather than the files: recovery succeeds once
/// descriptors and memory are available again.
bool isResourceShortage(const DiskError& error) {
  return error == std::errc::too_many_files_open || error == std::errc::too_many_files_open_in_system ||
         error == std::errc::not_enough_memory;
}

/// Whether a record of this kind states something about its key only. The hint entry of any other kind is as
/// good as its record.
bool concernsOneKey(RecordKind kind) {
  return kind == RecordKind::put || kind == RecordKind::erase || kind == RecordKind::lost;
}

}  // namespace

Recovery::Recovery(Disk& disk, const CompactionPolicy& policy, FolderUsage& usage, StoreState& state,
                   const LogCallback& log)
    : disk_(disk), policy_(policy), usage_(usage), state_(state), log_(log), inventory_(disk, usage, log) {}

void Recovery::log(const std::string& line) const {
  if (log_) log_(line);
}

StoreStatus Recovery::run(StoreId newStoreId) {
  if (auto status = inventory_.scan(newStoreId); !status.isOk()) return status;
  state_.statistics.quarantinedFiles = inventory_.quarantinedFiles();
  contents_.storeId = inventory_.storeId();
  contents_.manifestBytes = inventory_.manifestBytes();
  applyManifest();
  for (const auto& [number, files] : inventory_.segments())
    if (files.hasHint) disk_.prefetch(hintFileName(number));
  for (const auto& [number, files] : inventory_.segments()) {
    contents_.nextSegment = std::max(contents_.nextSegment, successor(number));
    if (auto status = recoverSegment(number, files); !status.isOk()) return status;
  }
  advanceSequencePast(highestSequence_);
  applyRecordedFloor();
  applyLostRecords();
  reportDamage();
  state_.index.sortByAge();
  if (hasLostSegment_)
    state_.statistics.discardedEntries =
        state_.index.raiseFloor(std::min(discardBelow_, contents_.nextSequence));
  expireSweptEntries();
  return {};
}

void Recovery::applyManifest() {
  const auto& manifest = inventory_.manifest();
  if (!manifest) return;
  contents_.nextSegment = manifest->nextSegment;
  contents_.nextSequence = manifest->nextSequence;
  contents_.sweeps = ExpirySweeps(manifest->sweeps);
  state_.index.raiseFloor(manifest->floor);
  for (const Manifest::Segment& segment : manifest->segments) {
    if (inventory_.segments().contains(segment.number)) continue;
    noteLostSegment(segment);
    log(fmt::format("{} and its hint file are missing; entries written before them are discarded",
                    segmentFileName(segment.number)));
  }
}

/// Discards the entries below the floor that the segments state. It may be higher than that of the manifest,
/// which may also be missing.
void Recovery::applyRecordedFloor() {
  state_.index.sortByAge();
  for (const auto& [number, segment] : contents_.sealed) state_.index.raiseFloor(segment.recordedFloor);
}

/// Records older than a lost segment must be discarded, because the segment may have erased or overwritten
/// any of them.
void Recovery::noteLostSegment(const Manifest::Segment& segment) {
  ++state_.statistics.lostFiles;
  state_.statistics.lostBytes += segment.bytes;
  hasLostSegment_ = true;
  discardBelow_ = segment.isSealed ? std::max(discardBelow_, successor(segment.lastSequence)) : maxSequence;
}

StoreStatus Recovery::recoverSegment(SegmentNumber number, const FolderInventory::SegmentFiles& files) {
  SealedSegment& sealed = contents_.sealed[number];
  sealed.bytes = files.segmentBytes;
  sealed.committedBytes = files.segmentBytes;
  sealed.hintBytes = files.hintBytes;
  const HintFile hints = readHints(number);
  const std::string name = segmentFileName(number);
  Disk::OpenResult opened{nullptr, make_error_code(std::errc::no_such_file_or_directory)};
  if (files.hasSegment) opened = disk_.open(name);
  if (isResourceShortage(opened.error)) return {StoreErrorCode::ioError, describeError(name, opened.error)};
  if (opened.file) {
    recoverPresentSegment(number, opened.file, hints);
  } else {
    log(describeError(name, opened.error) + "; records that exist only in this segment are lost");
    recoverMissingSegment(number, files.segmentBytes, hints);
  }
  for (const HintEntry& entry : hints.entries)
    sealed.lastSequence = std::max(sealed.lastSequence, entry.sequence);
  highestSequence_ = std::max(highestSequence_, sealed.lastSequence);
  return {};
}

HintFile Recovery::readHints(SegmentNumber number) {
  auto opened = disk_.open(hintFileName(number));
  if (!opened.file) return {};
  return readHintFile(std::move(opened.file), contents_.storeId, number);
}

void Recovery::recoverPresentSegment(SegmentNumber number, const std::shared_ptr<File>& file,
                                     const HintFile& hints) {
  // Data written by a killed process may exist only in the page cache, so it is synced before it is served.
  // That sync may succeed after a failed sync in the killed process and then proves nothing. Therefore a
  // segment that was not sealed is untrusted, and its live records will be rewritten as well.
  const Manifest::Segment* listed = inventory_.listed(number);
  const bool wasSealed = listed && listed->isSealed;
  const bool hasFailedSync = !wasSealed && file->sync();
  contents_.sealed[number].isUntrusted = hasFailedSync || (listed && !listed->isSealed);
  if (!hints.describes(file->size())) return scanSegment(number, file, hints);
  for (const HintEntry& entry : hints.entries) addEntry(number, entry);
}

void Recovery::recoverMissingSegment(SegmentNumber number, std::uint64_t bytes, const HintFile& hints) {
  for (const HintEntry& entry : hints.entries) {
    if (concernsOneKey(entry.kind))
      addLostRecord(number, entry);
    else
      addEntry(number, entry);
  }
  damage_[number].fileBytes = bytes;
  contents_.sealed[number].isDamaged = true;
  // Without its end entry, the hint file may describe only some of the records.
  const Manifest::Segment* listed = inventory_.listed(number);
  if (listed && !hints.end) noteLostSegment(*listed);
}

void Recovery::addEntry(SegmentNumber number, const HintEntry& entry) {
  highestSequence_ = std::max(highestSequence_, entry.sequence);
  SealedSegment& sealed = contents_.sealed[number];
  sealed.lastSequence = std::max(sealed.lastSequence, entry.sequence);
  switch (entry.kind) {
    case RecordKind::expirySweep:
      contents_.sweeps.add({entry.sequence, entry.expiry});
      return;
    case RecordKind::discard:
      sealed.recordedFloor = std::max(sealed.recordedFloor, successor(entry.sequence));
      return;
    case RecordKind::lost:
      addLostRecord(number, entry);
      return;
    case RecordKind::put:
    case RecordKind::erase:
      state_.index.addRecord(entry.key, entry.kind, entry.sequence, entry.expiry,
                             {number, static_cast<std::uint32_t>(entry.location.offset),
                              static_cast<std::uint32_t>(entry.location.bytes)});
      return;
    case RecordKind::hintEnd:
    case RecordKind::manifest:
      return;
  }
}

void Recovery::addLostRecord(SegmentNumber number, const HintEntry& entry) {
  const std::uint64_t bytes = entry.kind == RecordKind::lost ? 0 : entry.location.bytes;
  lostRecords_.push_back({number, {entry.key, entry.sequence}, bytes});
}

void Recovery::scanSegment(SegmentNumber number, const std::shared_ptr<File>& file, const HintFile& hints) {
  const std::uint64_t fileBytes = file->size();
  damage_[number].fileBytes = fileBytes;
  std::vector<HintEntry> entries = readRecords(number, file);
  addHintsWithoutRecord(number, hints, entries);
  rewriteHints(number, entries, fileBytes);
}

std::vector<HintEntry> Recovery::readRecords(SegmentNumber number, const std::shared_ptr<File>& file) {
  std::vector<HintEntry> out;
  RecordScanner scanner(file, {FileKind::segment, contents_.storeId, number});
  for (;;) {
    const auto step = scanner.next();
    if (step.kind == RecordScanner::Step::Kind::end) return out;
    if (step.kind == RecordScanner::Step::Kind::corruption) {
      damage_[number].corruptRanges.push_back({step.offset, step.bytes});
      continue;
    }
    const Record& record = step.record;
    out.push_back(
        {record.kind, std::string(record.key), record.sequence, record.expiry, {step.offset, step.bytes}});
    addEntry(number, out.back());
  }
}

/// Appends the hint entries whose record is not in the segment. `entries` must be sorted by offset.
void Recovery::addHintsWithoutRecord(SegmentNumber number, const HintFile& hints,
                                     std::vector<HintEntry>& entries) {
  const auto recordCount = static_cast<std::ptrdiff_t>(entries.size());
  const auto isBefore = [](const HintEntry& entry, std::uint64_t offset) {
    return entry.location.offset < offset;
  };
  for (const HintEntry& hint : hints.entries) {
    const auto end = entries.begin() + recordCount;
    const auto found = std::lower_bound(entries.begin(), end, hint.location.offset, isBefore);
    const bool isPresent =
        found != end && found->location.offset == hint.location.offset && found->sequence == hint.sequence;
    if (isPresent) continue;
    if (!concernsOneKey(hint.kind)) {
      addEntry(number, hint);
      continue;
    }
    addLostRecord(number, hint);
    entries.push_back(hint);
    entries.back().kind = RecordKind::lost;
  }
}

/// Rewrites the hint file, so that the next recovery is fast and still finds the lost records. Leaves the
/// file unchanged if there is no room.
void Recovery::rewriteHints(SegmentNumber number, const std::vector<HintEntry>& entries,
                            std::uint64_t segmentBytes) {
  const std::string bytes = encodeHintFile(contents_.storeId, number, entries, segmentBytes);
  if (!policy_.canCopy(usage_.bytes(), bytes.size())) return;
  const std::string name = hintTemporaryFileName(number);
  const auto created = disk_.create(name);
  if (created.error) return;
  DiskError error = writeAll(*created.file, 0, bytes);
  if (!error) error = created.file->sync();
  if (!error) error = disk_.rename(name, hintFileName(number));
  if (error) {
    disk_.remove(name);
    return;
  }
  usage_.add(bytes.size());
  usage_.subtract(std::exchange(contents_.sealed[number].hintBytes, bytes.size()));
  ++state_.statistics.hintsRebuilt;
}

/// Marks the keys of lost records as lost, so that no older record of them is served, and counts the damage.
void Recovery::applyLostRecords() {
  for (const LostRecord& lost : lostRecords_) {
    const auto& [key, sequence] = lost.record;
    highestSequence_ = std::max(highestSequence_, sequence);
    // Nothing is lost if a newer record has overwritten this one, or if it still exists in the input of a
    // compaction that a crash interrupted.
    const IndexEntry* entry = state_.index.find(key);
    if (sequence < state_.index.floor() || (entry && entry->sequence >= sequence)) continue;
    if (lost.bytes > 0) {
      Damage& damage = damage_[lost.segment];
      ++damage.lostRecords;
      damage.lostBytes += lost.bytes;
    }
    if (!state_.index.markLost(key, sequence, lost.segment)) continue;
    SealedSegment& sealed = contents_.sealed[lost.segment];
    sealed.lostRecords.push_back(lost.record);
    sealed.isDamaged = true;
  }
  advanceSequencePast(highestSequence_);
}

void Recovery::advanceSequencePast(SequenceNumber sequence) {
  if (sequence >= contents_.nextSequence) contents_.nextSequence = successor(sequence);
}

void Recovery::reportDamage() {
  for (const auto& [number, damage] : damage_) reportSegmentDamage(number, damage);
}

void Recovery::reportSegmentDamage(SegmentNumber number, const Damage& damage) {
  const std::string name = segmentFileName(number);
  const Manifest::Segment* listed = inventory_.listed(number);
  const bool wasSealed = listed && listed->isSealed;
  StoreStatistics& statistics = state_.statistics;
  SealedSegment& sealed = contents_.sealed[number];
  for (const auto& [offset, bytes] : damage.corruptRanges) {
    // A crash may leave an unacknowledged write at the end of a segment that was being written.
    const bool isTorn = offset + bytes == damage.fileBytes && !wasSealed && damage.lostRecords == 0;
    if (isTorn) {
      log(fmt::format("{} at {}: {} bytes of an interrupted, unacknowledged write ignored", name, offset,
                      bytes));
      statistics.tornBytes += bytes;
    } else {
      log(fmt::format("{} at {}: {} bytes are corrupt and skipped", name, offset, bytes));
      statistics.lostBytes += bytes;
      sealed.isDamaged = true;
    }
  }
  if (wasSealed && damage.fileBytes < listed->bytes) {
    const std::uint64_t missingBytes = listed->bytes - damage.fileBytes;
    log(fmt::format("{} at {}: {} bytes are missing at the end of the file", name, damage.fileBytes,
                    missingBytes));
    statistics.lostBytes += missingBytes;
    sealed.isDamaged = true;
  }
  if (damage.lostRecords == 0) return;
  log(fmt::format("{}: {} acknowledged records with {} bytes are lost; their values are unavailable", name,
                  damage.lostRecords, damage.lostBytes));
  statistics.lostRecords += damage.lostRecords;
  sealed.isDamaged = true;
}

/// Entries that were found to be expired earlier stay expired, even if the clock has stepped back.
void Recovery::expireSweptEntries() {
  if (contents_.sweeps.all().empty()) return;
  std::vector<std::string> expired;
  state_.index.scanByAge(std::nullopt, [&](const IndexEntry& entry) {
    if (contents_.sweeps.cover(entry)) expired.push_back(entry.key);
    return true;
  });
  for (const std::string& key : expired) state_.index.expireKey(key);
}

}  // namespace rainhook::store
