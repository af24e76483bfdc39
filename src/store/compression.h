/// @file
/// Values as zstd frames. Pure functions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::store {

/// Nothing where compression would not make it shorter.
std::optional<std::string> compress(std::string_view plain);
/// Nothing where this is no zstd frame, or holds more than `maxBytes`.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

}  // namespace rainhook::store
