#include "store/manifest.h"

#include "store/little_endian.h"

namespace rainhook::store {
namespace {

constexpr std::size_t wordBytes = sizeof(std::uint64_t);
constexpr std::size_t fixedBytes = 5 * wordBytes;
constexpr std::size_t sweepBytes = 2 * wordBytes;
constexpr std::size_t segmentBytes = 3 * wordBytes + 1;

RecordPosition manifestPosition(StoreId storeId) {
  return {{FileKind::manifest, storeId, SegmentNumber{0}}, fileHeaderBytes};
}

std::uint64_t readWord(std::string_view bytes, std::size_t offset) {
  return readLittleEndian<std::uint64_t>(bytes, offset);
}

ExpirySweep readSweep(std::string_view bytes) {
  return {SequenceNumber{readWord(bytes, 0)},
          UnixTime(std::chrono::milliseconds(readLittleEndian<std::int64_t>(bytes, wordBytes)))};
}

Manifest::Segment readSegment(std::string_view bytes) {
  Manifest::Segment out;
  out.number = SegmentNumber{readWord(bytes, 0)};
  out.bytes = readWord(bytes, wordBytes);
  out.lastSequence = SequenceNumber{readWord(bytes, 2 * wordBytes)};
  out.isSealed = readLittleEndian<std::uint8_t>(bytes, 3 * wordBytes) != 0;
  return out;
}

ManifestReadResult corruptManifest() { return {std::nullopt, HeaderError::corrupt}; }

}  // namespace

std::string encodeManifest(const Manifest& manifest) {
  std::string value;
  appendLittleEndian(value, rawValue(manifest.nextSegment));
  appendLittleEndian(value, rawValue(manifest.nextSequence));
  appendLittleEndian(value, rawValue(manifest.floor));
  appendLittleEndian(value, std::uint64_t{manifest.sweeps.size()});
  appendLittleEndian(value, std::uint64_t{manifest.segments.size()});
  for (const ExpirySweep& sweep : manifest.sweeps) {
    appendLittleEndian(value, rawValue(sweep.before));
    appendLittleEndian(value, static_cast<std::int64_t>(sweep.expiredBy.time_since_epoch().count()));
  }
  for (const Manifest::Segment& segment : manifest.segments) {
    appendLittleEndian(value, rawValue(segment.number));
    appendLittleEndian(value, segment.bytes);
    appendLittleEndian(value, rawValue(segment.lastSequence));
    appendLittleEndian(value, static_cast<std::uint8_t>(segment.isSealed));
  }
  const RecordPosition position = manifestPosition(manifest.storeId);
  std::string out = encodeHeader(position.file);
  appendRecord(out, {RecordKind::manifest, false, SequenceNumber{0}, neverExpires, {}, value}, position);
  return out;
}

ManifestReadResult decodeManifest(std::string_view bytes) {
  const HeaderReadResult header = decodeHeader(bytes);
  if (header.error != HeaderError::none) return {std::nullopt, header.error};
  if (header.header.kind != FileKind::manifest) return corruptManifest();
  const RecordReadResult read =
      readRecord(bytes.substr(fileHeaderBytes), manifestPosition(header.header.storeId));
  const std::string_view value = read.record.value;
  if (read.state != RecordReadResult::State::complete || read.record.kind != RecordKind::manifest ||
      value.size() < fixedBytes)
    return corruptManifest();

  Manifest out;
  out.storeId = header.header.storeId;
  out.nextSegment = SegmentNumber{readWord(value, 0)};
  out.nextSequence = SequenceNumber{readWord(value, wordBytes)};
  out.floor = SequenceNumber{readWord(value, 2 * wordBytes)};
  const std::uint64_t sweepCount = readWord(value, 3 * wordBytes);
  const std::uint64_t segmentCount = readWord(value, 4 * wordBytes);
  // The counts are checked first, because the products could overflow.
  if (sweepCount > value.size() || segmentCount > value.size() ||
      value.size() != fixedBytes + sweepCount * sweepBytes + segmentCount * segmentBytes)
    return corruptManifest();
  std::size_t offset = fixedBytes;
  for (std::uint64_t i = 0; i < sweepCount; ++i, offset += sweepBytes)
    out.sweeps.push_back(readSweep(value.substr(offset, sweepBytes)));
  for (std::uint64_t i = 0; i < segmentCount; ++i, offset += segmentBytes)
    out.segments.push_back(readSegment(value.substr(offset, segmentBytes)));
  return {out, HeaderError::none};
}

}  // namespace rainhook::store
