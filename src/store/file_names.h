/// @file
/// The names of the files in a store's folder.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

/// The manifest.
inline constexpr const char* manifestFileName = "MANIFEST";
/// A manifest that has not replaced its predecessor yet.
inline constexpr const char* manifestTemporaryFileName = "MANIFEST.tmp";
inline constexpr const char* incompleteMarkerFileName = "INCOMPLETE";  ///< In a snapshot until it is whole.
/// Holds the pid of the process that has the folder open.
inline constexpr const char* lockFileName = "LOCK";
inline constexpr const char* quarantinePrefix = "aside-";  ///< Of files that do not belong to the store.

/// The file of a segment's records.
std::string segmentFileName(SegmentNumber number);
/// The hint file beside it.
std::string hintFileName(SegmentNumber number);
/// A hint file that has not replaced its predecessor yet.
std::string hintTemporaryFileName(SegmentNumber number);

/// What the name of a segment's file tells.
struct ParsedFileName {
  FileKind kind{};           ///< Segment or hint.
  SegmentNumber number{};    ///< Which segment.
  bool isTemporary = false;  ///< It has not replaced its predecessor yet.
};
/// Nothing where this is no name of a segment or a hint file.
std::optional<ParsedFileName> parseFileName(std::string_view name);

}  // namespace rainhook::store
