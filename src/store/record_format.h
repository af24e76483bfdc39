/// @file
/// The byte layout of file headers, records and hint entries, as described in docs/store-format.md. Pure
/// functions.
///
/// The seed of a record's checksum includes the store, the file and the offset, so that bytes copied
/// elsewhere (a whole record inside a value, a block of an older file) are never accepted as a record there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/ids.h"

namespace rainhook::store {

/// The format version in each file header; files with a higher version are not read.
inline constexpr std::uint16_t formatVersion = 1;

/// The kind of a file's contents.
enum class FileKind : std::uint16_t { segment = 1, hint = 2, manifest = 3 };

/// The header at the beginning of every segment, hint file and manifest.
struct FileHeader {
  FileKind kind{};                        ///< The kind of the file's contents.
  StoreId storeId{};                      ///< The store that the file belongs to.
  SegmentNumber segment{};                ///< The segment's number; 0 in a manifest.
  std::uint16_t version = formatVersion;  ///< The format version.
};
/// Size of a header on disk.
inline constexpr std::size_t fileHeaderBytes = 40;

/// Why a header can't be used.
enum class HeaderError { none, truncated, corrupt, newerVersion };
/// The result of decoding a header.
struct HeaderReadResult {
  FileHeader header;                      ///< Also valid with newerVersion.
  HeaderError error = HeaderError::none;  ///< Why the header can't be used.
};

/// Encodes a header with its checksum.
std::string encodeHeader(const FileHeader& header);
/// Decodes the header at the beginning of the bytes.
HeaderReadResult decodeHeader(std::string_view bytes);

/// The kind of a record.
enum class RecordKind : std::uint8_t {
  put = 1,
  erase = 2,
  expirySweep = 3,  ///< All earlier records that expired no later than its time are deleted.
  hintEnd = 4,      ///< The last entry of a hint file: the segment's length and the number of entries.
  lost = 5,         ///< In hint files only: the record existed but can no longer be read.
  manifest = 6,     ///< The only record of a manifest.
  discard = 7,      ///< All records up to its sequence number are discarded; see KeyIndex::floor.
};

/// A record without its position; does not own its key and value.
struct Record {
  RecordKind kind{};               ///< The record's kind.
  bool isCompressed = false;       ///< The value is a zstd frame.
  SequenceNumber sequence{};       ///< The record's position in the order of all records of the store.
  UnixTime expiry = neverExpires;  ///< When the value expires.
  std::string_view key;            ///< The key as the caller passed it.
  std::string_view value;          ///< The value as stored on disk, possibly compressed.
};
/// Size of a record without key and value.
inline constexpr std::size_t recordHeaderBytes = 48;
/// Size of the value of a hint entry.
inline constexpr std::size_t hintLocationBytes = 16;

/// Size of a record on disk.
constexpr std::size_t recordBytes(std::size_t keyBytes, std::size_t valueBytes) {
  return recordHeaderBytes + keyBytes + valueBytes;
}
/// Size of a record's entry in the hint file.
constexpr std::size_t hintEntryBytes(std::size_t keyBytes) {
  return recordBytes(keyBytes, hintLocationBytes);
}

/// Size of a record that states the floor, with its hint entry.
inline constexpr std::size_t floorRecordBytes = recordBytes(0, 0) + hintEntryBytes(0);

/// The file and offset of a record, which its checksum covers.
struct RecordPosition {
  FileHeader file;           ///< The header of the file.
  std::uint64_t offset = 0;  ///< Offset from the beginning of the file.
};

/// Appends the encoded record, which will be written at this position.
void appendRecord(std::string& out, const Record& record, const RecordPosition& position);

/// The result of decoding a record.
struct RecordReadResult {
  /// Whether an intact record was found.
  enum class State { complete, needsMoreBytes, notARecord };

  State state = State::notARecord;  ///< `record` is valid only if this is `complete`.
  Record record;                    ///< Its views point into the decoded bytes.
  std::size_t bytes = 0;            ///< Size of the record; with needsMoreBytes, the size in its header.
};
/// Decodes the record at the beginning of the bytes.
RecordReadResult readRecord(std::string_view bytes, const RecordPosition& position);
/// The next offset at or after `from` where a record could begin, or npos.
std::size_t findRecordCandidate(std::string_view bytes, std::size_t from);

/// The value of a hint entry: the location of the described record in the segment.
struct HintLocation {
  std::uint64_t offset = 0;  ///< Offset from the beginning of the segment file.
  std::uint64_t bytes = 0;   ///< Size of the record.
};
/// Encodes the value of a hint entry.
std::string encodeHintLocation(const HintLocation& location);
/// Returns nullopt if the value does not have `hintLocationBytes` bytes.
std::optional<HintLocation> decodeHintLocation(std::string_view value);

}  // namespace rainhook::store
