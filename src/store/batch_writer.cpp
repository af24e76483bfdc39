#include "store/batch_writer.h"

#include <algorithm>
#include <string>

#include "store/compression.h"
#include "store/file_names.h"

namespace rainhook::store {
namespace {

std::uint64_t maxBytesOfWrite(const WriteRequest& write) {
  return recordBytes(write.key.size(), write.value.size()) + hintEntryBytes(write.key.size());
}

/// Whether the write leaves its key without a value.
bool isErasure(const WriteRequest& write, UnixTime now) { return write.isErase() || write.expiry <= now; }

}  // namespace

BatchWriter::BatchWriter(const StoreSettings& settings, const CompactionPolicy& policy,
                         SegmentCatalog& catalog, StoreState& state, const LogCallback& log)
    : settings_(settings), policy_(policy), catalog_(catalog), state_(state), log_(log) {}

std::uint64_t BatchWriter::maxBytesOf(std::span<const WriteRequest> writes) {
  std::uint64_t sum = 0;
  for (const WriteRequest& write : writes) sum += maxBytesOfWrite(write);
  return sum;
}

std::size_t BatchWriter::batchSize(std::span<const WriteRequest> writes) const {
  const SegmentWriter* active = catalog_.writer(SegmentRole::commits);
  std::uint64_t segmentBytes = active ? active->projectedBytes() : 2 * fileHeaderBytes;
  segmentBytes += maxBytesOfWrite(writes.front());
  std::size_t size = 1;
  while (size < writes.size() && size < settings_.maxCommitWrites) {
    const WriteRequest& next = writes[size];
    if (!validateWrite(next, settings_).isOk() || policy_.isFull(segmentBytes, maxBytesOfWrite(next))) break;
    segmentBytes += maxBytesOfWrite(next);
    ++size;
  }
  return size;
}

DiskError BatchWriter::write(std::span<const WriteRequest> writes, UnixTime now) {
  const auto sweep = appendExpirySweep();
  const auto updates = appendWrites(writes, now);
  const bool hasErasure = std::any_of(writes.begin(), writes.end(),
                                      [&](const WriteRequest& write) { return isErasure(write, now); });
  const bool hasNewFloor = hasErasure && appendFloorIfUnrecorded();
  if (updates.empty() && !sweep && !hasNewFloor) return {};
  if (const DiskError error = makeDurable()) return error;
  if (sweep) catalog_.addSweep(*sweep);
  publish(writes, updates, sweep);
  return {};
}

/// Appends an expiry sweep if any entry was found to be expired since the last commit.
std::optional<ExpirySweep> BatchWriter::appendExpirySweep() {
  std::optional<UnixTime> expiredBy;
  {
    const std::lock_guard lock(state_.mutex);
    expiredBy = state_.unrecordedExpiry;
  }
  if (!expiredBy) return std::nullopt;
  const ExpirySweep sweep{catalog_.allocateSequence(), *expiredBy};
  segment()->append({RecordKind::expirySweep, false, sweep.before, sweep.expiredBy, {}, {}});
  return sweep;
}

DiskError BatchWriter::writeFloor() { return appendFloorIfUnrecorded() ? makeDurable() : DiskError{}; }

/// Appends the floor unless a segment states it. An erasure of a key that has aged out writes no record of
/// its own, so the record of the floor is what makes this erasure durable.
bool BatchWriter::appendFloorIfUnrecorded() {
  const SequenceNumber floor = state_.index.floor();
  if (floor <= catalog_.recordedFloor()) return false;
  segment()->appendFloor(floor);
  return true;
}

std::vector<BatchWriter::IndexUpdate> BatchWriter::appendWrites(std::span<const WriteRequest> writes,
                                                                UnixTime now) {
  std::vector<IndexUpdate> updates;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    const WriteRequest& write = writes[i];
    if (!isErasure(write, now))
      updates.push_back(appendWrite(write, RecordKind::put));
    else if (isErasureNeeded(write.key, writes.first(i)))
      updates.push_back(appendWrite(write, RecordKind::erase));
  }
  return updates;
}

/// Whether the key may have a value: in the index, from an earlier write of the batch, or from a failed
/// write.
bool BatchWriter::isErasureNeeded(std::string_view key, std::span<const WriteRequest> earlierWrites) const {
  const bool isInBatch = std::any_of(earlierWrites.begin(), earlierWrites.end(),
                                     [&](const WriteRequest& earlier) { return earlier.key == key; });
  if (isInBatch || hasFailedWrite_) return true;
  const std::lock_guard lock(state_.mutex);
  const IndexEntry* entry = state_.index.find(key);
  return entry && entry->state != EntryState::deleted;
}

BatchWriter::IndexUpdate BatchWriter::appendWrite(const WriteRequest& write, RecordKind kind) {
  Record record{kind, false, catalog_.allocateSequence(), neverExpires, write.key, {}};
  std::optional<std::string> compressed;
  if (kind == RecordKind::put) {
    record.expiry = write.expiry;
    if (write.value.size() >= settings_.minCompressedValueBytes) compressed = compress(write.value);
    record.isCompressed = compressed.has_value();
    record.value = compressed ? *compressed : write.value;
  }
  const RecordLocation location = segment()->append(record);
  return {write.key, kind, record.sequence, record.expiry, location};
}

/// Writes and syncs the records appended to the active segment. On an error, none of them takes effect; if
/// the segment can no longer be trusted, this function seals it.
DiskError BatchWriter::makeDurable() {
  SegmentWriter& active = *segment();
  if (const DiskError error = active.flush()) {
    hasFailedWrite_ = true;
    if (active.isBroken()) catalog_.seal(SegmentRole::commits, SegmentTrust::untrusted);
    return error;
  }
  if (const DiskError error = active.sync()) {
    if (log_)
      log_("sync failed: " + describeError(segmentFileName(active.number()), error) +
           "; the segment is untrusted and its live records will be rewritten");
    hasFailedWrite_ = true;
    active.rollBack();
    catalog_.seal(SegmentRole::commits, SegmentTrust::untrusted);
    const std::lock_guard lock(state_.mutex);
    ++state_.statistics.failedSyncs;
    return error;
  }
  active.commit();
  return {};
}

void BatchWriter::publish(std::span<const WriteRequest> writes, const std::vector<IndexUpdate>& updates,
                          const std::optional<ExpirySweep>& sweep) {
  const std::lock_guard lock(state_.mutex);
  for (const IndexUpdate& update : updates)
    state_.index.addRecord(update.key, update.kind, update.sequence, update.expiry, update.location);
  StoreStatistics& statistics = state_.statistics;
  ++statistics.commits;
  for (const WriteRequest& write : writes) ++(write.isErase() ? statistics.erases : statistics.puts);
  statistics.writtenBytes += maxBytesOf(writes);
  // A reader may have found an entry with a later expiry since the sweep was appended.
  if (sweep && state_.unrecordedExpiry == sweep->expiredBy) state_.unrecordedExpiry.reset();
}

}  // namespace rainhook::store
