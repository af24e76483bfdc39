/// @file
/// Hint files: an entry for each record of a segment, so that a start need not read the segment and knows
/// what stood where a record can't be read.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

/// What a hint file tells of one record.
struct HintEntry {
  RecordKind kind{};               ///< Of the record, or `lost`.
  std::string key;                 ///< Of the record.
  SequenceNumber sequence{};       ///< Of the record.
  UnixTime expiry = neverExpires;  ///< Of the record.
  HintLocation location;           ///< Where in the segment it stands.
};

/// The contents of a hint file.
struct HintFile {
  std::vector<HintEntry> entries;  ///< In the order of the file.
  /// What the end of the file says of the segment: its length and the number of entries. Absent where the end
  /// is missing or any entry is corrupt.
  std::optional<HintLocation> end;

  /// Whether the entries can stand for a segment of this length, which then need not be read.
  bool describes(std::uint64_t segmentBytes) const;
};

/// Reads what is intact of a hint file.
HintFile readHintFile(std::shared_ptr<File> file, StoreId storeId, SegmentNumber number);
/// The bytes of a whole hint file for a segment of this length.
std::string encodeHintFile(StoreId storeId, SegmentNumber number, const std::vector<HintEntry>& entries,
                           std::uint64_t segmentBytes);

}  // namespace rainhook::store
