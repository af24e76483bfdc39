#include "store/format.h"

#include <fmt/format.h>
#include <xxhash.h>
#include <zstd.h>

#include <array>
#include <charconv>
#include <cstring>

namespace rainhook::store {
namespace {

constexpr std::string_view fileMagic = "RAINHOOK", recordMagic = "\xd7RHr";

// Little endian whatever the machine.
template <typename T>
void put(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i)
    out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
}
template <typename T>
T get(std::string_view bytes, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return static_cast<T>(value);
}

// The same bytes as in the files, without a string: this is asked for each record of a start.
std::uint64_t seedOf(const RecordPosition& spot) {
  std::array<unsigned char, 26> words{};
  std::size_t at = 0;
  const auto add = [&](std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i) words[at++] = static_cast<unsigned char>(value >> (8 * i));
  };
  add(rawValue(spot.file.store), 8);
  add(static_cast<std::uint64_t>(spot.file.kind), 2);
  add(rawValue(spot.file.number), 8);
  add(spot.offset, 8);
  return XXH3_64bits(words.data(), words.size());
}

std::uint64_t checkOf(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

constexpr std::size_t checkedFrom = 12;  // behind magic and checksum

}  // namespace

std::string encodeHeader(const FileHeader& head) {
  std::string out(fileMagic);
  put(out, head.version);
  put(out, static_cast<std::uint16_t>(head.kind));
  put(out, std::uint32_t{0});
  put(out, rawValue(head.store));
  put(out, rawValue(head.number));
  put(out, checkOf(out, 0));
  return out;
}

HeaderReadResult decodeHeader(std::string_view bytes) {
  if (bytes.size() < fileHeaderBytes) return {{}, HeaderError::truncated};
  const auto checked = bytes.substr(0, fileHeaderBytes - 8);
  if (!bytes.starts_with(fileMagic) || get<std::uint64_t>(bytes, fileHeaderBytes - 8) != checkOf(checked, 0))
    return {{}, HeaderError::corrupt};
  FileHeader head;
  head.version = get<std::uint16_t>(bytes, 8);
  head.kind = static_cast<FileKind>(get<std::uint16_t>(bytes, 10));
  head.store = StoreId{get<std::uint64_t>(bytes, 16)};
  head.number = SegmentNumber{get<std::uint64_t>(bytes, 24)};
  return {head, head.version > formatVersion ? HeaderError::newerVersion : HeaderError::none};
}

void appendRecord(std::string& out, const Record& record, const RecordPosition& spot) {
  const std::size_t begin = out.size();
  out += recordMagic;
  put(out, std::uint64_t{0});  // the checksum, below
  put(out, static_cast<std::uint32_t>(recordBytes(record.key.size(), record.value.size())));
  put(out, rawValue(record.sequence));
  put(out, static_cast<std::int64_t>(record.expiry.time_since_epoch().count()));
  put(out, static_cast<std::uint32_t>(record.key.size()));
  put(out, static_cast<std::uint32_t>(record.value.size()));
  put(out, static_cast<std::uint8_t>(record.kind));
  put(out, static_cast<std::uint8_t>(record.isCompressed));
  put(out, std::uint16_t{0});
  put(out, std::uint32_t{0});
  out += record.key;
  out += record.value;
  std::string check;
  put(check, checkOf(std::string_view(out).substr(begin + checkedFrom), seedOf(spot)));
  out.replace(begin + recordMagic.size(), check.size(), check);
}

RecordReadResult readRecord(std::string_view bytes, const RecordPosition& spot) {
  using enum RecordReadResult::State;
  if (!bytes.starts_with(recordMagic.substr(0, bytes.size()))) return {};
  if (bytes.size() < recordHeaderBytes) return {needsMoreBytes, {}, recordHeaderBytes};
  const std::size_t length = get<std::uint32_t>(bytes, 12);
  const std::size_t key = get<std::uint32_t>(bytes, 32), value = get<std::uint32_t>(bytes, 36);
  if (length != recordBytes(key, value)) return {};
  if (bytes.size() < length) return {needsMoreBytes, {}, length};
  if (get<std::uint64_t>(bytes, 4) != checkOf(bytes.substr(checkedFrom, length - checkedFrom), seedOf(spot)))
    return {};
  RecordReadResult out{complete, {}, length};
  out.record.sequence = SequenceNumber{get<std::uint64_t>(bytes, 16)};
  out.record.expiry = UnixTime(std::chrono::milliseconds(get<std::int64_t>(bytes, 24)));
  out.record.kind = static_cast<RecordKind>(get<std::uint8_t>(bytes, 40));
  out.record.isCompressed = get<std::uint8_t>(bytes, 41) != 0;
  out.record.key = bytes.substr(recordHeaderBytes, key);
  out.record.value = bytes.substr(recordHeaderBytes + key, value);
  return out;
}

std::size_t findRecordCandidate(std::string_view bytes, std::size_t from) {
  const auto at = bytes.find(recordMagic, from);
  if (at != std::string_view::npos) return at;
  // One whose magic is cut off by the end of what was read.
  for (std::size_t left = recordMagic.size() - 1; left > 0; --left)
    if (bytes.size() >= from + left && bytes.ends_with(recordMagic.substr(0, left)))
      return bytes.size() - left;
  return std::string_view::npos;
}

