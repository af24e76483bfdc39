#include "store/verifier.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "store/file_names.h"
#include "store/manifest.h"
#include "store/record_scanner.h"

namespace rainhook::store {
namespace {

/// The sequence numbers of a segment's records by offset.
using RecordsByOffset = std::map<std::uint64_t, SequenceNumber>;

/// Escapes spaces, backslashes and all bytes of a key that are not printable ASCII characters.
std::string printable(std::string_view key) {
  std::string out;
  for (const char character : key) {
    if (character > ' ' && character <= '~' && character != '\\')
      out += character;
    else
      out += fmt::format("\\x{:02x}", static_cast<unsigned char>(character));
  }
  return out;
}

class Verifier {
 public:
  Verifier(Disk& disk, VerificationReport& report) : disk_(disk), report_(report) {}

  DiskError run() {
    std::vector<Disk::DirectoryEntry> files;
    if (const DiskError error = disk_.list(files)) return error;
    bool hasManifest = false;
    for (const auto& file : files) {
      report_.bytes += file.bytes;
      if (const auto parsed = parseFileName(file.name); parsed && !parsed->isTemporary)
        segments_[parsed->number].insert(parsed->kind);
      else if (file.name == manifestFileName)
        hasManifest = true;
      else if (file.name != lockFileName)
        note(file.name, 0, file.bytes, "the file does not belong to the store");
    }
    if (hasManifest)
      readManifest();
    else if (!segments_.empty())
      damage(manifestFileName, 0, 0, "the manifest is missing");
    for (const Manifest::Segment& listed : manifest_.segments)
      if (!segments_.contains(listed.number))
        damage(segmentFileName(listed.number), 0, listed.bytes,
               "the segment is listed in the manifest, but its files are missing");
    for (const auto& [number, kinds] : segments_) checkSegment(number, kinds);
    return {};
  }

 private:
  /// The result of scanning a segment.
  struct SegmentContents {
    RecordsByOffset records;
    /// A corrupt range at the end of a segment that was not sealed; a crash may have interrupted a write
    /// there.
    std::optional<VerificationReport::Finding> tail;
  };

  void damage(std::string file, std::uint64_t offset, std::uint64_t bytes, std::string description) {
    report_.damage.push_back({std::move(file), offset, bytes, std::move(description)});
  }
  void note(std::string file, std::uint64_t offset, std::uint64_t bytes, std::string description) {
    report_.notes.push_back({std::move(file), offset, bytes, std::move(description)});
  }

  void readManifest() {
    const auto opened = disk_.open(manifestFileName);
    if (!opened.file) return damage(manifestFileName, 0, 0, opened.error.message());
    std::string bytes(static_cast<std::size_t>(opened.file->size()), '\0');
    const IoResult read = readAll(*opened.file, 0, bytes);
    const auto decoded = decodeManifest(std::string_view(bytes).substr(0, read.bytes));
    if (!decoded.manifest)
      return damage(manifestFileName, 0, bytes.size(), "the manifest is corrupt or of a newer version");
    manifest_ = *decoded.manifest;
    storeId_ = manifest_.storeId;
  }

  /// Returns null if the file can't be opened or does not belong to the store. Without a manifest, the first
  /// file header determines the store's id.
  std::shared_ptr<File> open(const std::string& name, FileKind kind) {
    const auto opened = disk_.open(name);
    if (!opened.file) {
      damage(name, 0, 0, opened.error.message());
      return nullptr;
    }
    std::string bytes(fileHeaderBytes, '\0');
    const IoResult read = readAll(*opened.file, 0, bytes);
    const auto header = decodeHeader(std::string_view(bytes).substr(0, read.bytes));
    if (header.error == HeaderError::newerVersion) {
      note(name, 0, opened.file->size(), "the file has a newer format version");
      return nullptr;
    }
    if (header.error != HeaderError::none || header.header.kind != kind) {
      damage(name, 0, fileHeaderBytes, "the file header is corrupt");
      return opened.file;
    }
    if (!storeId_) storeId_ = header.header.storeId;
    if (*storeId_ != header.header.storeId) {
      note(name, 0, opened.file->size(), "the file belongs to another store");
      return nullptr;
    }
    return opened.file;
  }

