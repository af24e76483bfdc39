// What stands in the files, byte by byte as in docs/store-format.md. Pure: bytes in, records out.
//
// A record's checksum is seeded with the store, the file and the offset, so that bytes which were copied
// elsewhere (a whole record inside a value, a block of an older file) never pass for a record there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/ids.h"

namespace rainhook::store {

inline constexpr std::uint16_t formatVersion = 1;

enum class FileKind : std::uint16_t { segment = 1, hint = 2, manifest = 3 };

struct FileHeader {
  FileKind kind{};
  StoreId store{};
  SegmentNumber number{};
  std::uint16_t version = formatVersion;
};
inline constexpr std::size_t fileHeaderBytes = 40;

std::string encodeHeader(const FileHeader& head);
enum class HeaderError { none, truncated, corrupt, newerVersion };
struct HeaderReadResult {
  FileHeader head;  // as far as it could be read
  HeaderError error = HeaderError::none;
};
HeaderReadResult decodeHeader(std::string_view bytes);

enum class RecordKind : std::uint8_t {
  put = 1,
  erase = 2,
  expirySweep = 3,  // what was written before and was good until this time at most is gone
  hintEnd = 4,      // last in a hint file: the segment's length and the number of entries
  lost = 5,         // in hint files: the record was there and can't be read any more
  manifest = 6,     // the one record of a manifest
};

struct Record {
  RecordKind kind{};
  bool isCompressed = false;  // the value is zstd
  SequenceNumber sequence{};
  UnixTime expiry = neverExpires;
  std::string_view key, value;
};
inline constexpr std::size_t recordHeaderBytes = 48;
inline constexpr std::size_t hintLocationBytes = 16;

constexpr std::size_t recordBytes(std::size_t key, std::size_t value) {
  return recordHeaderBytes + key + value;
}
constexpr std::size_t hintEntryBytes(std::size_t key) { return recordBytes(key, hintLocationBytes); }

// Where a record stands; part of its checksum.
struct RecordPosition {
  FileHeader file;
  std::uint64_t offset = 0;
};

void appendRecord(std::string& out, const Record& record, const RecordPosition& spot);

// The record at the beginning of the bytes. Views point into them.
struct RecordReadResult {
  enum class State { complete, needsMoreBytes, notARecord } state = State::notARecord;
  Record record;
  std::size_t bytes = 0;  // of the record; with needsMore what it claims to have
};
RecordReadResult readRecord(std::string_view bytes, const RecordPosition& spot);
// The next place at or after `from` where a record could begin, or npos.
std::size_t findRecordCandidate(std::string_view bytes, std::size_t from);

// A hint entry is a record whose value is the place of the record that it stands for.
struct HintLocation {
  std::uint64_t offset = 0, bytes = 0;
};
std::string encodeHintLocation(const HintLocation& place);
std::optional<HintLocation> decodeHintLocation(std::string_view value);

struct ExpirySweep {
  SequenceNumber before{};
  UnixTime until{};

  bool operator==(const ExpirySweep&) const = default;
};

struct Manifest {
  struct Listed {
    SegmentNumber number{};
    bool sealed = false;
    std::uint64_t bytes = 0;  // of a sealed one
    SequenceNumber last{};    // the highest in a sealed one

    bool operator==(const Listed&) const = default;
  };
  StoreId store{};
  SegmentNumber nextNumber{};
  SequenceNumber nextSequence{};
  SequenceNumber floor{};  // records below it are gone: aged out, or in doubt
  std::vector<ExpirySweep> sweeps;
  std::vector<Listed> segments;

  bool operator==(const Manifest&) const = default;
};
std::string encodeManifest(const Manifest& manifest);
struct ManifestReadResult {
  std::optional<Manifest> manifest;
  HeaderError error = HeaderError::none;
};
ManifestReadResult decodeManifest(std::string_view bytes);

// Names in the folder.
inline constexpr const char* manifestFileName = "MANIFEST";
inline constexpr const char* manifestTemporaryFileName = "MANIFEST.tmp";
inline constexpr const char* incompleteMarkerFileName = "INCOMPLETE";  // in a snapshot until it is whole
inline constexpr const char* lockFileName = "LOCK";
inline constexpr const char* quarantinePrefix = "aside-";
std::string segmentFileName(SegmentNumber number);
std::string hintFileName(SegmentNumber number);
std::string hintTemporaryFileName(SegmentNumber number);
struct ParsedFileName {
  FileKind kind{};
  SegmentNumber number{};
  bool temporary = false;
};
std::optional<ParsedFileName> parseFileName(std::string_view name);

// zstd. `pack` gives nothing where that does not make it shorter; `unpack` nothing where it is no zstd or
// longer than allowed.
std::optional<std::string> compress(std::string_view plain);
std::optional<std::string> decompress(std::string_view packed, std::size_t longest);

}  // namespace rainhook::store
