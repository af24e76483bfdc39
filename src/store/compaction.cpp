// What a Book does beside its commits, a step at a time: expiry, ageing out, compaction.
#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store.h"
#include "store/log_structured_store_jobs.h"

namespace rainhook::store {

namespace {
constexpr std::size_t expiredAStep = 512, leftAStep = 4096;
}

bool Book::tidy(UnixTime now, bool writersWait) {
  if (!opened_) return false;
  tidyFailed_ = false;
  const bool expired = expire(now);
  const auto budget = plan_.step(writersWait);
  if (copying_) return copySnapshot(budget) || expired;
  const bool aged = ageOut(0);
  return makeAhead() || compact(budget) || expired || aged;
}

bool Book::expire(UnixTime now) {
  const std::lock_guard lock(mutex_);
  for (Damaged& found : std::exchange(foundDamaged_, {})) {
    if (const auto at = sealed_.find(found.segment); at != sealed_.end()) {
      at->second.damaged = true;
      at->second.lost.emplace_back(std::move(found.key), found.sequence);
    } else {
      foundDamaged_.push_back(std::move(found));  // its segment is still being written
    }
  }
  const auto count = index_.expireUntil(now, expiredAStep);
  if (count == 0) return false;
  stats_.expired += count;
  sawExpired(now);
  return true;
}

// The next segment, before the one being written is full, so that the commit that fills it waits for less.
bool Book::makeAhead() {
  if (spareNamed_ && spare_) return false;
  if (!active_ || !plan_.soonFull(active_->weight())) return false;
  return makeSpare().ok();
}

bool Book::ageOut(std::uint64_t atLeast) {
  auto excess = plan_.excess(facts());
  excess.disk = std::max(excess.disk, atLeast);
  if (!excess.any()) return false;
  const std::lock_guard lock(mutex_);
  const auto floor = index_.floorFor(excess.disk, excess.index);
  if (floor <= index_.floor()) return false;
  const auto count = index_.raiseFloor(floor);
  stats_.agedOut += count;
  return true;
}

bool Book::compact(std::uint64_t budget) {
  if (!job_) {
    const auto next = nextInput();
    if (!next) return compactionEnded({}), false;
    if (!startJob(*next)) return false;
  }
  // Each that syncs is a step of its own, so that a commit waits for one of them at most.
  if (job_->stage == Job::Stage::removing) return removeInput();
  return job_->stage == Job::Stage::leaving ? leaveStep() : copyStep(budget);
}

std::optional<SegmentNumber> Book::nextInput() {
  if (const auto next = plan_.next(facts())) return next;
  for (; !asked_.empty(); asked_.pop_back())
    if (sealed_.contains(asked_.back())) {
      const auto next = asked_.back();
      asked_.pop_back();
      return next;
    }
  return std::nullopt;
}

bool Book::startJob(SegmentNumber next) {
  job_ = std::make_unique<Job>();
  job_->input = next;
  auto opened = disk_.open(segmentName(next));
  if (opened.fault && opened.fault.code != ENOENT)
    return dropJob(segmentName(next) + ": " + opened.fault.text());
  if (opened.file) job_->scanner.emplace(opened.file, FileHead{FileKind::segment, store_, next});
  return true;
}

// The input stays as it is, and so does all that was copied; the next start of the job begins anew.
bool Book::dropJob(const std::string& why) {
  job_.reset();
  if (output_) counted(*output_, [&] { return output_->takeBack(), 0; });
  if (output_ && output_->broken()) seal(output_, true);
  tidyFailed_ = true;
  say("compaction rests: " + why);
  compactionEnded({Outcome::Code::failed, why});
  return false;
}

bool Book::copyStep(std::uint64_t budget) {
  const auto until = job_->scanner ? job_->scanner->position() + budget : 0;
  while (job_->scanner && job_->scanner->position() < until) {
    const auto step = job_->scanner->next();
    if (step.what == Scanner::Step::What::end || step.offset >= sealed_[job_->input].settled) {
      job_->scanner.reset();
      break;
    }
    // Damage was told of at the start, or nobody was promised what stood there.
    if (step.what != Scanner::Step::What::record) continue;
    const Record& record = step.record;
    if (record.kind != Kind::put && record.kind != Kind::erase) continue;
    job_->records.emplace_back(std::string(record.key), record.sequence);
    const Where where{job_->input, static_cast<std::uint32_t>(step.offset),
                      static_cast<std::uint32_t>(step.bytes)};
    if (!copyRecord(record, where)) return false;
  }
  if (job_->scanner) return flushOutput(false);
  if (!copyLost() || !flushOutput(true)) return false;
  job_->stage = Job::Stage::removing;
  return true;
}

bool Book::copyRecord(const Record& record, const Where& where) {
  bool living = false;
  {
    const std::lock_guard lock(mutex_);
    const Entry* entry = index_.find(record.key);
    if (!entry || entry->sequence != record.sequence || entry->where != where) return true;
    living = entry->state == State::living;
    // Gone, and nothing else of it on disk: it may be forgotten.
    if (!living && entry->records <= 1) return true;
  }
  if (living) return putOut(record);
  return putOut({Kind::erase, false, record.sequence, forever, record.key, {}});
}

// What can't be read any more, but still keeps older records of its key from coming back.
bool Book::copyLost() {
  for (const auto& [key, sequence] : sealed_[job_->input].lost) {
    {
      const std::lock_guard lock(mutex_);
      const Entry* entry = index_.find(key);
      if (!entry || entry->state != State::lost || entry->sequence != sequence) continue;
    }
    if (!putOut({Kind::erase, false, sequence, forever, key, {}})) return false;
  }
  return true;
}

bool Book::putOut(const Record& record) {
  const auto cost = recordBytes(record.key.size(), record.value.size()) + hintBytes(record.key.size());
  if (output_ && plan_.isFull(output_->weight(), cost)) {
    if (!flushOutput(true)) return false;
    seal(output_, false);
  }
  if (!output_) {
    if (const auto outcome = makeSegment(output_); !outcome.ok()) return dropJob(outcome.what);
  }
  std::uint64_t folder = 0;
  {
    const std::lock_guard lock(mutex_);
    folder = stats_.folderBytes;
  }
  const auto unwritten = output_->weight() - output_->bytes() - output_->hintBytes();
  if (!plan_.mayCopy(folder, unwritten + cost)) return dropJob("no room under disk_bytes for its output");
  job_->moves.push_back(
      {std::string(record.key), record.kind, record.sequence, record.goodUntil, output_->add(record)});
  return true;
}

bool Book::flushOutput(bool sync) {
  if (!output_) return true;
  const auto name = segmentName(output_->number());
  if (const auto fault = counted(*output_, [&] { return output_->write(); }))
    return dropJob(name + ": " + fault.text());
  counted(*output_, [&] { return output_->settle(), 0; });
  if (job_) {
    const std::lock_guard lock(mutex_);
    for (const Move& move : job_->moves) {
      index_.copied(move.key, move.sequence, move.where);
      stats_.compactedBytes += move.where.bytes + hintBytes(move.key.size());
    }
    job_->moves.clear();
  }
  if (!sync) return output_->file()->willSync(), true;
  const auto fault = output_->sync();
  if (!fault) return true;
  // Its input has to stay until all of this has been written anew, and the plan takes this one first.
  seal(output_, true);
  {
    const std::lock_guard lock(mutex_);
    ++stats_.failedSyncs;
  }
  return dropJob(name + ": " + fault.text());
}

bool Book::removeInput() {
  const auto number = job_->input;
  // Some of it may have been copied into one whose sync failed; the plan takes that one first.
  const auto distrusted = [](const auto& pair) { return pair.second.distrusted; };
  if (!sealed_[number].distrusted && std::any_of(sealed_.begin(), sealed_.end(), distrusted))
    return job_.reset(), true;
  auto input = sealed_.extract(number);
  if (const auto fault = writeManifest()) {
    sealed_.insert(std::move(input));
    return dropJob(std::string(manifestName) + ": " + fault.text());
  }
  if (!disk_.remove(segmentName(number))) lessBytes(input.mapped().bytes);
  if (!disk_.remove(hintName(number))) lessBytes(input.mapped().hintBytes);
  forgetFile(number);  // after its name, or a reader could open it once more and keep its room
  // No sync: what a crash leaves of them is not listed, and goes at the next start.
  job_->stage = Job::Stage::leaving;
  const std::lock_guard lock(mutex_);
  ++stats_.compactions;
  return true;
}

bool Book::leaveStep() {
  {
    const std::lock_guard lock(mutex_);
    const auto end = std::min(job_->records.size(), job_->left + leftAStep);
    for (; job_->left < end; ++job_->left)
      index_.left(job_->records[job_->left].first, job_->records[job_->left].second);
  }
  if (job_->left == job_->records.size()) job_.reset();
  return true;
}

void Book::beginCompaction(std::function<void(Outcome)> ended) {
  if (active_) seal(active_, false);
  if (output_ && !job_ && flushOutput(true)) seal(output_, false);
  for (const SegmentFacts& segment : facts().segments)
    if (plan_.holdsDead(segment)) asked_.push_back(segment.number);
  asking_.push_back(std::move(ended));
}

void Book::compactionEnded(const Outcome& outcome) {
  asked_.clear();
  for (const auto& ended : std::exchange(asking_, {}))
    if (ended) ended(outcome);
}

}  // namespace rainhook::store
