#include "store/hint_file.h"

#include <algorithm>
#include <utility>

#include "store/record_scanner.h"

namespace rainhook::store {

bool HintFile::describes(std::uint64_t segmentBytes) const {
  if (!end || end->offset != segmentBytes || end->bytes != entries.size()) return false;
  return std::all_of(entries.begin(), entries.end(), [&](const HintEntry& entry) {
    if (entry.kind == RecordKind::lost) return true;
    return entry.location.bytes <= segmentBytes &&
           entry.location.offset <= segmentBytes - entry.location.bytes;
  });
}

HintFile readHintFile(std::shared_ptr<File> file, StoreId storeId, SegmentNumber number) {
  HintFile out;
  bool isIntact = true;
  RecordScanner scanner(std::move(file), {FileKind::hint, storeId, number});
  for (;;) {
    const auto step = scanner.next();
    if (step.kind == RecordScanner::Step::Kind::end) break;
    std::optional<HintLocation> location;
    if (step.kind == RecordScanner::Step::Kind::record) location = decodeHintLocation(step.record.value);
    if (!location || out.end) isIntact = false;
    if (!location) continue;
    const Record& record = step.record;
    if (record.kind == RecordKind::hintEnd)
      out.end = location;
    else
      out.entries.push_back(
          {record.kind, std::string(record.key), record.sequence, record.expiry, *location});
  }
  if (!isIntact) out.end.reset();
  return out;
}

std::string encodeHintFile(StoreId storeId, SegmentNumber number, const std::vector<HintEntry>& entries,
                           std::uint64_t segmentBytes) {
  const FileHeader header{FileKind::hint, storeId, number};
  std::string out = encodeHeader(header);
  for (const HintEntry& entry : entries)
    appendRecord(
        out, {entry.kind, false, entry.sequence, entry.expiry, entry.key, encodeHintLocation(entry.location)},
        {header, out.size()});
  appendRecord(
      out,
      {RecordKind::hintEnd, false, {}, neverExpires, {}, encodeHintLocation({segmentBytes, entries.size()})},
      {header, out.size()});
  return out;
}

}  // namespace rainhook::store
