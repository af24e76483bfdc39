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

/// Written into each file; a file of a higher version is not read.
inline constexpr std::uint16_t formatVersion = 1;

/// What a file holds.
enum class FileKind : std::uint16_t { segment = 1, hint = 2, manifest = 3 };

/// Stands at the beginning of every segment, hint file and manifest.
struct FileHeader {
  FileKind kind{};                        ///< What the file holds.
  StoreId storeId{};                      ///< The store that it belongs to.
  SegmentNumber segment{};                ///< 0 in a manifest.
  std::uint16_t version = formatVersion;  ///< Of the format.
};
/// Length of a header on disk.
inline constexpr std::size_t fileHeaderBytes = 40;

/// What is wrong with a header.
enum class HeaderError { none, truncated, corrupt, newerVersion };
/// How the reading of a header ended.
struct HeaderReadResult {
  FileHeader header;                      ///< Valid also with newerVersion.
  HeaderError error = HeaderError::none;  ///< Why it is not valid.
};

/// The header's bytes, with their checksum.
std::string encodeHeader(const FileHeader& header);
/// Reads the header at the beginning of the bytes.
HeaderReadResult decodeHeader(std::string_view bytes);

/// What a record says.
enum class RecordKind : std::uint8_t {
  put = 1,
  erase = 2,
  expirySweep = 3,  ///< All records before it that expired by its time at the latest are gone.
  hintEnd = 4,      ///< Last in a hint file: the segment's length and the number of entries.
  lost = 5,         ///< In hint files: the record was there and can't be read any more.
  manifest = 6,     ///< The only record of a manifest.
};

/// A record without its position; does not own its key and value.
struct Record {
  RecordKind kind{};               ///< What it says.
  bool isCompressed = false;       ///< The value is a zstd frame.
  SequenceNumber sequence{};       ///< Orders it among all records of the store.
  UnixTime expiry = neverExpires;  ///< When its value expires.
  std::string_view key;            ///< The key, as the caller gave it.
  std::string_view value;          ///< As it stands on disk, perhaps compressed.
};
/// Length of a record without key and value.
inline constexpr std::size_t recordHeaderBytes = 48;
/// Length of the value of a hint entry.
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
  FileHeader file;           ///< The header of its file.
  std::uint64_t offset = 0;  ///< From the beginning of the file.
};

/// Appends the record's bytes, which will stand at this position.
void appendRecord(std::string& out, const Record& record, const RecordPosition& position);

/// How the reading of a record ended.
struct RecordReadResult {
  /// Whether an intact record was found.
  enum class State { complete, needsMoreBytes, notARecord };

  State state = State::notARecord;  ///< Only a complete record is valid.
  Record record;                    ///< Its views point into the bytes that were read.
  std::size_t bytes = 0;            ///< Of the record; with needsMoreBytes the length that it claims.
};
/// Reads the record at the beginning of the bytes.
RecordReadResult readRecord(std::string_view bytes, const RecordPosition& position);
/// The next offset at or after `from` where a record could begin, or npos.
std::size_t findRecordCandidate(std::string_view bytes, std::size_t from);

/// The value of a hint entry: where in the segment the record stands that it describes.
struct HintLocation {
  std::uint64_t offset = 0;  ///< From the beginning of the segment's file.
  std::uint64_t bytes = 0;   ///< Length of the record.
};
/// The value of a hint entry.
std::string encodeHintLocation(const HintLocation& location);
/// Nothing where the value has another length.
std::optional<HintLocation> decodeHintLocation(std::string_view value);

}  // namespace rainhook::store
