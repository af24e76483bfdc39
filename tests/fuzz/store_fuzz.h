/// @file
/// The entry point that the fuzzer and the tests use to check the store's recovery with arbitrary bytes.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rainhook::store {

/// Aborts unless the store recovers from files with these bytes, reads nothing past their end, and returns a
/// value that it commits afterwards.
void fuzzStore(const std::uint8_t* data, std::size_t size);

}  // namespace rainhook::store
