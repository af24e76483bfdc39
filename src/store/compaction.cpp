// What a LogStructuredStore does beside its commits, a step at a time: expiry, ageing out, compaction.
#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store.h"
#include "store/log_structured_store_jobs.h"

namespace rainhook::store {

namespace {
constexpr std::size_t expiredAStep = 512, leftAStep = 4096;
}

bool LogStructuredStore::runMaintenance(UnixTime now, bool writersWait) {
  if (!opened_) return false;
  tidyFailed_ = false;
  const bool expired = expire(now);
  const auto budget = plan_.step(writersWait);
  if (copying_) return copySnapshot(budget) || expired;
  const bool aged = ageOut(0);
  return makeAhead() || compact(budget) || expired || aged;
}

bool LogStructuredStore::expire(UnixTime now) {
  const std::lock_guard lock(mutex_);
  for (Damaged& found : std::exchange(foundDamaged_, {})) {
    if (const auto at = sealed_.find(found.segment); at != sealed_.end()) {
      at->second.damaged = true;
      at->second.lost.emplace_back(std::move(found.key), found.sequence);
    } else {
      foundDamaged_.push_back(std::move(found));  // its segment is still being written
    }
  }
  const auto count = index_.expireUpTo(now, expiredAStep);
  if (count == 0) return false;
  stats_.expiredEntries += count;
  sawExpired(now);
  return true;
}

// The next segment, before the one being written is full, so that the commit that fills it waits for less.
bool LogStructuredStore::makeAhead() {
  if (spareNamed_ && spare_) return false;
  if (!active_ || !plan_.isNearlyFull(active_->weight())) return false;
  return makeSpare().isOk();
}

bool LogStructuredStore::ageOut(std::uint64_t atLeast) {
  auto excess = plan_.excess(facts());
  excess.disk = std::max(excess.disk, atLeast);
  if (!excess.any()) return false;
  const std::lock_guard lock(mutex_);
  const auto floor = index_.floorToFree(excess.disk, excess.index);
  if (floor <= index_.floor()) return false;
  const auto count = index_.raiseFloor(floor);
  stats_.agedOutEntries += count;
  return true;
}

bool LogStructuredStore::compact(std::uint64_t budget) {
  if (!job_) {
    const auto next = nextInput();
    if (!next) return compactionEnded({}), false;
    if (!startJob(*next)) return false;
  }
  // Each that syncs is a step of its own, so that a commit waits for one of them at most.
  if (job_->stage == Job::Stage::removing) return removeInput();
  return job_->stage == Job::Stage::leaving ? leaveStep() : copyStep(budget);
}

std::optional<SegmentNumber> LogStructuredStore::nextInput() {
  if (const auto next = plan_.next(facts())) return next;
  for (; !asked_.empty(); asked_.pop_back())
    if (sealed_.contains(asked_.back())) {
      const auto next = asked_.back();
      asked_.pop_back();
      return next;
    }
  return std::nullopt;
}

bool LogStructuredStore::startJob(SegmentNumber next) {
  job_ = std::make_unique<Job>();
  job_->input = next;
  auto opened = disk_.open(segmentFileName(next));
  if (opened.error && opened.error.errorNumber != ENOENT)
    return dropJob(segmentFileName(next) + ": " + opened.error.message());
  if (opened.file) job_->scanner.emplace(opened.file, FileHeader{FileKind::segment, store_, next});
  return true;
}

// The input stays as it is, and so does all that was copied; the next start of the job begins anew.
bool LogStructuredStore::dropJob(const std::string& why) {
  job_.reset();
  if (output_) counted(*output_, [&] { return output_->takeBack(), 0; });
  if (output_ && output_->broken()) seal(output_, true);
  tidyFailed_ = true;
  say("compaction rests: " + why);
  compactionEnded({StoreErrorCode::ioError, why});
  return false;
}

bool LogStructuredStore::copyStep(std::uint64_t budget) {
  const auto until = job_->scanner ? job_->scanner->position() + budget : 0;
  while (job_->scanner && job_->scanner->position() < until) {
    const auto step = job_->scanner->next();
    if (step.what == RecordScanner::Step::What::end || step.offset >= sealed_[job_->input].committedBytes) {
      job_->scanner.reset();
      break;
    }
    // Damage was told of at the start, or nobody was promised what stood there.
    if (step.what != RecordScanner::Step::What::record) continue;
    const Record& record = step.record;
    if (record.kind != RecordKind::put && record.kind != RecordKind::erase) continue;
    job_->records.emplace_back(std::string(record.key), record.sequence);
    const RecordLocation where{job_->input, static_cast<std::uint32_t>(step.offset),
                               static_cast<std::uint32_t>(step.bytes)};
    if (!copyRecord(record, where)) return false;
  }
  if (job_->scanner) return flushOutput(false);
  if (!copyLost() || !flushOutput(true)) return false;
  job_->stage = Job::Stage::removing;
  return true;
}

bool LogStructuredStore::copyRecord(const Record& record, const RecordLocation& where) {
  bool living = false;
  {
    const std::lock_guard lock(mutex_);
    const IndexEntry* entry = index_.find(record.key);
    if (!entry || entry->sequence != record.sequence || entry->location != where) return true;
    living = entry->state == EntryState::live;
    // Gone, and nothing else of it on disk: it may be forgotten.
    if (!living && entry->records <= 1) return true;
  }
  if (living) return putOut(record);
  return putOut({RecordKind::erase, false, record.sequence, neverExpires, record.key, {}});
}

// What can't be read any more, but still keeps older records of its key from coming back.
bool LogStructuredStore::copyLost() {
  for (const auto& [key, sequence] : sealed_[job_->input].lost) {
    {
      const std::lock_guard lock(mutex_);
      const IndexEntry* entry = index_.find(key);
      if (!entry || entry->state != EntryState::lost || entry->sequence != sequence) continue;
    }
    if (!putOut({RecordKind::erase, false, sequence, neverExpires, key, {}})) return false;
  }
  return true;
}

bool LogStructuredStore::putOut(const Record& record) {
  const auto cost = recordBytes(record.key.size(), record.value.size()) + hintEntryBytes(record.key.size());
  if (output_ && plan_.isFull(output_->weight(), cost)) {
    if (!flushOutput(true)) return false;
    seal(output_, false);
  }
  if (!output_) {
    if (const auto outcome = makeSegment(output_); !outcome.isOk()) return dropJob(outcome.message);
  }
  std::uint64_t folder = 0;
  {
    const std::lock_guard lock(mutex_);
    folder = stats_.folderBytes;
  }
  const auto unwritten = output_->weight() - output_->bytes() - output_->hintEntryBytes();
  if (!plan_.canCopy(folder, unwritten + cost)) return dropJob("no room under disk_bytes for its output");
  job_->moves.push_back(
      {std::string(record.key), record.kind, record.sequence, record.expiry, output_->add(record)});
  return true;
}

bool LogStructuredStore::flushOutput(bool sync) {
  if (!output_) return true;
  const auto name = segmentFileName(output_->number());
  if (const auto error = counted(*output_, [&] { return output_->write(); }))
    return dropJob(name + ": " + error.message());
  counted(*output_, [&] { return output_->waitUntilIdle(), 0; });
  if (job_) {
    const std::lock_guard lock(mutex_);
    for (const Move& move : job_->moves) {
      index_.addCopy(move.key, move.sequence, move.where);
      stats_.compactedBytes += move.where.bytes + hintEntryBytes(move.key.size());
    }
    job_->moves.clear();
  }
  if (!sync) return output_->file()->startWriteback(), true;
  const auto error = output_->sync();
  if (!error) return true;
  // Its input has to stay until all of this has been written anew, and the plan takes this one first.
  seal(output_, true);
  {
    const std::lock_guard lock(mutex_);
    ++stats_.failedSyncs;
  }
  return dropJob(name + ": " + error.message());
}

bool LogStructuredStore::removeInput() {
  const auto number = job_->input;
  // Some of it may have been copied into one whose sync failed; the plan takes that one first.
  const auto isUntrusted = [](const auto& pair) { return pair.second.isUntrusted; };
  if (!sealed_[number].isUntrusted && std::any_of(sealed_.begin(), sealed_.end(), isUntrusted))
    return job_.reset(), true;
  auto input = sealed_.extract(number);
  if (const auto error = writeManifest()) {
    sealed_.insert(std::move(input));
    return dropJob(std::string(manifestFileName) + ": " + error.message());
  }
  if (!disk_.remove(segmentFileName(number))) lessBytes(input.mapped().bytes);
  if (!disk_.remove(hintFileName(number))) lessBytes(input.mapped().hintEntryBytes);
  forgetFile(number);  // after its name, or a reader could open it once more and keep its room
  // No sync: what a crash leaves of them is not listed, and goes at the next start.
  job_->stage = Job::Stage::leaving;
  const std::lock_guard lock(mutex_);
  ++stats_.compactions;
  return true;
}

bool LogStructuredStore::leaveStep() {
  {
    const std::lock_guard lock(mutex_);
    const auto end = std::min(job_->records.size(), job_->left + leftAStep);
    for (; job_->left < end; ++job_->left)
      index_.removeRecord(job_->records[job_->left].first, job_->records[job_->left].second);
  }
  if (job_->left == job_->records.size()) job_.reset();
  return true;
}

void LogStructuredStore::startCompaction(std::function<void(StoreStatus)> ended) {
  if (active_) seal(active_, false);
  if (output_ && !job_ && flushOutput(true)) seal(output_, false);
  for (const SegmentInfo& segment : facts().segments)
    if (plan_.hasReclaimableBytes(segment)) asked_.push_back(segment.number);
  asking_.push_back(std::move(ended));
}

void LogStructuredStore::compactionEnded(const StoreStatus& outcome) {
  asked_.clear();
  for (const auto& ended : std::exchange(asking_, {}))
    if (ended) ended(outcome);
}

}  // namespace rainhook::store
