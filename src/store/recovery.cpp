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
HeaderReadResult headOf(Disk& disk, const std::string& name) {
  const auto opened = disk.open(name);
  if (opened.error) return {{}, HeaderError::truncated};
  std::string bytes(fileHeaderBytes, '\0');
  const auto read = readAll(*opened.file, 0, bytes);
  return decodeHeader(std::string_view(bytes).substr(0, read.bytes));
}

// No matter of what the files hold: the same start works once there are descriptors and memory again.
bool ofTheProcess(const DiskError& error) {
  return error.errorNumber == EMFILE || error.errorNumber == ENFILE || error.errorNumber == ENOMEM;
}

}  // namespace

StoreStatus LogStructuredStore::open(std::uint64_t seed) { return Recovery(*this).run(seed); }

StoreStatus LogStructuredStore::Recovery::run(std::uint64_t seed) {
  if (auto outcome = list(); !outcome.isOk()) return outcome;
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
                              segmentFileName(segment.number)));
      }
  }
  for (const auto& [number, found] : found_)
    if (found.hint) book_.disk_.prefetch(hintFileName(number));
  for (const auto& [number, found] : found_) {
    book_.nextNumber_ = std::max(book_.nextNumber_, successor(number));
    if (auto outcome = recover(number, found); !outcome.isOk()) return outcome;
  }
  if (highest_ >= book_.nextSequence_) book_.nextSequence_ = successor(highest_);
  suppressLost();
  report();
  book_.index_.sortByAge();
  if (doubt_)
    book_.stats_.discardedEntries = book_.index_.raiseFloor(std::min(doubtBelow_, book_.nextSequence_));
  sweep();
  book_.opened_ = true;
  if (const auto error = book_.writeManifest())
    book_.say(fmt::format("{}: {}; nothing can be written until it can", manifestFileName, error.message()));
  return {};
}

// Nobody can say what of the older records this one had erased or written over.
void LogStructuredStore::Recovery::doubt(const Manifest::Listed& gone) {
  ++book_.stats_.lostFiles;
  book_.stats_.lostBytes += gone.bytes;
  doubt_ = true;
  doubtBelow_ = gone.sealed ? std::max(doubtBelow_, successor(gone.last)) : SequenceNumber{~std::uint64_t{0}};
}

StoreStatus LogStructuredStore::Recovery::list() {
  if (const auto locked = book_.disk_.lock(lockFileName); locked.error) {
    if (locked.error.errorNumber != EWOULDBLOCK)
      return {StoreErrorCode::ioError, fmt::format("{}: {}", lockFileName, locked.error.message())};
    return {StoreErrorCode::locked, fmt::format("the store is open in process {}",
                                                locked.holder.empty() ? "(unknown)" : locked.holder)};
  }
  std::vector<Disk::DirectoryEntry> there;
  if (const auto error = book_.disk_.list(there))
    return {StoreErrorCode::ioError, "the folder: " + error.message()};
  for (const auto& file : there)
    if (file.name == incompleteMarkerFileName)
      return {StoreErrorCode::invalidArgument,
              "the folder holds a snapshot that was cut short; remove it and make another"};
  for (const auto& file : there) {
    names_.insert(file.name);
    if (file.isDirectory) continue;
    const auto named = parseFileName(file.name);
    if (file.name == manifestTemporaryFileName || (named && named->temporary)) {
      if (!book_.disk_.remove(file.name)) continue;  // it never replaced what it was to replace
    }
    book_.addBytes(file.bytes);
    if (named && !named->temporary) {
      Found& found = found_[named->number];
      (named->kind == FileKind::segment ? found.segment : found.hint) = true;
      (named->kind == FileKind::segment ? found.maxSegmentBytes : found.hintEntryBytes) = file.bytes;
    } else if (file.name == manifestFileName) {
      book_.manifestBytes_ = file.bytes;
    } else if (file.name.starts_with(quarantinePrefix)) {
      ++book_.stats_.quarantinedFiles;
    } else if (file.name != lockFileName && file.name != manifestTemporaryFileName && !named) {
      setAside(file.name, "unknown");
    }
  }
  return {};
}

void LogStructuredStore::Recovery::setAside(const std::string& name, const char* why) {
  auto to = fmt::format("{}{}-{}", quarantinePrefix, why, name);
  for (int i = 2; names_.contains(to); ++i) to = fmt::format("{}{}-{}.{}", quarantinePrefix, why, name, i);
  if (const auto error = book_.disk_.rename(name, to))
    return book_.say(fmt::format("{} ({}) can't be set aside: {}", name, why, error.message()));
  names_.insert(to);
  ++book_.stats_.quarantinedFiles;
  book_.say(fmt::format("{} ({}) is set aside as {}", name, why, to));
}

