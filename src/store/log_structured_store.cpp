#include "store/log_structured_store.h"

#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store_jobs.h"

namespace rainhook::store {
namespace {

constexpr std::size_t unpackedMost = std::size_t{256} << 20;  // no value is longer, whatever the bounds were
constexpr std::size_t sweepsMost =
    64;  // so many steps back of the clock are remembered; beyond, the oldest goes

std::string faultIn(const std::string& name, const Fault& fault) { return name + ": " + fault.text(); }

}  // namespace

Book::Book(Disk& disk, const StoreBounds& bounds, Tell tell)
    : disk_(disk), bounds_(bounds), plan_(bounds), tell_(std::move(tell)) {}

Book::~Book() = default;

void Book::say(const std::string& line) const {
  if (tell_) tell_(line);
}

void Book::addBytes(std::uint64_t bytes) const {
  const std::lock_guard lock(mutex_);
  stats_.folderBytes += bytes;
  stats_.folderMost = std::max(stats_.folderMost, stats_.folderBytes);
}

void Book::lessBytes(std::uint64_t bytes) const {
  const std::lock_guard lock(mutex_);
  stats_.folderBytes -= std::min(stats_.folderBytes, bytes);
}

std::uint64_t Book::costOf(const Write& write) {
  return recordBytes(write.key.size(), write.value.size()) + hintBytes(write.key.size());
}

Outcome refusalOf(const Write& write, const StoreBounds& bounds) {
  if (write.key.empty()) return {Outcome::Code::misused, "the key is empty"};
  if (write.key.size() > bounds.longestKey)
    return {Outcome::Code::tooLong,
            fmt::format("a key of {} bytes; {} are allowed", write.key.size(), bounds.longestKey)};
  if (write.value.size() > bounds.longestValue)
    return {Outcome::Code::tooLong,
            fmt::format("a value of {} bytes; {} are allowed", write.value.size(), bounds.longestValue)};
  return {};
}

std::vector<Outcome> Book::commit(std::span<const Write> writes, UnixTime now) {
  std::vector<Outcome> out(writes.size());
  for (std::size_t at = 0; at < writes.size();) {
    out[at] =
        opened_ ? refusalOf(writes[at], bounds_) : Outcome{Outcome::Code::closed, "the store is not open"};
    if (!out[at].ok()) {
      ++at;
      continue;
    }
    if (active_ && plan_.isFull(active_->weight(), costOf(writes[at]))) seal(active_, false);
    // As many as fit into one segment go with one sync.
    const auto base = active_ ? active_->weight() : 2 * headBytes;
    std::uint64_t cost = costOf(writes[at]);
    std::size_t end = at + 1;
    while (end < writes.size() && end - at < bounds_.commitMost && refusalOf(writes[end], bounds_).ok() &&
           !plan_.isFull(base + cost, costOf(writes[end])))
      cost += costOf(writes[end++]);
    const auto outcome = commitPortion(writes.subspan(at, end - at), cost, now);
    for (; at < end; ++at) out[at] = outcome;
  }
  return out;
}

Outcome Book::commitPortion(std::span<const Write> writes, std::uint64_t cost, UnixTime now) {
  const auto refuse = [&](Outcome outcome) {
    const std::lock_guard lock(mutex_);
    (outcome.code == Outcome::Code::full ? stats_.refused : stats_.failed) += writes.size();
    return outcome;
  };
  if (!makeRoom(cost + recordBytes(0, 0) + 2 * headBytes, now))
    return refuse({Outcome::Code::full, "no room under disk_bytes, and none could be made"});
  Fault fault;
  // A sync that failed says that what was written before may be lost, and a second sync of the same file
  // can't be believed; so these go once more, into a new segment.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (auto outcome = ensureActive(); !outcome.ok() || !active_) return refuse(std::move(outcome));
    fault = writePortion(writes, now);
    if (!fault) return {};
    if (active_) break;  // not a sync: the file is as it was before
  }
  return refuse(
      {Outcome::Code::failed, faultIn(active_ ? segmentName(active_->number()) : "a new segment", fault)});
}

