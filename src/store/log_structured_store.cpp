#include "store/log_structured_store.h"

#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store_jobs.h"

namespace rainhook::store {
namespace {

constexpr std::size_t unpackedMost = std::size_t{256} << 20;  // no value is longer, whatever the bounds were
constexpr std::size_t sweepsMost =
    64;  // so many steps back of the clock are remembered; beyond, the oldest goes

std::string faultIn(const std::string& name, const DiskError& error) { return name + ": " + error.message(); }

}  // namespace

LogStructuredStore::LogStructuredStore(Disk& disk, const StoreSettings& bounds, LogCallback tell)
    : disk_(disk), bounds_(bounds), plan_(bounds), tell_(std::move(tell)) {}

LogStructuredStore::~LogStructuredStore() = default;

void LogStructuredStore::say(const std::string& line) const {
  if (tell_) tell_(line);
}

void LogStructuredStore::addBytes(std::uint64_t bytes) const {
  const std::lock_guard lock(mutex_);
  stats_.folderBytes += bytes;
  stats_.peakFolderBytes = std::max(stats_.peakFolderBytes, stats_.folderBytes);
}

void LogStructuredStore::lessBytes(std::uint64_t bytes) const {
  const std::lock_guard lock(mutex_);
  stats_.folderBytes -= std::min(stats_.folderBytes, bytes);
}

std::uint64_t LogStructuredStore::costOf(const WriteRequest& write) {
  return recordBytes(write.key.size(), write.value.size()) + hintEntryBytes(write.key.size());
}

StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& bounds) {
  if (write.key.empty()) return {StoreErrorCode::invalidArgument, "the key is empty"};
  if (write.key.size() > bounds.maxKeyBytes)
    return {StoreErrorCode::entryTooLarge,
            fmt::format("a key of {} bytes; {} are allowed", write.key.size(), bounds.maxKeyBytes)};
  if (write.value.size() > bounds.maxValueBytes)
    return {StoreErrorCode::entryTooLarge,
            fmt::format("a value of {} bytes; {} are allowed", write.value.size(), bounds.maxValueBytes)};
  return {};
}

std::vector<StoreStatus> LogStructuredStore::commit(std::span<const WriteRequest> writes, UnixTime now) {
  std::vector<StoreStatus> out(writes.size());
  for (std::size_t at = 0; at < writes.size();) {
    out[at] = opened_ ? validateWrite(writes[at], bounds_)
                      : StoreStatus{StoreErrorCode::closed, "the store is not open"};
    if (!out[at].isOk()) {
      ++at;
      continue;
    }
    if (active_ && plan_.isFull(active_->weight(), costOf(writes[at]))) seal(active_, false);
    // As many as fit into one segment go with one sync.
    const auto base = active_ ? active_->weight() : 2 * fileHeaderBytes;
    std::uint64_t cost = costOf(writes[at]);
    std::size_t end = at + 1;
    while (end < writes.size() && end - at < bounds_.maxCommitWrites &&
           validateWrite(writes[end], bounds_).isOk() && !plan_.isFull(base + cost, costOf(writes[end])))
      cost += costOf(writes[end++]);
    const auto outcome = commitPortion(writes.subspan(at, end - at), cost, now);
    for (; at < end; ++at) out[at] = outcome;
  }
  return out;
}

StoreStatus LogStructuredStore::commitPortion(std::span<const WriteRequest> writes, std::uint64_t cost,
                                              UnixTime now) {
  const auto refuse = [&](StoreStatus outcome) {
    const std::lock_guard lock(mutex_);
    (outcome.code == StoreErrorCode::storeFull ? stats_.rejectedWrites : stats_.failedWrites) +=
        writes.size();
    return outcome;
  };
  if (!makeRoom(cost + recordBytes(0, 0) + 2 * fileHeaderBytes, now))
    return refuse({StoreErrorCode::storeFull, "no room under disk_bytes, and none could be made"});
  DiskError error;
  // A sync that failed says that what was written before may be lost, and a second sync of the same file
  // can't be believed; so these go once more, into a new segment.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (auto outcome = ensureActive(); !outcome.isOk() || !active_) return refuse(std::move(outcome));
    error = writePortion(writes, now);
    if (!error) return {};
    if (active_) break;  // not a sync: the file is as it was before
  }
  return refuse({StoreErrorCode::ioError,
                 faultIn(active_ ? segmentFileName(active_->number()) : "a new segment", error)});
}

