#include "store/log_structured_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "store/file_names.h"
#include "store/recovery.h"

namespace rainhook::store {
namespace {

constexpr std::size_t expiredEntriesPerStep = 512;
constexpr int maxCommitAttempts = 2;

StoreStatus lockFolder(Disk& disk) {
  const auto locked = disk.lock(lockFileName);
  if (!locked.error) return {};
  if (locked.error != std::errc::operation_would_block)
    return {StoreErrorCode::ioError, describeError(lockFileName, locked.error)};
  return {StoreErrorCode::locked, fmt::format("the store is open in process {}",
                                              locked.holder.empty() ? "(unknown)" : locked.holder)};
}

/// Collects the entries of a scan that have not expired.
template <typename Scan>
ScanPage collectPage(std::size_t maxRows, UnixTime now, Scan scan) {
  ScanPage out;
  scan([&](const IndexEntry& entry) {
    if (entry.expiry <= now) return true;
    if (out.rows.size() == maxRows) {
      out.hasMore = true;
      return false;
    }
    out.rows.push_back({entry.key, entry.expiry, entry.sequence, entry.location.bytes});
    return true;
  });
  return out;
}

}  // namespace

LogStructuredStore::LogStructuredStore(Disk& disk, const StoreSettings& settings, LogCallback log)
    : disk_(disk),
      settings_(settings),
      policy_(settings),
      log_(std::move(log)),
      catalog_(disk, usage_, state_),
      files_(disk, settings.maxOpenFiles),
      reader_(state_, files_, log_),
      batchWriter_(settings_, policy_, catalog_, state_, log_),
      compactor_(disk, policy_, catalog_, state_, usage_, files_, log_) {}

void LogStructuredStore::log(const std::string& line) const {
  if (log_) log_(line);
}

StoreStatus LogStructuredStore::open(std::uint64_t seed) {
  if (auto status = lockFolder(disk_); !status.isOk()) return status;
  Recovery recovery(disk_, policy_, usage_, state_, log_);
  if (auto status = recovery.run(StoreId{seed}); !status.isOk()) return status;
  catalog_.restore(recovery.takeContents());
  isOpen_ = true;
  if (const DiskError error = catalog_.writeManifest())
    log(describeError(manifestFileName, error) + "; writes fail until the manifest can be written");
  if (catalog_.recordedFloor() < state_.index.floor()) recordFloor();
  return {};
}

/// Writes a record of the floor, which only the manifest states. If this fails, the next erasure writes it.
void LogStructuredStore::recordFloor() {
  if (!policy_.canWrite(usage_.bytes(), BatchWriter::maxOverheadBytes)) return;
  if (const StoreStatus status = ensureActiveSegment(); !status.isOk()) return log(status.message);
  if (const DiskError error = batchWriter_.writeFloor())
    log("write of the floor: " + error.message() + "; the next erasure writes it");
}

std::vector<StoreStatus> LogStructuredStore::commit(std::span<const WriteRequest> writes, UnixTime now) {
  std::vector<StoreStatus> statuses(writes.size());
  for (std::size_t begin = 0; begin < writes.size();) {
    statuses[begin] = isOpen_ ? validateWrite(writes[begin], settings_)
                              : StoreStatus{StoreErrorCode::closed, "the store is not open"};
    if (!statuses[begin].isOk()) {
      ++begin;
      continue;
    }
    const SegmentWriter* active = activeSegment();
    if (active && policy_.isFull(active->projectedBytes(), BatchWriter::maxBytesOf(writes.subspan(begin, 1))))
      catalog_.seal(SegmentRole::commits, SegmentTrust::trusted);
    const auto batch = writes.subspan(begin, batchWriter_.batchSize(writes.subspan(begin)));
    const StoreStatus status = commitBatch(batch, now);
    std::fill_n(statuses.begin() + static_cast<std::ptrdiff_t>(begin), batch.size(), status);
    begin += batch.size();
  }
  return statuses;
}

StoreStatus LogStructuredStore::commitBatch(std::span<const WriteRequest> writes, UnixTime now) {
  if (!makeRoom(BatchWriter::maxBytesOf(writes) + BatchWriter::maxOverheadBytes, now))
    return countUnsuccessfulWrites(
        writes.size(),
        {StoreErrorCode::storeFull,
         fmt::format(
             "the store is full: writes of {} bytes do not fit under the disk_bytes limit of {} bytes, "
             "and no space could be freed",
             BatchWriter::maxBytesOf(writes), settings_.maxDiskBytes)});
  DiskError error;
  // After a failed sync, earlier writes to the file may be lost, and a later successful sync of the same file
  // proves nothing. Therefore these writes are retried in a new segment.
  for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
    auto status = ensureActiveSegment();
    if (!status.isOk()) return countUnsuccessfulWrites(writes.size(), std::move(status));
    error = batchWriter_.write(writes, now);
    if (!error) return {};
    if (activeSegment()) break;  // the sync did not fail, and the file was restored to its previous state
  }
  const SegmentWriter* active = activeSegment();
  const std::string name = active ? segmentFileName(active->number()) : "write or sync of a new segment";
  return countUnsuccessfulWrites(writes.size(), {StoreErrorCode::ioError, describeError(name, error)});
}

