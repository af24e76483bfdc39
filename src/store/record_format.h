/// @file
/// Byte layout of file headers, records and hint entries, as in docs/store-format.md. Pure functions.
///
/// A record's checksum is seeded with the store, the file and the offset, so that bytes which were copied
/// elsewhere (a whole record inside a value, a block of an older file) never pass for a record there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/ids.h"

namespace rainhook::store {

inline constexpr std::uint16_t formatVersion = 1;

enum class FileKind : std::uint16_t { segment = 1, hint = 2, manifest = 3 };

/// Stands at the beginning of every segment, hint file and manifest.
struct FileHeader {
  FileKind kind{};
  StoreId storeId{};
  SegmentNumber segment{};  ///< 0 in a manifest.
  std::uint16_t version = formatVersion;
};
inline constexpr std::size_t fileHeaderBytes = 40;

enum class HeaderError { none, truncated, corrupt, newerVersion };
struct HeaderReadResult {
  FileHeader header;  ///< Valid also with newerVersion.
  HeaderError error = HeaderError::none;
};

std::string encodeHeader(const FileHeader& header);
HeaderReadResult decodeHeader(std::string_view bytes);

enum class RecordKind : std::uint8_t {
  put = 1,
  erase = 2,
  expirySweep = 3,  ///< All records before it that expired by its time at the latest are gone.
  hintEnd = 4,      ///< Last in a hint file: the segment's length and the number of entries.
  lost = 5,         ///< In hint files: the record was there and can't be read any more.
  manifest = 6,     ///< The only record of a manifest.
};

struct Record {
  RecordKind kind{};
  bool isCompressed = false;  ///< The value is a zstd frame.
  SequenceNumber sequence{};
  UnixTime expiry = neverExpires;
  std::string_view key;
  std::string_view value;
};
inline constexpr std::size_t recordHeaderBytes = 48;
inline constexpr std::size_t hintLocationBytes = 16;

/// Length of a record on disk.
constexpr std::size_t recordBytes(std::size_t keyBytes, std::size_t valueBytes) {
  return recordHeaderBytes + keyBytes + valueBytes;
}
/// Length of a record's entry in the hint file.
constexpr std::size_t hintEntryBytes(std::size_t keyBytes) {
  return recordBytes(keyBytes, hintLocationBytes);
}

/// Where a record stands; part of its checksum.
struct RecordPosition {
  FileHeader file;
  std::uint64_t offset = 0;
};

void appendRecord(std::string& out, const Record& record, const RecordPosition& position);

struct RecordReadResult {
  enum class State { complete, needsMoreBytes, notARecord } state = State::notARecord;
  Record record;          ///< Its views point into the bytes that were read.
  std::size_t bytes = 0;  ///< Of the record; with needsMoreBytes the length that it claims.
};
/// Reads the record at the beginning of the bytes.
RecordReadResult readRecord(std::string_view bytes, const RecordPosition& position);
/// The next offset at or after `from` where a record could begin, or npos.
std::size_t findRecordCandidate(std::string_view bytes, std::size_t from);

/// The value of a hint entry: where in the segment the record stands that it describes.
struct HintLocation {
  std::uint64_t offset = 0;
  std::uint64_t bytes = 0;
};
std::string encodeHintLocation(const HintLocation& location);
std::optional<HintLocation> decodeHintLocation(std::string_view value);

}  // namespace rainhook::store
