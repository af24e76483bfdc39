/// @file
/// The names of the files in a store's folder.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

/// The name of the manifest.
inline constexpr const char* manifestFileName = "MANIFEST";
/// The name of a new manifest until it replaces the old one.
inline constexpr const char* manifestTemporaryFileName = "MANIFEST.tmp";
/// Marks a snapshot folder until the snapshot is complete.
inline constexpr const char* incompleteMarkerFileName = "INCOMPLETE";
/// The lock file; it contains the pid of the process that has the folder open.
inline constexpr const char* lockFileName = "LOCK";
/// The prefix of the names of quarantined files, which do not belong to the store.
inline constexpr const char* quarantinePrefix = "aside-";

/// The name of the file with a segment's records.
std::string segmentFileName(SegmentNumber number);
/// The name of a segment's hint file.
std::string hintFileName(SegmentNumber number);
/// The name of a new hint file until it replaces the old one.
std::string hintTemporaryFileName(SegmentNumber number);

/// The parts of the name of a segment file or a hint file.
struct ParsedFileName {
  FileKind kind{};           ///< Segment or hint.
  SegmentNumber number{};    ///< The segment that the file belongs to.
  bool isTemporary = false;  ///< The file has not replaced its predecessor yet.
};
/// Returns nullopt if the name is not that of a segment file or a hint file.
std::optional<ParsedFileName> parseFileName(std::string_view name);

}  // namespace rainhook::store