StoreStatus LogStructuredStore::countUnsuccessfulWrites(std::size_t writes, StoreStatus status) {
  const std::lock_guard lock(state_.mutex);
  StoreStatistics& statistics = state_.statistics;
  (status.code == StoreErrorCode::storeFull ? statistics.rejectedWrites : statistics.failedWrites) += writes;
  return status;
}

StoreStatus LogStructuredStore::ensureActiveSegment() {
  return activeSegment() ? StoreStatus{} : catalog_.openWriter(SegmentRole::commits);
}

ReadResult LogStructuredStore::get(std::string_view key, UnixTime now) const {
  return reader_.read(catalog_.storeId(), key, now);
}

ScanPage LogStructuredStore::scanByKey(std::string_view from, ScanStart start, std::size_t maxRows,
                                       UnixTime now) const {
  const std::lock_guard lock(state_.mutex);
  return collectPage(maxRows, now,
                     [&](const KeyIndex::Visitor& visit) { state_.index.scanByKey(from, start, visit); });
}

ScanPage LogStructuredStore::scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows,
                                       UnixTime now) const {
  const std::lock_guard lock(state_.mutex);
  return collectPage(maxRows, now,
                     [&](const KeyIndex::Visitor& visit) { state_.index.scanByAge(cursor, visit); });
}

StoreStatistics LogStructuredStore::statistics() const {
  const std::lock_guard lock(state_.mutex);
  StoreStatistics out = state_.statistics;
  out.entries = state_.index.liveEntryCount();
  out.tombstones = state_.index.entryCount() - out.entries;
  out.indexBytes = state_.index.memoryBytes();
  out.liveBytes = state_.index.liveBytes();
  out.folderBytes = usage_.bytes();
  out.peakFolderBytes = usage_.peakBytes();
  return out;
}

bool LogStructuredStore::runMaintenance(UnixTime now, bool hasWaitingWriters) {
  if (!isOpen_) return false;
  processCorruptRecords();
  const bool hasExpired = expireEntries(now);
  const std::uint64_t budgetBytes = policy_.stepBytes(hasWaitingWriters);
  if (snapshot_) return stepSnapshot(budgetBytes);
  const bool hasAgedOut = ageOut(0);
  return prepareNextSegment() || compactor_.step(budgetBytes) || hasExpired || hasAgedOut;
}

/// Marks the sealed segments in which readers found corrupt records as damaged. Corrupt records of a segment
/// that is still being written stay in the list.
void LogStructuredStore::processCorruptRecords() {
  const std::lock_guard lock(state_.mutex);
  for (CorruptRecord& corrupt : std::exchange(state_.corruptRecords, {})) {
    if (SealedSegment* sealed = catalog_.findSealed(corrupt.segment)) {
      sealed->isDamaged = true;
      sealed->lostRecords.push_back(std::move(corrupt.record));
    } else {
      state_.corruptRecords.push_back(std::move(corrupt));
    }
  }
}