void LogStructuredStore::addWrite(const WriteRequest& write, std::span<const WriteRequest> before,
                                  UnixTime now, std::vector<Move>& moves) {
  const bool erase = write.erase || write.expiry <= now;
  if (erase) {
    const bool here =
        std::any_of(before.begin(), before.end(), [&](const WriteRequest& w) { return w.key == write.key; });
    const std::lock_guard lock(mutex_);
    const IndexEntry* entry = index_.find(write.key);
    // There is nothing to erase, unless a write that failed may have left something.
    if (!here && !uncertain_ && (!entry || entry->state == EntryState::deleted)) return;
  }
  Record record{erase ? RecordKind::erase : RecordKind::put, false,     nextSequence_,
                erase ? neverExpires : write.expiry,         write.key, {}};
  nextSequence_ = successor(nextSequence_);
  std::optional<std::string> packed;
  if (!erase) {
    if (write.value.size() >= bounds_.minCompressedValueBytes) packed = compress(write.value);
    record.isCompressed = packed.has_value();
    record.value = packed ? *packed : write.value;
  }
  moves.push_back({write.key, record.kind, record.sequence, record.expiry, active_->add(record)});
}

DiskError LogStructuredStore::writePortion(std::span<const WriteRequest> writes, UnixTime now) {
  std::vector<Move> moves;
  std::optional<ExpirySweep> sweep;
  {
    const std::lock_guard lock(mutex_);
    if (sweepDue_) sweep = {nextSequence_, sweptUntil_};
  }
  if (sweep) {
    active_->add({RecordKind::expirySweep, false, sweep->before, sweep->until, {}, {}});
    nextSequence_ = successor(nextSequence_);
  }
  for (std::size_t i = 0; i < writes.size(); ++i) addWrite(writes[i], writes.first(i), now, moves);
  if (moves.empty() && !sweep) return {};
  if (const auto error = counted(*active_, [&] { return active_->write(); })) {
    uncertain_ = true;
    if (active_->broken()) seal(active_, true);
    return error;
  }
  const auto error = active_->sync();
  if (error) {
    say(fmt::format("{}; it is not trusted any more, and what lives in it is written anew",
                    faultIn(segmentFileName(active_->number()), error)));
    uncertain_ = true;
    counted(*active_, [&] { return active_->takeBack(), 0; });
    seal(active_, true);
    const std::lock_guard lock(mutex_);
    ++stats_.failedSyncs;
    return error;
  }
  counted(*active_, [&] { return active_->waitUntilIdle(), 0; });
  if (sweep) addSweep(sweep->before, sweep->until);
  const std::lock_guard lock(mutex_);
  for (const Move& move : moves)
    index_.addRecord(move.key, move.kind, move.sequence, move.expiry, move.where);
  ++stats_.commits;
  for (const WriteRequest& write : writes) {
    ++(write.erase ? stats_.erases : stats_.puts);
    stats_.writtenBytes += costOf(write);
  }
  if (sweep && sweptUntil_ == sweep->until) sweepDue_ = false;
  return {};
}

void LogStructuredStore::addSweep(SequenceNumber before, UnixTime until) {
  while (!sweeps_.empty() && sweeps_.back().until <= until) sweeps_.pop_back();
  sweeps_.push_back({before, until});
  if (sweeps_.size() > sweepsMost) sweeps_.erase(sweeps_.begin());
}

// A clock that steps back before the next commit must not take back what was seen.
void LogStructuredStore::sawExpired(UnixTime now) const {
  sweptUntil_ = std::exchange(sweepDue_, true) ? std::max(sweptUntil_, now) : now;
}

bool LogStructuredStore::makeRoom(std::uint64_t cost, UnixTime now) {
  const auto folder = [this] {
    const std::lock_guard lock(mutex_);
    return stats_.folderBytes;
  };
  // Each round removes, copies or ages out something, and there is a bounded amount of that.
  while (!plan_.canWrite(folder(), cost)) {
    if (copying_) return false;  // a snapshot holds all segments in place
    if (runMaintenance(now)) continue;
    if (tidyFailed_ || !ageOut(plan_.minAgeOutBytes())) return false;
  }
  return true;
}

StoreStatus LogStructuredStore::ensureActive() { return active_ ? StoreStatus{} : makeSegment(active_); }

