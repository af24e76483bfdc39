/// @file
/// Hint files: one entry for each record of a segment. Recovery uses them to avoid reading the segment, and
/// to identify records of the segment that can't be read.
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

/// A hint file's description of one record.
struct HintEntry {
  RecordKind kind{};               ///< The record's kind, or `lost`.
  std::string key;                 ///< The record's key.
  SequenceNumber sequence{};       ///< The record's sequence number.
  UnixTime expiry = neverExpires;  ///< The record's expiry.
  HintLocation location;           ///< The record's location in the segment.
};

/// The contents of a hint file.
struct HintFile {
  std::vector<HintEntry> entries;  ///< In the order of the file.
  /// The end entry: the segment's length as `offset` and the number of entries as `bytes`. Absent if the end
  /// entry is missing or any entry is corrupt.
  std::optional<HintLocation> end;

  /// Whether the entries describe a segment of this length completely, so that it need not be read.
  bool describes(std::uint64_t segmentBytes) const;
};

/// Reads the intact entries of a hint file.
HintFile readHintFile(std::shared_ptr<File> file, StoreId storeId, SegmentNumber number);
/// Encodes a complete hint file for a segment of this length.
std::string encodeHintFile(StoreId storeId, SegmentNumber number, const std::vector<HintEntry>& entries,
                           std::uint64_t segmentBytes);

}  // namespace rainhook::store
