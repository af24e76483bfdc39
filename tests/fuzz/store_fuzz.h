/// @file
/// What the fuzzer and the tests feed to the store's readers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rainhook::store {

/// Aborts unless a start on these bytes succeeds, nothing is read beyond its end, and what is written is read
/// back.
void fuzzStore(const std::uint8_t* data, std::size_t size);

}  // namespace rainhook::store
