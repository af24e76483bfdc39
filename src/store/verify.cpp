#include "store/verify.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "store/format.h"
#include "store/record_scanner.h"

namespace rainhook::store {
namespace {

class Verifier {
 public:
  Verifier(Disk& disk, VerificationReport& out) : disk_(disk), out_(out) {}

  DiskError run() {
    std::vector<Disk::DirectoryEntry> files;
    if (const auto error = disk_.list(files)) return error;
    std::map<SegmentNumber, std::set<FileKind>> found;
    bool manifest = false;
    for (const auto& file : files) {
      out_.bytes += file.bytes;
      if (const auto named = parseFileName(file.name); named && !named->temporary)
        found[named->number].insert(named->kind);
      else if (file.name == manifestFileName)
        manifest = true;
      else if (file.name != lockFileName)
        note(file.name, 0, file.bytes, "is none of the store's");
    }
    if (manifest)
      readManifest();
    else if (!found.empty())
      damage(manifestFileName, 0, 0, "is missing");
    for (const auto& listed : manifest_.segments)
      if (!found.contains(listed.number))
        damage(segmentFileName(listed.number), 0, listed.bytes, "is missing");
    for (const auto& [number, kinds] : found) segment(number, kinds);
    return {};
  }

 private:
  void damage(std::string file, std::uint64_t offset, std::uint64_t bytes, std::string what) {
    out_.damage.push_back({std::move(file), offset, bytes, std::move(what)});
  }
  void note(std::string file, std::uint64_t offset, std::uint64_t bytes, std::string what) {
    out_.notes.push_back({std::move(file), offset, bytes, std::move(what)});
  }

  void readManifest() {
    const auto opened = disk_.open(manifestFileName);
    if (!opened.file) return damage(manifestFileName, 0, 0, opened.error.message());
    std::string bytes(static_cast<std::size_t>(opened.file->size()), '\0');
    const auto read = readAll(*opened.file, 0, bytes);
    const auto decoded = decodeManifest(std::string_view(bytes).substr(0, read.bytes));
    if (!decoded.manifest) return damage(manifestFileName, 0, bytes.size(), "can't be read");
    manifest_ = *decoded.manifest;
    store_ = manifest_.store;
  }

  // The head's id serves where the manifest can't tell it.
  std::shared_ptr<File> open(const std::string& name, FileKind kind) {
    const auto opened = disk_.open(name);
    if (!opened.file) return damage(name, 0, 0, opened.error.message()), nullptr;
    std::string bytes(fileHeaderBytes, '\0');
    const auto read = readAll(*opened.file, 0, bytes);
    const auto head = decodeHeader(std::string_view(bytes).substr(0, read.bytes));
    if (head.error == HeaderError::newerVersion)
      return note(name, 0, opened.file->size(), "is of a newer version"), nullptr;
    if (head.error != HeaderError::none || head.head.kind != kind)
      damage(name, 0, fileHeaderBytes, "its head is damaged");
    else if (!store_)
      store_ = head.head.store;
    else if (*store_ != head.head.store)
      return note(name, 0, opened.file->size(), "belongs to another store"), nullptr;
    return opened.file;
  }

  void segment(SegmentNumber number, const std::set<FileKind>& kinds) {
    const auto name = segmentFileName(number), hint = hintFileName(number);
    const auto at = std::find_if(manifest_.segments.begin(), manifest_.segments.end(),
                                 [&](const auto& s) { return s.number == number; });
    const bool sealed = at != manifest_.segments.end() && at->sealed;
    ++out_.segments;
    std::map<std::uint64_t, SequenceNumber> records;  // of one segment
    std::uint64_t size = 0;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> tail;
    if (!kinds.contains(FileKind::segment)) {
      damage(name, 0, sealed ? at->bytes : 0, "is missing");
    } else if (const auto file = open(name, FileKind::segment)) {
      size = file->size();
      RecordScanner scanner(file, {FileKind::segment, store_.value_or(StoreId{}), number});
      for (auto step = scanner.next(); step.what != RecordScanner::Step::What::end; step = scanner.next()) {
        if (step.what == RecordScanner::Step::What::record) {
          records[step.offset] = step.record.sequence;
          ++out_.records;
        } else if (!sealed && step.offset + step.bytes == size) {
          tail = {step.offset, step.bytes};
        } else {
          damage(name, step.offset, step.bytes, "can't be read");
        }
      }
      if (sealed && size < at->bytes) damage(name, size, at->bytes - size, "is cut off");
    }
    std::uint64_t lost = 0;
    if (kinds.contains(FileKind::hint)) lost = hints(hint, number, records, sealed);
    if (tail && lost > 0) damage(name, tail->first, tail->second, "can't be read");
    if (tail && lost == 0) note(name, tail->first, tail->second, "a write that was cut short");
  }

  std::uint64_t hints(const std::string& name, SegmentNumber number,
                      const std::map<std::uint64_t, SequenceNumber>& records, bool sealed) {
    const auto file = open(name, FileKind::hint);
    if (!file) return 0;
    std::uint64_t lost = 0;
    bool ended = false;
    RecordScanner scanner(file, {FileKind::hint, store_.value_or(StoreId{}), number});
    for (auto step = scanner.next(); step.what != RecordScanner::Step::What::end; step = scanner.next()) {
      const auto place = step.what == RecordScanner::Step::What::record
                             ? decodeHintLocation(step.record.value)
                             : std::nullopt;
      if (!place) {
        if (!sealed && step.offset + step.bytes == file->size())
          note(name, step.offset, step.bytes, "a write that was cut short");
        else
          damage(name, step.offset, step.bytes, "can't be read");
        continue;
      }
      if (step.record.kind == RecordKind::hintEnd) {
        ended = true;
        continue;
      }
      const auto at = records.find(place->offset);
      if (at != records.end() && at->second == step.record.sequence) continue;
      ++lost;
      damage(segmentFileName(number), place->offset, place->bytes,
             fmt::format("a record was here, key {}", shown(step.record.key)));
    }
    if (sealed && !ended) note(name, file->size(), 0, "has no end; the next start reads the segment");
    return lost;
  }

  static std::string shown(std::string_view key) {
    std::string out;
    for (const char c : key)
      c > ' ' && c <= '~' && c != '\\' ? out += c
                                       : out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    return out;
  }

  Disk& disk_;
  VerificationReport& out_;
  Manifest manifest_;
  std::optional<StoreId> store_;
};

}  // namespace

DiskError verify(Disk& disk, VerificationReport& into) { return Verifier(disk, into).run(); }

}  // namespace rainhook::store
