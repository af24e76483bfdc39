#include "store/compactor.h"

#include <algorithm>
#include <utility>

#include "store/file_names.h"

namespace rainhook::store {
namespace {

constexpr std::size_t indexRemovalsPerStep = 4096;

}  // namespace

Compactor::Compactor(Disk& disk, const CompactionPolicy& policy, SegmentCatalog& catalog, StoreState& state,
                     FolderUsage& usage, SegmentFileCache& files, LogCallback log)
    : disk_(disk),
      policy_(policy),
      catalog_(catalog),
      state_(state),
      usage_(usage),
      files_(files),
      log_(std::move(log)) {}

bool Compactor::step(std::uint64_t budgetBytes) {
  hasFailed_ = false;
  if (!job_) {
    const auto input = nextInput();
    if (!input) {
      endRequests({});
      return false;
    }
    if (!startJob(*input)) return false;
  }
  // Each stage that syncs is a separate step, so that a commit waits for at most one sync.
  switch (job_->stage) {
    case Stage::copyingRecords:
      return copyStep(budgetBytes);
    case Stage::removingFiles:
      return removeInput();
    case Stage::updatingIndex:
      return updateIndexStep();
  }
  return false;
}

std::optional<SegmentNumber> Compactor::nextInput() {
  if (const auto input = policy_.selectInput(catalog_.occupancy())) return input;
  while (!requested_.empty()) {
    const SegmentNumber input = requested_.back();
    requested_.pop_back();
    if (catalog_.findSealed(input)) return input;
  }
  return std::nullopt;
}

bool Compactor::startJob(SegmentNumber input) {
  job_.emplace();
  job_->input = input;
  const std::string name = segmentFileName(input);
  auto opened = disk_.open(name);
  if (opened.error && opened.error != std::errc::no_such_file_or_directory)
    return fail(describeError(name, opened.error));
  const FileHeader header{FileKind::segment, catalog_.storeId(), input};
  if (opened.file) job_->scanner.emplace(opened.file, header);
  return true;
}

bool Compactor::fail(const std::string& reason) {
  const std::string subject =
      job_ ? "compaction of " + segmentFileName(job_->input) + " failed; the segment is kept: "
           : "compaction failed while its output was being sealed: ";
  job_.reset();
  SegmentWriter* output = catalog_.writer(SegmentRole::compaction);
  if (output) {
    output->rollBack();
    if (output->isBroken()) catalog_.seal(SegmentRole::compaction, SegmentTrust::untrusted);
  }
  hasFailed_ = true;
  if (log_) log_(subject + reason);
  endRequests({StoreErrorCode::ioError, reason});
  return false;
}

bool Compactor::copyStep(std::uint64_t budgetBytes) {
  const std::uint64_t end = job_->scanner ? job_->scanner->position() + budgetBytes : 0;
  while (job_->scanner && job_->scanner->position() < end) {
    const RecordScanner::Step step = job_->scanner->next();
    if (step.kind == RecordScanner::Step::Kind::end ||
        step.offset >= catalog_.findSealed(job_->input)->committedBytes) {
      job_->scanner.reset();
      break;
    }
    // Recovery has already reported this corruption, or the range contained only unacknowledged writes.
    if (step.kind != RecordScanner::Step::Kind::record) continue;
    const Record& record = step.record;
    if (record.kind != RecordKind::put && record.kind != RecordKind::erase) continue;
    job_->inputRecords.push_back({std::string(record.key), record.sequence});
    job_->reliesOnFloor = job_->reliesOnFloor || record.sequence < state_.index.floor();
    const RecordLocation location{job_->input, static_cast<std::uint32_t>(step.offset),
                                  static_cast<std::uint32_t>(step.bytes)};
    if (!copyIfCurrent(record, location)) return false;
  }
  if (job_->scanner) {
    if (!flushOutput()) return false;
    if (SegmentWriter* output = catalog_.writer(SegmentRole::compaction)) output->startWriteback();
    return true;
  }
  if (!copyLostRecords() || !recordFloor() || !flushOutput() || !syncOutput()) return false;
  job_->stage = Stage::removingFiles;
  return true;
}

bool Compactor::copyIfCurrent(const Record& record, const RecordLocation& location) {
  bool isLive = false;
  {
    const std::lock_guard lock(state_.mutex);
    const IndexEntry* entry = state_.index.find(record.key);
    if (!entry || entry->sequence != record.sequence || entry->location != location) return true;
    isLive = entry->state == EntryState::live;
    // The key is deleted and has no other record above the floor, so its tombstone need not be copied.
    if (!isLive && entry->recordCount <= 1) {
      job_->reliesOnFloor = true;
      return true;
    }
  }
  if (isLive) return writeToOutput(record);
  return writeToOutput({RecordKind::erase, false, record.sequence, neverExpires, record.key, {}});
}

/// Writes the floor before the input is removed, if no other segment states it. The removal may drop the
/// current record of a key while an older record of that key, below the floor, remains in another segment; it
/// may also drop the record of the floor itself.
bool Compactor::recordFloor() {
  const SealedSegment& input = *catalog_.findSealed(job_->input);
  const bool reliesOnFloor = job_->reliesOnFloor || input.isDamaged;
  const SequenceNumber required = reliesOnFloor ? state_.index.floor() : input.recordedFloor;
  if (required <= catalog_.recordedFloor(job_->input)) return true;
  SegmentWriter* output = outputWithRoom(floorRecordBytes);
  if (!output) return false;
  output->appendFloor(state_.index.floor());
  return true;
}

/// Writes erasures for lost records that still hide older records of their keys.
bool Compactor::copyLostRecords() {
  for (const auto& [key, sequence] : catalog_.findSealed(job_->input)->lostRecords) {
    {
      const std::lock_guard lock(state_.mutex);
      const IndexEntry* entry = state_.index.find(key);
      if (!entry || entry->state != EntryState::lost || entry->sequence != sequence) continue;
    }
    if (!writeToOutput({RecordKind::erase, false, sequence, neverExpires, key, {}})) return false;
  }
  return true;
}

bool Compactor::ensureOutput(std::uint64_t addedBytes) {
  SegmentWriter* output = catalog_.writer(SegmentRole::compaction);
  if (output && policy_.isFull(output->projectedBytes(), addedBytes)) {
    if (!flushOutput() || !syncOutput()) return false;
    catalog_.seal(SegmentRole::compaction, SegmentTrust::trusted);
    output = nullptr;
  }
  if (output) return true;
  const StoreStatus status = catalog_.openWriter(SegmentRole::compaction);
  return status.isOk() || fail(status.message);
}

/// Returns the segment to which `addedBytes` may be appended, or null if the job has failed.
SegmentWriter* Compactor::outputWithRoom(std::uint64_t addedBytes) {
  if (!ensureOutput(addedBytes)) return nullptr;
  SegmentWriter* output = catalog_.writer(SegmentRole::compaction);
  const std::uint64_t unwrittenBytes = output->projectedBytes() - output->bytes() - output->hintBytes();
  if (policy_.canCopy(usage_.bytes(), unwrittenBytes + addedBytes)) return output;
  fail("the output does not fit under the disk_bytes limit");
  return nullptr;
}

bool Compactor::writeToOutput(const Record& record) {
  SegmentWriter* output =
      outputWithRoom(recordBytes(record.key.size(), record.value.size()) + hintEntryBytes(record.key.size()));
  if (!output) return false;
  const RecordLocation location = output->append(record);
  job_->pendingCopies.push_back({{std::string(record.key), record.sequence}, location});
  return true;
}

/// Writes the records appended to the output. Reads use the copies from then on; until a sync has made them
/// durable, the original records still exist.
bool Compactor::flushOutput() {
  SegmentWriter* output = catalog_.writer(SegmentRole::compaction);
  if (!output) return true;
  const std::string name = segmentFileName(output->number());
  if (const DiskError error = output->flush()) return fail(describeError(name, error));
  output->commit();
  if (job_) publishCopies();
  return true;
}

void Compactor::publishCopies() {
  const std::lock_guard lock(state_.mutex);
  for (const CompactionJob::PendingCopy& copy : job_->pendingCopies) {
    state_.index.addCopy(copy.record.key, copy.record.sequence, copy.location);
    state_.statistics.compactedBytes += copy.location.bytes + hintEntryBytes(copy.record.key.size());
  }
  job_->pendingCopies.clear();
}

bool Compactor::syncOutput() {
  SegmentWriter* output = catalog_.writer(SegmentRole::compaction);
  if (!output) return true;
  const std::string name = segmentFileName(output->number());
  const DiskError error = output->sync();
  if (!error) return true;
  // The input must be kept until all of the output has been rewritten. The policy selects untrusted segments
  // first.
  catalog_.seal(SegmentRole::compaction, SegmentTrust::untrusted);
  {
    const std::lock_guard lock(state_.mutex);
    ++state_.statistics.failedSyncs;
  }
  return fail(describeError(name, error));
}

bool Compactor::removeInput() {
  const SegmentNumber input = job_->input;
  // Some records of the input may have been copied into a segment whose sync failed. The policy selects that
  // segment first.
  if (!catalog_.findSealed(input)->isUntrusted && catalog_.hasUntrustedSegment()) {
    job_.reset();
    return true;
  }
  if (const DiskError error = catalog_.removeSealed(input))
    return fail(describeError(manifestFileName, error));
  files_.evict(input);
  job_->stage = Stage::updatingIndex;
  const std::lock_guard lock(state_.mutex);
  ++state_.statistics.compactions;
  return true;
}

bool Compactor::updateIndexStep() {
  {
    const std::lock_guard lock(state_.mutex);
    const std::size_t end =
        std::min(job_->inputRecords.size(), job_->unindexedRecords + indexRemovalsPerStep);
    for (; job_->unindexedRecords < end; ++job_->unindexedRecords) {
      const RecordId& record = job_->inputRecords[job_->unindexedRecords];
      state_.index.removeRecord(record.key, record.sequence);
    }
  }
  if (job_->unindexedRecords == job_->inputRecords.size()) job_.reset();
  return true;
}

void Compactor::requestAll(StatusCallback onEnded) {
  const bool isOutputDurable = !job_ && flushOutput() && syncOutput();
  if (isOutputDurable && catalog_.writer(SegmentRole::compaction))
    catalog_.seal(SegmentRole::compaction, SegmentTrust::trusted);
  for (const SegmentInfo& segment : catalog_.occupancy().segments)
    if (policy_.hasReclaimableBytes(segment)) requested_.push_back(segment.number);
  onRequestsEnded_.push_back(std::move(onEnded));
}

void Compactor::endRequests(const StoreStatus& status) {
  requested_.clear();
  for (const StatusCallback& onEnded : std::exchange(onRequestsEnded_, {}))
    if (onEnded) onEnded(status);
}

void Compactor::suspend() {
  // The records of a segment that was already removed must still be removed from the index.
  while (job_ && job_->stage == Stage::updatingIndex) updateIndexStep();
  abandon();
  sealOutput();
}

void Compactor::sealOutput() {
  if (flushOutput()) syncOutput();
  // Seals the output even after a failed write: the records committed before it remain valid.
  if (catalog_.writer(SegmentRole::compaction)) catalog_.seal(SegmentRole::compaction, SegmentTrust::trusted);
}

}  // namespace rainhook::store