std::string encodeHintLocation(const HintLocation& place) {
  std::string out;
  put(out, place.offset);
  put(out, place.bytes);
  return out;
}

std::optional<HintLocation> decodeHintLocation(std::string_view value) {
  if (value.size() != hintLocationBytes) return std::nullopt;
  return HintLocation{get<std::uint64_t>(value, 0), get<std::uint64_t>(value, 8)};
}

namespace {
constexpr std::size_t manifestFixed = 40, sweepBytes = 16, listedBytes = 25;
RecordPosition manifestSpot(StoreId store) {
  return {{FileKind::manifest, store, SegmentNumber{0}}, fileHeaderBytes};
}
}  // namespace

std::string encodeManifest(const Manifest& manifest) {
  std::string value;
  put(value, rawValue(manifest.nextNumber));
  put(value, rawValue(manifest.nextSequence));
  put(value, rawValue(manifest.floor));
  put(value, std::uint64_t{manifest.sweeps.size()});
  put(value, std::uint64_t{manifest.segments.size()});
  for (const ExpirySweep& sweep : manifest.sweeps) {
    put(value, rawValue(sweep.before));
    put(value, static_cast<std::int64_t>(sweep.until.time_since_epoch().count()));
  }
  for (const auto& segment : manifest.segments) {
    put(value, rawValue(segment.number));
    put(value, segment.bytes);
    put(value, rawValue(segment.last));
    put(value, static_cast<std::uint8_t>(segment.sealed));
  }
  const RecordPosition spot = manifestSpot(manifest.store);
  auto out = encodeHeader(spot.file);
  appendRecord(out, {RecordKind::manifest, false, SequenceNumber{0}, neverExpires, {}, value}, spot);
  return out;
}

ManifestReadResult decodeManifest(std::string_view bytes) {
  const auto head = decodeHeader(bytes);
  if (head.error != HeaderError::none) return {std::nullopt, head.error};
  ManifestReadResult wrong{std::nullopt, HeaderError::corrupt};
  if (head.head.kind != FileKind::manifest) return wrong;
  const auto read = readRecord(bytes.substr(fileHeaderBytes), manifestSpot(head.head.store));
  const auto value = read.record.value;
  if (read.state != RecordReadResult::State::complete || read.record.kind != RecordKind::manifest ||
      value.size() < manifestFixed)
    return wrong;
  Manifest out;
  out.store = head.head.store;
  out.nextNumber = SegmentNumber{get<std::uint64_t>(value, 0)};
  out.nextSequence = SequenceNumber{get<std::uint64_t>(value, 8)};
  out.floor = SequenceNumber{get<std::uint64_t>(value, 16)};
  const auto sweeps = get<std::uint64_t>(value, 24), segments = get<std::uint64_t>(value, 32);
  if (sweeps > value.size() || segments > value.size() ||
      value.size() != manifestFixed + sweeps * sweepBytes + segments * listedBytes)
    return wrong;
  std::size_t at = manifestFixed;
  for (std::uint64_t i = 0; i < sweeps; ++i, at += sweepBytes)
    out.sweeps.push_back({SequenceNumber{get<std::uint64_t>(value, at)},
                          UnixTime(std::chrono::milliseconds(get<std::int64_t>(value, at + 8)))});
  for (std::uint64_t i = 0; i < segments; ++i, at += listedBytes)
    out.segments.push_back({SegmentNumber{get<std::uint64_t>(value, at)},
                            get<std::uint8_t>(value, at + 24) != 0, get<std::uint64_t>(value, at + 8),
                            SequenceNumber{get<std::uint64_t>(value, at + 16)}});
  return {out, HeaderError::none};
}

std::string segmentFileName(SegmentNumber number) { return fmt::format("{:010}.seg", rawValue(number)); }
std::string hintFileName(SegmentNumber number) { return fmt::format("{:010}.hint", rawValue(number)); }
std::string hintTemporaryFileName(SegmentNumber number) { return hintFileName(number) + ".tmp"; }

std::optional<ParsedFileName> parseFileName(std::string_view name) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc{} || end - name.data() < 10) return std::nullopt;
  const auto rest = name.substr(static_cast<std::size_t>(end - name.data()));
  if (rest == ".seg") return ParsedFileName{FileKind::segment, SegmentNumber{number}, false};
  if (rest == ".hint") return ParsedFileName{FileKind::hint, SegmentNumber{number}, false};
  if (rest == ".hint.tmp") return ParsedFileName{FileKind::hint, SegmentNumber{number}, true};
  return std::nullopt;
}

std::optional<std::string> compress(std::string_view plain) {
  std::string out(ZSTD_compressBound(plain.size()), '\0');
  const auto size = ZSTD_compress(out.data(), out.size(), plain.data(), plain.size(), 1);
  if (ZSTD_isError(size) || size >= plain.size()) return std::nullopt;
  out.resize(size);
  return out;
}

std::optional<std::string> decompress(std::string_view packed, std::size_t longest) {
  const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > longest)
    return std::nullopt;
  std::string out(static_cast<std::size_t>(size), '\0');
  const auto got = ZSTD_decompress(out.data(), out.size(), packed.data(), packed.size());
  if (ZSTD_isError(got) || got != out.size()) return std::nullopt;
  return out;
}

}  // namespace rainhook::store