void Book::addWrite(const Write& write, std::span<const Write> before, UnixTime now,
                    std::vector<Move>& moves) {
  const bool erase = write.erase || write.goodUntil <= now;
  if (erase) {
    const bool here =
        std::any_of(before.begin(), before.end(), [&](const Write& w) { return w.key == write.key; });
    const std::lock_guard lock(mutex_);
    const Entry* entry = index_.find(write.key);
    // There is nothing to erase, unless a write that failed may have left something.
    if (!here && !uncertain_ && (!entry || entry->state == State::gone)) return;
  }
  Record record{erase ? Kind::erase : Kind::put,   false,     nextSequence_,
                erase ? forever : write.goodUntil, write.key, {}};
  nextSequence_ = after(nextSequence_);
  std::optional<std::string> packed;
  if (!erase) {
    if (write.value.size() >= bounds_.compressFrom) packed = pack(write.value);
    record.packed = packed.has_value();
    record.value = packed ? *packed : write.value;
  }
  moves.push_back({write.key, record.kind, record.sequence, record.goodUntil, active_->add(record)});
}

Fault Book::writePortion(std::span<const Write> writes, UnixTime now) {
  std::vector<Move> moves;
  std::optional<Sweep> sweep;
  {
    const std::lock_guard lock(mutex_);
    if (sweepDue_) sweep = {nextSequence_, sweptUntil_};
  }
  if (sweep) {
    active_->add({Kind::sweep, false, sweep->before, sweep->until, {}, {}});
    nextSequence_ = after(nextSequence_);
  }
  for (std::size_t i = 0; i < writes.size(); ++i) addWrite(writes[i], writes.first(i), now, moves);
  if (moves.empty() && !sweep) return {};
  if (const auto fault = counted(*active_, [&] { return active_->write(); })) {
    uncertain_ = true;
    if (active_->broken()) seal(active_, true);
    return fault;
  }
  const auto fault = active_->sync();
  if (fault) {
    say(fmt::format("{}; it is not trusted any more, and what lives in it is written anew",
                    faultIn(segmentName(active_->number()), fault)));
    uncertain_ = true;
    counted(*active_, [&] { return active_->takeBack(), 0; });
    seal(active_, true);
    const std::lock_guard lock(mutex_);
    ++stats_.failedSyncs;
    return fault;
  }
  counted(*active_, [&] { return active_->settle(), 0; });
  if (sweep) addSweep(sweep->before, sweep->until);
  const std::lock_guard lock(mutex_);
  for (const Move& move : moves) index_.seen(move.key, move.kind, move.sequence, move.goodUntil, move.where);
  ++stats_.commits;
  for (const Write& write : writes) {
    ++(write.erase ? stats_.erases : stats_.puts);
    stats_.putBytes += costOf(write);
  }
  if (sweep && sweptUntil_ == sweep->until) sweepDue_ = false;
  return {};
}

void Book::addSweep(Sequence before, UnixTime until) {
  while (!sweeps_.empty() && sweeps_.back().until <= until) sweeps_.pop_back();
  sweeps_.push_back({before, until});
  if (sweeps_.size() > sweepsMost) sweeps_.erase(sweeps_.begin());
}

// A clock that steps back before the next commit must not take back what was seen.
void Book::sawExpired(UnixTime now) const {
  sweptUntil_ = std::exchange(sweepDue_, true) ? std::max(sweptUntil_, now) : now;
}

bool Book::makeRoom(std::uint64_t cost, UnixTime now) {
  const auto folder = [this] {
    const std::lock_guard lock(mutex_);
    return stats_.folderBytes;
  };
  // Each round removes, copies or ages out something, and there is a bounded amount of that.
  while (!plan_.mayWrite(folder(), cost)) {
    if (copying_) return false;  // a snapshot holds all segments in place
    if (tidy(now)) continue;
    if (tidyFailed_ || !ageOut(plan_.ageOutAtLeast())) return false;
  }
  return true;
}

Outcome Book::ensureActive() { return active_ ? Outcome{} : makeSegment(active_); }