  const Manifest::Segment* findSealed(SegmentNumber number) const {
    const auto& all = manifest_.segments;
    const auto found = std::find_if(all.begin(), all.end(), [&](const Manifest::Segment& segment) {
      return segment.number == number && segment.isSealed;
    });
    return found == all.end() ? nullptr : &*found;
  }

  void checkSegment(SegmentNumber number, const std::set<FileKind>& kinds) {
    const std::string name = segmentFileName(number);
    const Manifest::Segment* sealed = findSealed(number);
    ++report_.segments;
    SegmentContents contents;
    if (kinds.contains(FileKind::segment))
      contents = checkRecords(number, sealed);
    else
      damage(name, 0, sealed ? sealed->bytes : 0, "the segment file is missing");
    std::uint64_t lostRecords = 0;
    if (kinds.contains(FileKind::hint)) lostRecords = checkHints(number, contents.records, sealed != nullptr);
    if (!contents.tail) return;
    if (lostRecords > 0)
      damage(name, contents.tail->offset, contents.tail->bytes, "the range contains no intact record");
    else
      report_.notes.push_back(*contents.tail);
  }

  SegmentContents checkRecords(SegmentNumber number, const Manifest::Segment* sealed) {
    const std::string name = segmentFileName(number);
    SegmentContents out;
    const auto file = open(name, FileKind::segment);
    if (!file) return out;
    const std::uint64_t fileBytes = file->size();
    RecordScanner scanner(file, {FileKind::segment, storeId_.value_or(StoreId{}), number});
    for (auto step = scanner.next(); step.kind != RecordScanner::Step::Kind::end; step = scanner.next()) {
      if (step.kind == RecordScanner::Step::Kind::record) {
        out.records[step.offset] = step.record.sequence;
        ++report_.records;
      } else if (!sealed && step.offset + step.bytes == fileBytes) {
        out.tail = {name, step.offset, step.bytes, "an interrupted, unacknowledged write"};
      } else {
        damage(name, step.offset, step.bytes, "the range contains no intact record");
      }
    }
    if (sealed && fileBytes < sealed->bytes)
      damage(name, fileBytes, sealed->bytes - fileBytes, "the end of the file is missing");
    return out;
  }

  /// Returns the number of records that the hint file describes but the segment does not contain.
  std::uint64_t checkHints(SegmentNumber number, const RecordsByOffset& records, bool isSealed) {
    const std::string name = hintFileName(number);
    const auto file = open(name, FileKind::hint);
    if (!file) return 0;
    std::uint64_t lostRecords = 0;
    bool hasEnd = false;
    RecordScanner scanner(file, {FileKind::hint, storeId_.value_or(StoreId{}), number});
    for (auto step = scanner.next(); step.kind != RecordScanner::Step::Kind::end; step = scanner.next()) {
      std::optional<HintLocation> location;
      if (step.kind == RecordScanner::Step::Kind::record) location = decodeHintLocation(step.record.value);
      if (!location) {
        if (!isSealed && step.offset + step.bytes == file->size())
          note(name, step.offset, step.bytes, "an interrupted write of a hint entry");
        else
          damage(name, step.offset, step.bytes, "the range contains no intact hint entry");
        continue;
      }
      if (step.record.kind == RecordKind::hintEnd) {
        hasEnd = true;
        continue;
      }
      const auto found = records.find(location->offset);
      if (found != records.end() && found->second == step.record.sequence) continue;
      ++lostRecords;
      damage(segmentFileName(number), location->offset, location->bytes,
             fmt::format("the record of key {} is missing", printable(step.record.key)));
    }
    if (isSealed && !hasEnd)
      note(name, file->size(), 0, "the hint file has no end entry; the next start reads the whole segment");
    return lostRecords;
  }

  Disk& disk_;
  VerificationReport& report_;
  std::map<SegmentNumber, std::set<FileKind>> segments_;
  Manifest manifest_;
  std::optional<StoreId> storeId_;
};

}  // namespace

DiskError verify(Disk& disk, VerificationReport& report) { return Verifier(disk, report).run(); }

}  // namespace rainhook::store
