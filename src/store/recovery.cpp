// Recovery starts from whatever a crash, a fault of the disk or a stranger left. Hints serve twice: a whole
// one saves reading its segment, and any tells of records that can't be read any more, whose keys then serve
// nothing rather than something older.
#include "store/recovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <map>

namespace rainhook::store {
namespace {

// What a file says of itself at its beginning.
HeadRead headOf(Disk& disk, const std::string& name) {
  const auto opened = disk.open(name);
  if (opened.fault) return {{}, HeadFault::cut};
  std::string bytes(headBytes, '\0');
  const auto read = readAll(*opened.file, 0, bytes);
  return decodeHead(std::string_view(bytes).substr(0, read.bytes));
}

// No matter of what the files hold: the same start works once there are descriptors and memory again.
bool ofTheProcess(const Fault& fault) {
  return fault.code == EMFILE || fault.code == ENFILE || fault.code == ENOMEM;
}

}  // namespace

Outcome Book::open(std::uint64_t seed) { return Recovery(*this).run(seed); }

Outcome Book::Recovery::run(std::uint64_t seed) {
  if (auto outcome = list(); !outcome.ok()) return outcome;
  readManifest();
  chooseId(seed);
  sortOut();
  if (manifest_) {
    book_.nextNumber_ = manifest_->nextNumber, book_.nextSequence_ = manifest_->nextSequence;
    book_.sweeps_ = manifest_->sweeps;
    book_.index_.raiseFloor(manifest_->floor);
    for (const auto& segment : manifest_->segments)
      if (!found_.contains(segment.number)) {
        doubt(segment);
        book_.say(fmt::format("{} and its hint are gone: what is older is not served",
                              segmentName(segment.number)));
      }
  }
  for (const auto& [number, found] : found_)
    if (found.hint) book_.disk_.willRead(hintName(number));
  for (const auto& [number, found] : found_) {
    book_.nextNumber_ = std::max(book_.nextNumber_, after(number));
    if (auto outcome = recover(number, found); !outcome.ok()) return outcome;
  }
  if (highest_ >= book_.nextSequence_) book_.nextSequence_ = after(highest_);
  suppressLost();
  report();
  book_.index_.orderByAge();
  if (doubt_) book_.stats_.doubted = book_.index_.raiseFloor(std::min(doubtBelow_, book_.nextSequence_));
  sweep();
  book_.opened_ = true;
  if (const auto fault = book_.writeManifest())
    book_.say(fmt::format("{}: {}; nothing can be written until it can", manifestName, fault.text()));
  return {};
}

// Nobody can say what of the older records this one had erased or written over.
void Book::Recovery::doubt(const Manifest::Listed& gone) {
  ++book_.stats_.lostFiles;
  book_.stats_.lostBytes += gone.bytes;
  doubt_ = true;
  doubtBelow_ = gone.sealed ? std::max(doubtBelow_, after(gone.last)) : Sequence{~std::uint64_t{0}};
}

Outcome Book::Recovery::list() {
  if (const auto locked = book_.disk_.lock(lockName); locked.fault) {
    if (locked.fault.code != EWOULDBLOCK)
      return {Outcome::Code::failed, fmt::format("{}: {}", lockName, locked.fault.text())};
    return {Outcome::Code::locked, fmt::format("the store is open in process {}",
                                               locked.holder.empty() ? "(unknown)" : locked.holder)};
  }
  std::vector<Disk::Listed> there;
  if (const auto fault = book_.disk_.list(there))
    return {Outcome::Code::failed, "the folder: " + fault.text()};
  for (const auto& file : there)
    if (file.name == incompleteName)
      return {Outcome::Code::misused,
              "the folder holds a snapshot that was cut short; remove it and make another"};
  for (const auto& file : there) {
    names_.insert(file.name);
    if (file.folder) continue;
    const auto named = readName(file.name);
    if (file.name == manifestTemporary || (named && named->temporary)) {
      if (!book_.disk_.remove(file.name)) continue;  // it never replaced what it was to replace
    }
    book_.addBytes(file.bytes);
    if (named && !named->temporary) {
      Found& found = found_[named->number];
      (named->kind == FileKind::segment ? found.segment : found.hint) = true;
      (named->kind == FileKind::segment ? found.segmentBytes : found.hintBytes) = file.bytes;
    } else if (file.name == manifestName) {
      book_.manifestBytes_ = file.bytes;
    } else if (file.name.starts_with(asidePrefix)) {
      ++book_.stats_.asideFiles;
    } else if (file.name != lockName && file.name != manifestTemporary && !named) {
      setAside(file.name, "unknown");
    }
  }
  return {};
}

void Book::Recovery::setAside(const std::string& name, const char* why) {
  auto to = fmt::format("{}{}-{}", asidePrefix, why, name);
  for (int i = 2; names_.contains(to); ++i) to = fmt::format("{}{}-{}.{}", asidePrefix, why, name, i);
  if (const auto fault = book_.disk_.rename(name, to))
    return book_.say(fmt::format("{} ({}) can't be set aside: {}", name, why, fault.text()));
  names_.insert(to);
  ++book_.stats_.asideFiles;
  book_.say(fmt::format("{} ({}) is set aside as {}", name, why, to));
}

void Book::Recovery::readManifest() {
  if (!names_.contains(manifestName)) return;
  auto opened = book_.disk_.open(manifestName);
  ManifestRead read{std::nullopt, HeadFault::damaged};
  if (opened.file) {
    std::string bytes(static_cast<std::size_t>(opened.file->size()), '\0');
    const auto got = readAll(*opened.file, 0, bytes);
    read = decodeManifest(std::string_view(bytes).substr(0, got.bytes));
  }
  if (read.manifest) {
    manifest_ = std::move(read.manifest);
    return;
  }
  setAside(manifestName, read.fault == HeadFault::newer ? "newer" : "damaged");
  book_.manifestBytes_ = 0;
  book_.say("the manifest can't be read: all segments in the folder are taken");
}

void Book::Recovery::chooseId(std::uint64_t seed) {
  if (manifest_) {
    book_.store_ = manifest_->store;
    return;
  }
  // The id that most files carry; the lower where two are equal.
  std::map<StoreId, int> votes;
  for (const auto& [number, found] : found_)
    for (const auto& name : {segmentName(number), hintName(number)})
      if (const auto read = headOf(book_.disk_, name); read.fault == HeadFault::none)
        ++votes[read.head.store];
  const auto most = std::max_element(votes.begin(), votes.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  book_.store_ = most == votes.end() ? StoreId{seed} : most->first;
}

const Manifest::Listed* Book::Recovery::listed(SegmentNumber number) const {
  if (!manifest_) return nullptr;
  const auto& all = manifest_->segments;
  const auto at = std::find_if(all.begin(), all.end(), [&](const auto& s) { return s.number == number; });
  return at == all.end() ? nullptr : &*at;
}

// Leaves in found_ what belongs to this store now.
void Book::Recovery::sortOut() {
  for (auto at = found_.begin(); at != found_.end();) {
    const SegmentNumber number = at->first;
    const Found found = at->second;
    const auto name = found.segment ? segmentName(number) : hintName(number);
    const auto head = headOf(book_.disk_, name);
    const bool whole = head.fault == HeadFault::none || head.fault == HeadFault::newer;
    const bool ours = !whole || head.head.store == book_.store_;
    const bool left = manifest_ && number < manifest_->nextNumber && !listed(number);
    const char* why = whole && !ours ? "foreign" : head.fault == HeadFault::newer ? "newer" : nullptr;
    const auto each = [&](const auto& act) {
      if (found.segment) act(segmentName(number), found.segmentBytes);
      if (found.hint) act(hintName(number), found.hintBytes);
    };
    if (why) {
      each([&](const std::string& file, std::uint64_t) { setAside(file, why); });
    } else if (left) {
      // Compacted away; a crash came between the manifest and the removal.
      each([&](const std::string& file, std::uint64_t bytes) {
        if (!book_.disk_.remove(file)) book_.lessBytes(bytes);
      });
    } else {
      ++at;
      continue;
    }
    at = found_.erase(at);
  }
}

Outcome Book::Recovery::recover(SegmentNumber number, const Found& found) {
  const auto name = segmentName(number);
  auto& sealed = book_.sealed_[number];
  sealed.bytes = sealed.settled = found.segmentBytes, sealed.hintBytes = found.hintBytes;
  const auto hint = readHint(number);
  auto opened = found.segment ? book_.disk_.open(name) : Disk::Opened{nullptr, {ENOENT}};
  if (ofTheProcess(opened.fault)) return {Outcome::Code::failed, name + ": " + opened.fault.text()};
  const auto* terms = listed(number);
  if (opened.file) {
    // What a killed process wrote may stand in the cache alone: it is synced before it is served. That may
    // succeed after a sync that the process saw fail, and mean nothing, so what was not closed is written
    // anew as well.
    const bool failed = !(terms && terms->sealed) && opened.file->sync();
    sealed.distrusted = failed || (terms && !terms->sealed);
    if (!takeHint(number, hint, opened.file->size())) scan(number, opened.file, hint);
  } else {
    book_.say(fmt::format("{}: {}", name, opened.fault.text()));
    for (const auto& row : hint.rows)
      if (row.kind != Kind::sweep)
        lost_.push_back({number, row.key, row.sequence, row.kind == Kind::lost ? 0 : row.place.bytes});
    damage_[number].size = found.segmentBytes;
    sealed.damaged = true;
    if (terms && !hint.end) doubt(*terms);  // the hint may tell of fewer than there were
  }
  for (const auto& row : hint.rows) sealed.last = std::max(sealed.last, row.sequence);
  highest_ = std::max(highest_, sealed.last);
  return {};
}

Book::Recovery::Hint Book::Recovery::readHint(SegmentNumber number) {
  Hint out;
  auto opened = book_.disk_.open(hintName(number));
  if (!opened.file) return out;
  Scanner scanner(opened.file, {FileKind::hint, book_.store_, number});
  bool whole = true;
  for (;;) {
    const auto step = scanner.next();
    if (step.what == Scanner::Step::What::end) break;
    const auto place =
        step.what == Scanner::Step::What::record ? decodePlace(step.record.value) : std::nullopt;
    if (!place || out.end) {
      whole = false;
      if (!place) continue;
    }
    if (step.record.kind == Kind::hintEnd)
      out.end = place;
    else
      out.rows.push_back({step.record.kind, std::string(step.record.key), step.record.sequence,
                          step.record.goodUntil, *place});
  }
  if (!whole) out.end.reset();
  return out;
}

void Book::Recovery::see(const Hint::Row& row, SegmentNumber number) {
  highest_ = std::max(highest_, row.sequence);
  book_.sealed_[number].last = std::max(book_.sealed_[number].last, row.sequence);
  if (row.kind == Kind::sweep) return book_.addSweep(row.sequence, row.goodUntil);
  if (row.kind == Kind::lost) return lost_.push_back({number, row.key, row.sequence});
  if (row.kind != Kind::put && row.kind != Kind::erase) return;
  book_.index_.seen(
      row.key, row.kind, row.sequence, row.goodUntil,
      {number, static_cast<std::uint32_t>(row.place.offset), static_cast<std::uint32_t>(row.place.bytes)});
}

// A hint that agrees with the length of its segment saves reading the segment.
bool Book::Recovery::takeHint(SegmentNumber number, const Hint& hint, std::uint64_t bytes) {
  if (!hint.end || hint.end->offset != bytes || hint.end->bytes != hint.rows.size()) return false;
  for (const auto& row : hint.rows)
    if (row.kind != Kind::lost && (row.place.bytes > bytes || row.place.offset > bytes - row.place.bytes))
      return false;
  for (const auto& row : hint.rows) see(row, number);
  return true;
}

void Book::Recovery::scan(SegmentNumber number, std::shared_ptr<File> file, const Hint& hint) {
  const auto size = file->size();
  std::vector<Hint::Row> rows;
  Damage& damage = damage_[number];
  damage.size = size;
  Scanner scanner(std::move(file), {FileKind::segment, book_.store_, number});
  for (;;) {
    const auto step = scanner.next();
    if (step.what == Scanner::Step::What::end) break;
    if (step.what == Scanner::Step::What::damage) {
      damage.stretches.emplace_back(step.offset, step.bytes);
      continue;
    }
    rows.push_back({step.record.kind,
                    std::string(step.record.key),
                    step.record.sequence,
                    step.record.goodUntil,
                    {step.offset, step.bytes}});
    see(rows.back(), number);
  }
  // What the hint tells of and the segment no longer holds.
  const auto whole = rows.size();
  for (const auto& row : hint.rows) {
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(whole);
    const auto at =
        std::lower_bound(rows.begin(), end, row.place.offset,
                         [](const Hint::Row& a, std::uint64_t offset) { return a.place.offset < offset; });
    if (at != end && at->place.offset == row.place.offset && at->sequence == row.sequence) continue;
    if (row.kind == Kind::sweep) {
      see(row, number);
      continue;
    }
    lost_.push_back({number, row.key, row.sequence, row.kind == Kind::lost ? 0 : row.place.bytes});
    rows.push_back(row);
    rows.back().kind = Kind::lost;
  }
  writeHint(number, rows, size);
}

// The next start is quick again, and what is lost stays known. Without room it is left as it is.
void Book::Recovery::writeHint(SegmentNumber number, const std::vector<Hint::Row>& rows, std::uint64_t end) {
  const FileHead head{FileKind::hint, book_.store_, number};
  auto bytes = encodeHead(head);
  for (const auto& row : rows)
    append(bytes, {row.kind, false, row.sequence, row.goodUntil, row.key, encodePlace(row.place)},
           {head, bytes.size()});
  append(bytes, {Kind::hintEnd, false, {}, forever, {}, encodePlace({end, rows.size()})},
         {head, bytes.size()});
  if (!book_.plan_.mayCopy(book_.stats_.folderBytes, bytes.size())) return;
  const auto name = hintTemporary(number);
  auto made = book_.disk_.create(name);
  if (made.fault) return;
  if (writeAll(*made.file, 0, bytes) || made.file->sync() || book_.disk_.rename(name, hintName(number))) {
    book_.disk_.remove(name);
    return;
  }
  auto& sealed = book_.sealed_[number];
  book_.addBytes(bytes.size());
  book_.lessBytes(std::exchange(sealed.hintBytes, bytes.size()));
  ++book_.stats_.hintsRebuilt;
}

void Book::Recovery::suppressLost() {
  for (const Lost& lost : lost_) {
    highest_ = std::max(highest_, lost.sequence);
    // A compaction that a crash cut short has its input still; and what was written over is missed by nobody.
    const Entry* entry = book_.index_.find(lost.key);
    if (lost.sequence < book_.index_.floor() || (entry && entry->sequence >= lost.sequence)) continue;
    if (lost.bytes > 0) ++damage_[lost.segment].lostRecords, damage_[lost.segment].lostBytes += lost.bytes;
    if (!book_.index_.lost(lost.key, lost.sequence, lost.segment)) continue;
    book_.sealed_[lost.segment].lost.emplace_back(lost.key, lost.sequence);
    book_.sealed_[lost.segment].damaged = true;
  }
  if (highest_ >= book_.nextSequence_) book_.nextSequence_ = after(highest_);
}

void Book::Recovery::report() const {
  for (const auto& [number, damage] : damage_) {
    const auto name = segmentName(number);
    const auto* terms = listed(number);
    const bool sealed = terms && terms->sealed;
    auto& segment = book_.sealed_[number];
    for (const auto& [offset, bytes] : damage.stretches) {
      const bool tail = offset + bytes == damage.size && !sealed && damage.lostRecords == 0;
      book_.say(fmt::format(
          "{} at {}: {} bytes {}", name, offset, bytes,
          tail ? "of a write that a crash cut short are dropped" : "can't be read and are passed over"));
      (tail ? book_.stats_.tornBytes : book_.stats_.lostBytes) += bytes;
      if (!tail) segment.damaged = true;
    }
    if (sealed && damage.size < terms->bytes) {
      book_.say(fmt::format("{} at {}: {} bytes are missing", name, damage.size, terms->bytes - damage.size));
      book_.stats_.lostBytes += terms->bytes - damage.size;
      segment.damaged = true;
    }
    if (damage.lostRecords == 0) continue;
    book_.say(fmt::format("{}: {} acknowledged records of {} bytes are lost; their keys are not served", name,
                          damage.lostRecords, damage.lostBytes));
    book_.stats_.lostRecords += damage.lostRecords;
    segment.damaged = true;
  }
}

// What was seen as expired stays so, whatever the clock says now.
void Book::Recovery::sweep() {
  if (book_.sweeps_.empty()) return;
  std::vector<std::string> expired;
  book_.index_.byAge(std::nullopt, [&](const Entry& entry) {
    for (const Sweep& sweep : book_.sweeps_)
      if (entry.sequence < sweep.before && entry.goodUntil <= sweep.until) {
        expired.push_back(entry.key);
        break;
      }
    return true;
  });
  for (const auto& key : expired) book_.index_.expire(key);
}

}  // namespace rainhook::store