bool LogStructuredStore::expireEntries(UnixTime now) {
  const std::lock_guard lock(state_.mutex);
  const std::size_t count = state_.index.expireUpTo(now, expiredEntriesPerStep);
  if (count == 0) return false;
  state_.statistics.expiredEntries += count;
  state_.noteExpired(now);
  return true;
}

bool LogStructuredStore::ageOut(std::uint64_t minBytes) {
  auto excess = policy_.excess(catalog_.occupancy());
  excess.diskBytes = std::max(excess.diskBytes, minBytes);
  if (!excess.isNonZero()) return false;
  const std::lock_guard lock(state_.mutex);
  const SequenceNumber floor = state_.index.floorToFree(excess.diskBytes, excess.indexBytes);
  if (floor <= state_.index.floor()) return false;
  state_.statistics.agedOutEntries += state_.index.raiseFloor(floor);
  return true;
}

/// Creates the next segment before the active one is full, so that the commit that fills it has less to wait
/// for.
bool LogStructuredStore::prepareNextSegment() {
  const SegmentWriter* active = activeSegment();
  if (catalog_.hasDurableSpare() || !active || !policy_.isNearlyFull(active->projectedBytes())) return false;
  return catalog_.prepareSpare().isOk();
}

bool LogStructuredStore::makeRoom(std::uint64_t bytes, UnixTime now) {
  // The loop ends because each iteration removes, copies or ages out some of a bounded number of records.
  while (!policy_.canWrite(usage_.bytes(), bytes)) {
    if (snapshot_) return false;  // no segment may be removed during a snapshot
    if (runMaintenance(now)) continue;
    if (compactor_.hasFailed() || !ageOut(policy_.minAgeOutBytes())) return false;
  }
  return true;
}

void LogStructuredStore::startCompaction(StatusCallback onEnded) {
  if (activeSegment()) catalog_.seal(SegmentRole::commits, SegmentTrust::trusted);
  compactor_.requestAll(std::move(onEnded));
}

StoreStatus LogStructuredStore::startSnapshot(std::unique_ptr<Disk> destination, StatusCallback onEnded) {
  if (!isOpen_) return {StoreErrorCode::closed, "the store is not open"};
  if (snapshot_) return {StoreErrorCode::invalidArgument, "another snapshot is in progress"};
  if (auto status = SnapshotCopy::prepare(*destination); !status.isOk()) return status;
  compactor_.suspend();
  if (activeSegment()) catalog_.seal(SegmentRole::commits, SegmentTrust::trusted);
  std::vector<std::string> files;
  for (const auto& [number, segment] : catalog_.sealedSegments()) {
    files.push_back(segmentFileName(number));
    files.push_back(hintFileName(number));
  }
  auto manifest = encodeManifest(catalog_.manifest(SegmentCatalog::ManifestScope::sealedSegments));
  snapshot_ = std::make_unique<SnapshotCopy>(disk_, std::move(destination), std::move(files),
                                             std::move(manifest), std::move(onEnded));
  return {};
}

bool LogStructuredStore::stepSnapshot(std::uint64_t budgetBytes) {
  if (auto ended = snapshot_->step(budgetBytes)) endSnapshot(std::move(*ended));
  return true;
}

void LogStructuredStore::endSnapshot(StoreStatus status) {
  const auto ended = std::move(snapshot_);
  ended->finish(std::move(status));
}

void LogStructuredStore::close() {
  if (!isOpen_) return;
  const StoreStatus closed{StoreErrorCode::closed, "the store was closed"};
  if (snapshot_) endSnapshot(closed);
  compactor_.abandon();
  compactor_.sealOutput();
  if (activeSegment()) catalog_.seal(SegmentRole::commits, SegmentTrust::trusted);
  compactor_.endRequests(closed);
  if (const DiskError error = catalog_.writeManifest())
    log(describeError(manifestFileName, error) + "; the next start will take longer");
  disk_.unlock();
  isOpen_ = false;
}

}  // namespace rainhook::store