StoreStatus LogStructuredStore::makeSpare() {
  if (!spare_) {
    DiskError error;
    auto made = SegmentWriter::make(disk_, store_, nextNumber_, error);
    if (error) return {StoreErrorCode::ioError, faultIn(segmentFileName(nextNumber_), error)};
    nextNumber_ = successor(nextNumber_);
    addBytes(made->bytes() + made->hintEntryBytes());
    spare_ = std::move(made);
    spareNamed_ = false;
  }
  // Its name has to be on the disk before the manifest tells of it: a listed segment that is not there counts
  // as lost.
  if (spareNamed_) return {};
  if (const auto error = disk_.syncDirectory())
    return {StoreErrorCode::ioError, faultIn("the folder", error)};
  spareNamed_ = true;
  return {};
}

StoreStatus LogStructuredStore::makeSegment(std::unique_ptr<SegmentWriter>& into) {
  if (auto outcome = makeSpare(); !outcome.isOk()) return outcome;
  into = std::move(spare_);
  const auto error = writeManifest();
  if (!error) return {};
  spare_ = std::move(into);
  return {StoreErrorCode::ioError, faultIn(manifestFileName, error)};
}

void LogStructuredStore::seal(std::unique_ptr<SegmentWriter>& segment, bool isUntrusted) {
  counted(*segment, [&] { return segment->seal(), 0; });
  sealed_[segment->number()] = {segment->bytes(),
                                segment->hintEntryBytes(),
                                segment->committedBytes(),
                                segment->last(),
                                isUntrusted,
                                false,
                                {}};
  segment.reset();
}

Manifest LogStructuredStore::manifest(bool sealedOnly) const {
  Manifest out{store_, nextNumber_, nextSequence_, index_.floor(), sweeps_, {}};
  for (const auto& [number, segment] : sealed_)
    // A distrusted one is listed like one that is still written, so that the next start distrusts it too.
    out.segments.push_back({number, !segment.isUntrusted, segment.bytes, segment.last});
  for (const SegmentWriter* segment : {active_.get(), output_.get()})
    if (segment && !sealedOnly) out.segments.push_back({segment->number(), false, 0, {}});
  return out;
}

DiskError LogStructuredStore::writeManifest() {
  const auto bytes = encodeManifest(manifest(false));
  auto opened = disk_.create(manifestTemporaryFileName);
  if (opened.error) return opened.error;
  addBytes(bytes.size());
  const auto undo = [&](DiskError error) {
    disk_.remove(manifestTemporaryFileName);
    lessBytes(bytes.size());
    return error;
  };
  if (const auto error = writeAll(*opened.file, 0, bytes)) return undo(error);
  if (const auto error = opened.file->sync()) return undo(error);
  if (const auto error = disk_.rename(manifestTemporaryFileName, manifestFileName)) return undo(error);
  lessBytes(std::exchange(manifestBytes_, bytes.size()));
  return disk_.syncDirectory();
}

std::shared_ptr<File> LogStructuredStore::fileOf(SegmentNumber number, DiskError& error) const {
  const std::lock_guard lock(mutex_);
  if (const auto at = files_.find(number); at != files_.end()) {
    at->second.second = ++uses_;
    return at->second.first;
  }
  auto opened = disk_.open(segmentFileName(number));
  error = opened.error;
  if (error) return nullptr;
  if (files_.size() >= bounds_.maxOpenFiles)
    files_.erase(std::min_element(files_.begin(), files_.end(), [](const auto& a, const auto& b) {
      return a.second.second < b.second.second;
    }));
  files_[number] = {opened.file, ++uses_};
  return opened.file;
}

void LogStructuredStore::forgetFile(SegmentNumber number) {
  const std::lock_guard lock(mutex_);
  files_.erase(number);
}

