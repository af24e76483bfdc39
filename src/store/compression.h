/// @file
/// Compresses values into zstd frames and decompresses them. Pure functions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::store {

/// Returns nullopt if compression does not make the value shorter.
std::optional<std::string> compress(std::string_view plain);
/// Returns nullopt if the input is not a valid zstd frame or its content exceeds `maxBytes`.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

}  // namespace rainhook::store
