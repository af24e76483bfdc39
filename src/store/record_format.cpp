#include "store/record_format.h"

#include <xxhash.h>

#include <array>
#include <cstring>

#include "store/little_endian.h"

namespace rainhook::store {
namespace {

constexpr std::string_view fileMagic = "RAINHOOK";
constexpr std::string_view recordMagic = "\xd7RHr";

/// Offsets of the fields of a file header.
namespace headerField {
constexpr std::size_t version = 8;
constexpr std::size_t kind = 10;
constexpr std::size_t storeId = 16;
constexpr std::size_t segment = 24;
constexpr std::size_t checksum = 32;
}  // namespace headerField

/// Offsets of the fields of a record.
namespace recordField {
constexpr std::size_t checksum = 4;
constexpr std::size_t length = 12;
constexpr std::size_t sequence = 16;
constexpr std::size_t expiry = 24;
constexpr std::size_t keyLength = 32;
constexpr std::size_t valueLength = 36;
constexpr std::size_t kind = 40;
constexpr std::size_t isCompressed = 41;
}  // namespace recordField

/// The checksum of a record covers all bytes from this offset on, which is directly after the checksum.
constexpr std::size_t checksummedFrom = recordField::length;

/// XXH3-64 over store id, file kind, segment number and offset, encoded as in the files. Uses no string,
/// because recovery computes it for each record.
std::uint64_t checksumSeed(const RecordPosition& position) {
  std::array<unsigned char, 26> bytes{};
  std::size_t size = 0;
  const auto add = [&](std::uint64_t value, std::size_t width) {
    for (std::size_t i = 0; i < width; ++i)
      bytes[size++] = static_cast<unsigned char>(value >> (bitsPerByte * i));
  };
  add(rawValue(position.file.storeId), sizeof(std::uint64_t));
  add(static_cast<std::uint64_t>(position.file.kind), sizeof(std::uint16_t));
  add(rawValue(position.file.segment), sizeof(std::uint64_t));
  add(position.offset, sizeof(std::uint64_t));
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace

std::string encodeHeader(const FileHeader& header) {
  std::string out(fileMagic);
  appendLittleEndian(out, header.version);
  appendLittleEndian(out, static_cast<std::uint16_t>(header.kind));
  appendLittleEndian(out, std::uint32_t{0});
  appendLittleEndian(out, rawValue(header.storeId));
  appendLittleEndian(out, rawValue(header.segment));
  appendLittleEndian(out, checksum(out, 0));
  return out;
}

HeaderReadResult decodeHeader(std::string_view bytes) {
  if (bytes.size() < fileHeaderBytes) return {{}, HeaderError::truncated};
  const auto stored = readLittleEndian<std::uint64_t>(bytes, headerField::checksum);
  if (!bytes.starts_with(fileMagic) || stored != checksum(bytes.substr(0, headerField::checksum), 0))
    return {{}, HeaderError::corrupt};
  FileHeader header;
  header.version = readLittleEndian<std::uint16_t>(bytes, headerField::version);
  header.kind = static_cast<FileKind>(readLittleEndian<std::uint16_t>(bytes, headerField::kind));
  header.storeId = StoreId{readLittleEndian<std::uint64_t>(bytes, headerField::storeId)};
  header.segment = SegmentNumber{readLittleEndian<std::uint64_t>(bytes, headerField::segment)};
  return {header, header.version > formatVersion ? HeaderError::newerVersion : HeaderError::none};
}

void appendRecord(std::string& out, const Record& record, const RecordPosition& position) {
  const std::size_t begin = out.size();
  out += recordMagic;
  appendLittleEndian(out, std::uint64_t{0});  // the checksum, filled in below
  appendLittleEndian(out, static_cast<std::uint32_t>(recordBytes(record.key.size(), record.value.size())));
  appendLittleEndian(out, rawValue(record.sequence));
  appendLittleEndian(out, static_cast<std::int64_t>(record.expiry.time_since_epoch().count()));
  appendLittleEndian(out, static_cast<std::uint32_t>(record.key.size()));
  appendLittleEndian(out, static_cast<std::uint32_t>(record.value.size()));
  appendLittleEndian(out, static_cast<std::uint8_t>(record.kind));
  appendLittleEndian(out, static_cast<std::uint8_t>(record.isCompressed));
  appendLittleEndian(out, std::uint16_t{0});
  appendLittleEndian(out, std::uint32_t{0});
  out += record.key;
  out += record.value;
  std::string sum;
  appendLittleEndian(sum,
                     checksum(std::string_view(out).substr(begin + checksummedFrom), checksumSeed(position)));
  out.replace(begin + recordField::checksum, sum.size(), sum);
}

RecordReadResult readRecord(std::string_view bytes, const RecordPosition& position) {
  using enum RecordReadResult::State;
  if (!bytes.starts_with(recordMagic.substr(0, bytes.size()))) return {};
  if (bytes.size() < recordHeaderBytes) return {needsMoreBytes, {}, recordHeaderBytes};
  const std::size_t length = readLittleEndian<std::uint32_t>(bytes, recordField::length);
  const std::size_t keyLength = readLittleEndian<std::uint32_t>(bytes, recordField::keyLength);
  const std::size_t valueLength = readLittleEndian<std::uint32_t>(bytes, recordField::valueLength);
  if (length != recordBytes(keyLength, valueLength)) return {};
  if (bytes.size() < length) return {needsMoreBytes, {}, length};
  const auto checksummed = bytes.substr(checksummedFrom, length - checksummedFrom);
  if (readLittleEndian<std::uint64_t>(bytes, recordField::checksum) !=
      checksum(checksummed, checksumSeed(position)))
    return {};

  RecordReadResult out{complete, {}, length};
  out.record.sequence = SequenceNumber{readLittleEndian<std::uint64_t>(bytes, recordField::sequence)};
  out.record.expiry =
      UnixTime(std::chrono::milliseconds(readLittleEndian<std::int64_t>(bytes, recordField::expiry)));
  out.record.kind = static_cast<RecordKind>(readLittleEndian<std::uint8_t>(bytes, recordField::kind));
  out.record.isCompressed = readLittleEndian<std::uint8_t>(bytes, recordField::isCompressed) != 0;
  out.record.key = bytes.substr(recordHeaderBytes, keyLength);
  out.record.value = bytes.substr(recordHeaderBytes + keyLength, valueLength);
  return out;
}

std::size_t findRecordCandidate(std::string_view bytes, std::size_t from) {
  const std::size_t offset = bytes.find(recordMagic, from);
  if (offset != std::string_view::npos) return offset;
  // The bytes may end in the middle of the magic of a record.
  for (std::size_t length = recordMagic.size() - 1; length > 0; --length)
    if (bytes.size() >= from + length && bytes.ends_with(recordMagic.substr(0, length)))
      return bytes.size() - length;
  return std::string_view::npos;
}

std::string encodeHintLocation(const HintLocation& location) {
  std::string out;
  appendLittleEndian(out, location.offset);
  appendLittleEndian(out, location.bytes);
  return out;
}

std::optional<HintLocation> decodeHintLocation(std::string_view value) {
  if (value.size() != hintLocationBytes) return std::nullopt;
  return HintLocation{readLittleEndian<std::uint64_t>(value, 0),
                      readLittleEndian<std::uint64_t>(value, sizeof(std::uint64_t))};
}

}  // namespace rainhook::store