Outcome Book::makeSpare() {
  if (!spare_) {
    Fault fault;
    auto made = Segment::make(disk_, store_, nextNumber_, fault);
    if (fault) return {Outcome::Code::failed, faultIn(segmentName(nextNumber_), fault)};
    nextNumber_ = after(nextNumber_);
    addBytes(made->bytes() + made->hintBytes());
    spare_ = std::move(made);
    spareNamed_ = false;
  }
  // Its name has to be on the disk before the manifest tells of it: a listed segment that is not there counts
  // as lost.
  if (spareNamed_) return {};
  if (const auto fault = disk_.syncFolder()) return {Outcome::Code::failed, faultIn("the folder", fault)};
  spareNamed_ = true;
  return {};
}

Outcome Book::makeSegment(std::unique_ptr<Segment>& into) {
  if (auto outcome = makeSpare(); !outcome.ok()) return outcome;
  into = std::move(spare_);
  const auto fault = writeManifest();
  if (!fault) return {};
  spare_ = std::move(into);
  return {Outcome::Code::failed, faultIn(manifestName, fault)};
}

void Book::seal(std::unique_ptr<Segment>& segment, bool distrusted) {
  counted(*segment, [&] { return segment->seal(), 0; });
  sealed_[segment->number()] = {
      segment->bytes(), segment->hintBytes(), segment->settled(), segment->last(), distrusted, false, {}};
  segment.reset();
}

Manifest Book::manifest(bool sealedOnly) const {
  Manifest out{store_, nextNumber_, nextSequence_, index_.floor(), sweeps_, {}};
  for (const auto& [number, segment] : sealed_)
    // A distrusted one is listed like one that is still written, so that the next start distrusts it too.
    out.segments.push_back({number, !segment.distrusted, segment.bytes, segment.last});
  for (const Segment* segment : {active_.get(), output_.get()})
    if (segment && !sealedOnly) out.segments.push_back({segment->number(), false, 0, {}});
  return out;
}

Fault Book::writeManifest() {
  const auto bytes = encodeManifest(manifest(false));
  auto opened = disk_.create(manifestTemporary);
  if (opened.fault) return opened.fault;
  addBytes(bytes.size());
  const auto undo = [&](Fault fault) {
    disk_.remove(manifestTemporary);
    lessBytes(bytes.size());
    return fault;
  };
  if (const auto fault = writeAll(*opened.file, 0, bytes)) return undo(fault);
  if (const auto fault = opened.file->sync()) return undo(fault);
  if (const auto fault = disk_.rename(manifestTemporary, manifestName)) return undo(fault);
  lessBytes(std::exchange(manifestBytes_, bytes.size()));
  return disk_.syncFolder();
}

std::shared_ptr<File> Book::fileOf(SegmentNumber number, Fault& fault) const {
  const std::lock_guard lock(mutex_);
  if (const auto at = files_.find(number); at != files_.end()) {
    at->second.second = ++uses_;
    return at->second.first;
  }
  auto opened = disk_.open(segmentName(number));
  fault = opened.fault;
  if (fault) return nullptr;
  if (files_.size() >= bounds_.openFiles)
    files_.erase(std::min_element(files_.begin(), files_.end(), [](const auto& a, const auto& b) {
      return a.second.second < b.second.second;
    }));
  files_[number] = {opened.file, ++uses_};
  return opened.file;
}

void Book::forgetFile(SegmentNumber number) {
  const std::lock_guard lock(mutex_);
  files_.erase(number);
}

