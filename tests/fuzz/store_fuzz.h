// What the fuzzer and the tests feed to the store's readers: whatever the bytes, a start succeeds, nothing is
// read beyond its end, and what is read back is what was written.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rainhook::store {

void fuzzStore(const std::uint8_t* data, std::size_t size);

}  // namespace rainhook::store
