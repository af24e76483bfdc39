/// @file
/// The names of the files in a store's folder.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

inline constexpr const char* manifestFileName = "MANIFEST";
inline constexpr const char* manifestTemporaryFileName = "MANIFEST.tmp";
inline constexpr const char* incompleteMarkerFileName = "INCOMPLETE";  ///< In a snapshot until it is whole.
inline constexpr const char* lockFileName = "LOCK";
inline constexpr const char* quarantinePrefix = "aside-";  ///< Of files that do not belong to the store.

std::string segmentFileName(SegmentNumber number);
std::string hintFileName(SegmentNumber number);
std::string hintTemporaryFileName(SegmentNumber number);

struct ParsedFileName {
  FileKind kind{};
  SegmentNumber number{};
  bool isTemporary = false;
};
/// Nothing where this is no name of a segment or a hint file.
std::optional<ParsedFileName> parseFileName(std::string_view name);

}  // namespace rainhook::store