Got Book::get(std::string_view key, UnixTime now) const {
  // A compaction may move the record between the look into the index and the read; the old file stays
  // readable for whoever holds it, so more than a second look is rare.
  for (int attempt = 0; attempt < 4; ++attempt) {
    Entry entry;
    {
      const std::lock_guard lock(mutex_);
      const Entry* found = index_.find(key);
      if (!found || found->state == State::gone) return {};
      if (found->state == State::lost)
        return {{}, forever, {Outcome::Code::damaged, "its record can't be read"}};
      if (found->goodUntil <= now) {
        index_.expire(key);
        ++stats_.expired;
        sawExpired(now);
        return {};
      }
      entry = *found;
    }
    Fault fault;
    const auto file = fileOf(entry.where.segment, fault);
    std::string bytes(entry.where.bytes, '\0');
    Transfer read{0, fault};
    if (file) read = readAll(*file, entry.where.offset, bytes);
    if (!read.fault) {
      const auto found = readRecord(std::string_view(bytes).substr(0, read.bytes),
                                    {{FileKind::segment, store_, entry.where.segment}, entry.where.offset});
      if (found.found == RecordRead::Found::whole && found.record.key == key &&
          found.record.sequence == entry.sequence) {
        if (!found.record.packed) return {std::string(found.record.value), entry.goodUntil, {}};
        if (auto plain = unpack(found.record.value, unpackedMost))
          return {std::move(plain), entry.goodUntil, {}};
      }
    }
    const auto name = segmentName(entry.where.segment);
    {
      const std::lock_guard lock(mutex_);
      const Entry* still = index_.find(key);
      if (!still || still->where != entry.where || still->sequence != entry.sequence) continue;
      if (read.fault) return {{}, forever, {Outcome::Code::failed, faultIn(name, read.fault)}};
      ++stats_.lostRecords, stats_.lostBytes += entry.where.bytes;
      if (index_.lost(key, entry.sequence, entry.where.segment))
        foundDamaged_.push_back({entry.where.segment, entry.key, entry.sequence});
    }
    say(fmt::format("{} at {}: a record of {} bytes is damaged; its key is not served any more", name,
                    entry.where.offset, entry.where.bytes));
    return {
        {}, forever, {Outcome::Code::damaged, fmt::format("{} at {}: damaged", name, entry.where.offset)}};
  }
  return {{}, forever, {Outcome::Code::failed, "it moved too often while it was read"}};
}

namespace {

Page pageOf(std::size_t most, UnixTime now,
            const std::function<void(const std::function<bool(const Entry&)>&)>& walk) {
  Page out;
  walk([&](const Entry& entry) {
    if (entry.goodUntil <= now) return true;
    if (out.rows.size() == most) return out.more = true, false;
    out.rows.push_back({entry.key, entry.goodUntil, entry.sequence, entry.where.bytes});
    return true;
  });
  return out;
}

}  // namespace

Page Book::byKey(std::string_view from, bool beyond, std::size_t most, UnixTime now) const {
  const std::lock_guard lock(mutex_);
  return pageOf(most, now, [&](const auto& hear) { index_.byKey(from, beyond, hear); });
}

Page Book::byAge(const std::optional<Index::Behind>& behind, std::size_t most, UnixTime now) const {
  const std::lock_guard lock(mutex_);
  return pageOf(most, now, [&](const auto& hear) { index_.byAge(behind, hear); });
}

FolderFacts Book::facts() const {
  const std::lock_guard lock(mutex_);
  FolderFacts out{stats_.folderBytes, index_.bytes(), {}};
  for (const auto& [number, segment] : sealed_)
    out.segments.push_back({number, segment.bytes + segment.hintBytes, index_.living(number), true,
                            segment.distrusted, segment.damaged});
  for (const Segment* segment : {active_.get(), output_.get()})
    if (segment)
      out.segments.push_back({segment->number(), segment->bytes() + segment->hintBytes(),
                              index_.living(segment->number()), false, false, false});
  return out;
}

Stats Book::stats() const {
  const std::lock_guard lock(mutex_);
  Stats out = stats_;
  out.entries = index_.livingEntries();
  out.gone = index_.size() - out.entries;
  out.indexBytes = index_.bytes();
  out.livingBytes = index_.livingBytes();
  return out;
}

void Book::close() {
  if (!opened_) return;
  if (copying_) endSnapshot({Outcome::Code::closed, "the store was closed"});
  job_.reset();
  if (output_) flushOutput(true);
  if (output_) seal(output_, false);
  if (active_) seal(active_, false);
  compactionEnded({Outcome::Code::closed, "the store was closed"});
  if (const auto fault = writeManifest()) say(faultIn(manifestName, fault) + "; the next start reads more");
  disk_.unlock();
  opened_ = false;
}

}  // namespace rainhook::store