ReadResult LogStructuredStore::get(std::string_view key, UnixTime now) const {
  // A compaction may move the record between the look into the index and the read; the old file stays
  // readable for whoever holds it, so more than a second look is rare.
  for (int attempt = 0; attempt < 4; ++attempt) {
    IndexEntry entry;
    {
      const std::lock_guard lock(mutex_);
      const IndexEntry* found = index_.find(key);
      if (!found || found->state == EntryState::deleted) return {};
      if (found->state == EntryState::lost)
        return {{}, neverExpires, {StoreErrorCode::corruptRecord, "its record can't be read"}};
      if (found->expiry <= now) {
        index_.expireKey(key);
        ++stats_.expiredEntries;
        sawExpired(now);
        return {};
      }
      entry = *found;
    }
    DiskError error;
    const auto file = fileOf(entry.location.segment, error);
    std::string bytes(entry.location.bytes, '\0');
    IoResult read{0, error};
    if (file) read = readAll(*file, entry.location.offset, bytes);
    if (!read.error) {
      const auto found =
          readRecord(std::string_view(bytes).substr(0, read.bytes),
                     {{FileKind::segment, store_, entry.location.segment}, entry.location.offset});
      if (found.state == RecordReadResult::State::complete && found.record.key == key &&
          found.record.sequence == entry.sequence) {
        if (!found.record.isCompressed) return {std::string(found.record.value), entry.expiry, {}};
        if (auto plain = decompress(found.record.value, unpackedMost))
          return {std::move(plain), entry.expiry, {}};
      }
    }
    const auto name = segmentFileName(entry.location.segment);
    {
      const std::lock_guard lock(mutex_);
      const IndexEntry* still = index_.find(key);
      if (!still || still->location != entry.location || still->sequence != entry.sequence) continue;
      if (read.error) return {{}, neverExpires, {StoreErrorCode::ioError, faultIn(name, read.error)}};
      ++stats_.lostRecords, stats_.lostBytes += entry.location.bytes;
      if (index_.markLost(key, entry.sequence, entry.location.segment))
        foundDamaged_.push_back({entry.location.segment, entry.key, entry.sequence});
    }
    say(fmt::format("{} at {}: a record of {} bytes is damaged; its key is not served any more", name,
                    entry.location.offset, entry.location.bytes));
    return {{},
            neverExpires,
            {StoreErrorCode::corruptRecord, fmt::format("{} at {}: damaged", name, entry.location.offset)}};
  }
  return {{}, neverExpires, {StoreErrorCode::ioError, "it moved too often while it was read"}};
}

namespace {

ScanPage pageOf(std::size_t most, UnixTime now,
                const std::function<void(const std::function<bool(const IndexEntry&)>&)>& walk) {
  ScanPage out;
  walk([&](const IndexEntry& entry) {
    if (entry.expiry <= now) return true;
    if (out.rows.size() == most) return out.hasMore = true, false;
    out.rows.push_back({entry.key, entry.expiry, entry.sequence, entry.location.bytes});
    return true;
  });
  return out;
}

}  // namespace

ScanPage LogStructuredStore::scanByKey(std::string_view from, bool beyond, std::size_t most,
                                       UnixTime now) const {
  const std::lock_guard lock(mutex_);
  return pageOf(most, now, [&](const auto& hear) { index_.scanByKey(from, beyond, hear); });
}

ScanPage LogStructuredStore::scanByAge(const std::optional<KeyIndex::AgeCursor>& behind, std::size_t most,
                                       UnixTime now) const {
  const std::lock_guard lock(mutex_);
  return pageOf(most, now, [&](const auto& hear) { index_.scanByAge(behind, hear); });
}

StoreOccupancy LogStructuredStore::facts() const {
  const std::lock_guard lock(mutex_);
  StoreOccupancy out{stats_.folderBytes, index_.bytes(), {}};
  for (const auto& [number, segment] : sealed_)
    out.segments.push_back({number, segment.bytes + segment.hintEntryBytes, index_.liveBytesIn(number), true,
                            segment.isUntrusted, segment.damaged});
  for (const SegmentWriter* segment : {active_.get(), output_.get()})
    if (segment)
      out.segments.push_back({segment->number(), segment->bytes() + segment->hintEntryBytes(),
                              index_.liveBytesIn(segment->number()), false, false, false});
  return out;
}

StoreStatistics LogStructuredStore::stats() const {
  const std::lock_guard lock(mutex_);
  StoreStatistics out = stats_;
  out.entries = index_.liveEntries();
  out.tombstones = index_.size() - out.entries;
  out.indexBytes = index_.bytes();
  out.liveBytes = index_.liveBytes();
  return out;
}

void LogStructuredStore::close() {
  if (!opened_) return;
  if (copying_) endSnapshot({StoreErrorCode::closed, "the store was closed"});
  job_.reset();
  if (output_) flushOutput(true);
  if (output_) seal(output_, false);
  if (active_) seal(active_, false);
  compactionEnded({StoreErrorCode::closed, "the store was closed"});
  if (const auto error = writeManifest())
    say(faultIn(manifestFileName, error) + "; the next start reads more");
  disk_.unlock();
  opened_ = false;
}

}  // namespace rainhook::store
