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

struct FileHead {
  FileKind kind{};
  StoreId store{};
  SegmentNumber number{};
  std::uint16_t version = formatVersion;
};
inline constexpr std::size_t headBytes = 40;

std::string encodeHead(const FileHead& head);
enum class HeadFault { none, cut, damaged, newer };
struct HeadRead {
  FileHead head;  // as far as it could be read
  HeadFault fault = HeadFault::none;
};
HeadRead decodeHead(std::string_view bytes);

enum class Kind : std::uint8_t {
  put = 1,
  erase = 2,
  sweep = 3,     // what was written before and was good until this time at most is gone
  hintEnd = 4,   // last in a hint file: the segment's length and the number of entries
  lost = 5,      // in hint files: the record was there and can't be read any more
  manifest = 6,  // the one record of a manifest
};

struct Record {
  Kind kind{};
  bool packed = false;  // the value is zstd
  Sequence sequence{};
  UnixTime goodUntil = forever;
  std::string_view key, value;
};
inline constexpr std::size_t recordHeadBytes = 48;
inline constexpr std::size_t hintPlaceBytes = 16;

constexpr std::size_t recordBytes(std::size_t key, std::size_t value) {
  return recordHeadBytes + key + value;
}
constexpr std::size_t hintBytes(std::size_t key) { return recordBytes(key, hintPlaceBytes); }

// Where a record stands; part of its checksum.
struct Spot {
  FileHead file;
  std::uint64_t offset = 0;
};

void append(std::string& out, const Record& record, const Spot& spot);

// The record at the beginning of the bytes. Views point into them.
struct RecordRead {
  enum class Found { whole, needsMore, none } found = Found::none;
  Record record;
  std::size_t bytes = 0;  // of the record; with needsMore what it claims to have
};
RecordRead readRecord(std::string_view bytes, const Spot& spot);
// The next place at or after `from` where a record could begin, or npos.
std::size_t nextCandidate(std::string_view bytes, std::size_t from);

// A hint entry is a record whose value is the place of the record that it stands for.
struct HintPlace {
  std::uint64_t offset = 0, bytes = 0;
};
std::string encodePlace(const HintPlace& place);
std::optional<HintPlace> decodePlace(std::string_view value);

struct Sweep {
  Sequence before{};
  UnixTime until{};

  bool operator==(const Sweep&) const = default;
};

struct Manifest {
  struct Listed {
    SegmentNumber number{};
    bool sealed = false;
    std::uint64_t bytes = 0;  // of a sealed one
    Sequence last{};          // the highest in a sealed one

    bool operator==(const Listed&) const = default;
  };
  StoreId store{};
  SegmentNumber nextNumber{};
  Sequence nextSequence{};
  Sequence floor{};  // records below it are gone: aged out, or in doubt
  std::vector<Sweep> sweeps;
  std::vector<Listed> segments;

  bool operator==(const Manifest&) const = default;
};
std::string encodeManifest(const Manifest& manifest);
struct ManifestRead {
  std::optional<Manifest> manifest;
  HeadFault fault = HeadFault::none;
};
ManifestRead decodeManifest(std::string_view bytes);

// Names in the folder.
inline constexpr const char* manifestName = "MANIFEST";
inline constexpr const char* manifestTemporary = "MANIFEST.tmp";
inline constexpr const char* incompleteName = "INCOMPLETE";  // in a snapshot until it is whole
inline constexpr const char* lockName = "LOCK";
inline constexpr const char* asidePrefix = "aside-";
std::string segmentName(SegmentNumber number);
std::string hintName(SegmentNumber number);
std::string hintTemporary(SegmentNumber number);
struct Named {
  FileKind kind{};
  SegmentNumber number{};
  bool temporary = false;
};
std::optional<Named> readName(std::string_view name);

// zstd. `pack` gives nothing where that does not make it shorter; `unpack` nothing where it is no zstd or
// longer than allowed.
std::optional<std::string> pack(std::string_view plain);
std::optional<std::string> unpack(std::string_view packed, std::size_t longest);

}  // namespace rainhook::store