void LogStructuredStore::Recovery::readManifest() {
  if (!names_.contains(manifestFileName)) return;
  auto opened = book_.disk_.open(manifestFileName);
  ManifestReadResult read{std::nullopt, HeaderError::corrupt};
  if (opened.file) {
    std::string bytes(static_cast<std::size_t>(opened.file->size()), '\0');
    const auto got = readAll(*opened.file, 0, bytes);
    read = decodeManifest(std::string_view(bytes).substr(0, got.bytes));
  }
  if (read.manifest) {
    manifest_ = std::move(read.manifest);
    return;
  }
  setAside(manifestFileName, read.error == HeaderError::newerVersion ? "newer" : "damaged");
  book_.manifestBytes_ = 0;
  book_.say("the manifest can't be read: all segments in the folder are taken");
}

void LogStructuredStore::Recovery::chooseId(std::uint64_t seed) {
  if (manifest_) {
    book_.store_ = manifest_->store;
    return;
  }
  // The id that most files carry; the lower where two are equal.
  std::map<StoreId, int> votes;
  for (const auto& [number, found] : found_)
    for (const auto& name : {segmentFileName(number), hintFileName(number)})
      if (const auto read = headOf(book_.disk_, name); read.error == HeaderError::none)
        ++votes[read.head.store];
  const auto most = std::max_element(votes.begin(), votes.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  book_.store_ = most == votes.end() ? StoreId{seed} : most->first;
}

const Manifest::Listed* LogStructuredStore::Recovery::listed(SegmentNumber number) const {
  if (!manifest_) return nullptr;
  const auto& all = manifest_->segments;
  const auto at = std::find_if(all.begin(), all.end(), [&](const auto& s) { return s.number == number; });
  return at == all.end() ? nullptr : &*at;
}

// Leaves in found_ what belongs to this store now.
void LogStructuredStore::Recovery::sortOut() {
  for (auto at = found_.begin(); at != found_.end();) {
    const SegmentNumber number = at->first;
    const Found found = at->second;
    const auto name = found.segment ? segmentFileName(number) : hintFileName(number);
    const auto head = headOf(book_.disk_, name);
    const bool whole = head.error == HeaderError::none || head.error == HeaderError::newerVersion;
    const bool ours = !whole || head.head.store == book_.store_;
    const bool left = manifest_ && number < manifest_->nextNumber && !listed(number);
    const char* why = whole && !ours                            ? "foreign"
                      : head.error == HeaderError::newerVersion ? "newer"
                                                                : nullptr;
    const auto each = [&](const auto& act) {
      if (found.segment) act(segmentFileName(number), found.maxSegmentBytes);
      if (found.hint) act(hintFileName(number), found.hintEntryBytes);
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

StoreStatus LogStructuredStore::Recovery::recover(SegmentNumber number, const Found& found) {
  const auto name = segmentFileName(number);
  auto& sealed = book_.sealed_[number];
  sealed.bytes = sealed.committedBytes = found.maxSegmentBytes, sealed.hintEntryBytes = found.hintEntryBytes;
  const auto hint = readHint(number);
  auto opened = found.segment ? book_.disk_.open(name) : Disk::OpenResult{nullptr, {ENOENT}};
  if (ofTheProcess(opened.error)) return {StoreErrorCode::ioError, name + ": " + opened.error.message()};
  const auto* terms = listed(number);
  if (opened.file) {
    // What a killed process wrote may stand in the cache alone: it is synced before it is served. That may
    // succeed after a sync that the process saw fail, and mean nothing, so what was not closed is written
    // anew as well.
    const bool failed = !(terms && terms->sealed) && opened.file->sync();
    sealed.isUntrusted = failed || (terms && !terms->sealed);
    if (!takeHint(number, hint, opened.file->size())) scan(number, opened.file, hint);
  } else {
    book_.say(fmt::format("{}: {}", name, opened.error.message()));
    for (const auto& row : hint.rows)
      if (row.kind != RecordKind::expirySweep)
        lost_.push_back({number, row.key, row.sequence, row.kind == RecordKind::lost ? 0 : row.place.bytes});
    damage_[number].size = found.maxSegmentBytes;
    sealed.damaged = true;
    if (terms && !hint.end) doubt(*terms);  // the hint may tell of fewer than there were
  }
  for (const auto& row : hint.rows) sealed.last = std::max(sealed.last, row.sequence);
  highest_ = std::max(highest_, sealed.last);
  return {};
}

LogStructuredStore::Recovery::Hint LogStructuredStore::Recovery::readHint(SegmentNumber number) {
  Hint out;
  auto opened = book_.disk_.open(hintFileName(number));
  if (!opened.file) return out;
  RecordScanner scanner(opened.file, {FileKind::hint, book_.store_, number});
  bool whole = true;
  for (;;) {
    const auto step = scanner.next();
    if (step.what == RecordScanner::Step::What::end) break;
    const auto place =
        step.what == RecordScanner::Step::What::record ? decodeHintLocation(step.record.value) : std::nullopt;
    if (!place || out.end) {
      whole = false;
      if (!place) continue;
    }
    if (step.record.kind == RecordKind::hintEnd)
      out.end = place;
    else
      out.rows.push_back(
          {step.record.kind, std::string(step.record.key), step.record.sequence, step.record.expiry, *place});
  }
  if (!whole) out.end.reset();
  return out;
}

void LogStructuredStore::Recovery::see(const Hint::Row& row, SegmentNumber number) {
  highest_ = std::max(highest_, row.sequence);
  book_.sealed_[number].last = std::max(book_.sealed_[number].last, row.sequence);
  if (row.kind == RecordKind::expirySweep) return book_.addSweep(row.sequence, row.expiry);
  if (row.kind == RecordKind::lost) return lost_.push_back({number, row.key, row.sequence});
  if (row.kind != RecordKind::put && row.kind != RecordKind::erase) return;
  book_.index_.addRecord(
      row.key, row.kind, row.sequence, row.expiry,
      {number, static_cast<std::uint32_t>(row.place.offset), static_cast<std::uint32_t>(row.place.bytes)});
}

// A hint that agrees with the length of its segment saves reading the segment.
bool LogStructuredStore::Recovery::takeHint(SegmentNumber number, const Hint& hint, std::uint64_t bytes) {
  if (!hint.end || hint.end->offset != bytes || hint.end->bytes != hint.rows.size()) return false;
  for (const auto& row : hint.rows)
    if (row.kind != RecordKind::lost &&
        (row.place.bytes > bytes || row.place.offset > bytes - row.place.bytes))
      return false;
  for (const auto& row : hint.rows) see(row, number);
  return true;
}

void LogStructuredStore::Recovery::scan(SegmentNumber number, std::shared_ptr<File> file, const Hint& hint) {
  const auto size = file->size();
  std::vector<Hint::Row> rows;
  Damage& damage = damage_[number];
  damage.size = size;
  RecordScanner scanner(std::move(file), {FileKind::segment, book_.store_, number});
  for (;;) {
    const auto step = scanner.next();
    if (step.what == RecordScanner::Step::What::end) break;
    if (step.what == RecordScanner::Step::What::damage) {
      damage.stretches.emplace_back(step.offset, step.bytes);
      continue;
    }
    rows.push_back({step.record.kind,
                    std::string(step.record.key),
                    step.record.sequence,
                    step.record.expiry,
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
    if (row.kind == RecordKind::expirySweep) {
      see(row, number);
      continue;
    }
    lost_.push_back({number, row.key, row.sequence, row.kind == RecordKind::lost ? 0 : row.place.bytes});
    rows.push_back(row);
    rows.back().kind = RecordKind::lost;
  }
  writeHint(number, rows, size);
}

// The next start is quick again, and what is lost stays known. Without room it is left as it is.
void LogStructuredStore::Recovery::writeHint(SegmentNumber number, const std::vector<Hint::Row>& rows,
                                             std::uint64_t end) {
  const FileHeader head{FileKind::hint, book_.store_, number};
  auto bytes = encodeHeader(head);
  for (const auto& row : rows)
    appendRecord(bytes, {row.kind, false, row.sequence, row.expiry, row.key, encodeHintLocation(row.place)},
                 {head, bytes.size()});
  appendRecord(bytes,
               {RecordKind::hintEnd, false, {}, neverExpires, {}, encodeHintLocation({end, rows.size()})},
               {head, bytes.size()});
  if (!book_.plan_.canCopy(book_.stats_.folderBytes, bytes.size())) return;
  const auto name = hintTemporaryFileName(number);
  auto made = book_.disk_.create(name);
  if (made.error) return;
  if (writeAll(*made.file, 0, bytes) || made.file->sync() || book_.disk_.rename(name, hintFileName(number))) {
    book_.disk_.remove(name);
    return;
  }
  auto& sealed = book_.sealed_[number];
  book_.addBytes(bytes.size());
  book_.lessBytes(std::exchange(sealed.hintEntryBytes, bytes.size()));
  ++book_.stats_.hintsRebuilt;
}

void LogStructuredStore::Recovery::suppressLost() {
  for (const Lost& lost : lost_) {
    highest_ = std::max(highest_, lost.sequence);
    // A compaction that a crash cut short has its input still; and what was written over is missed by nobody.
    const IndexEntry* entry = book_.index_.find(lost.key);
    if (lost.sequence < book_.index_.floor() || (entry && entry->sequence >= lost.sequence)) continue;
    if (lost.bytes > 0) ++damage_[lost.segment].lostRecords, damage_[lost.segment].lostBytes += lost.bytes;
    if (!book_.index_.markLost(lost.key, lost.sequence, lost.segment)) continue;
    book_.sealed_[lost.segment].lost.emplace_back(lost.key, lost.sequence);
    book_.sealed_[lost.segment].damaged = true;
  }
  if (highest_ >= book_.nextSequence_) book_.nextSequence_ = successor(highest_);
}

void LogStructuredStore::Recovery::report() const {
  for (const auto& [number, damage] : damage_) {
    const auto name = segmentFileName(number);
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
void LogStructuredStore::Recovery::sweep() {
  if (book_.sweeps_.empty()) return;
  std::vector<std::string> expired;
  book_.index_.scanByAge(std::nullopt, [&](const IndexEntry& entry) {
    for (const ExpirySweep& sweep : book_.sweeps_)
      if (entry.sequence < sweep.before && entry.expiry <= sweep.until) {
        expired.push_back(entry.key);
        break;
      }
    return true;
  });
  for (const auto& key : expired) book_.index_.expireKey(key);
}

}  // namespace rainhook::store
