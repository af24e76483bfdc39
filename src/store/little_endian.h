/// @file
/// Encodes and decodes the integers in the store's files, which are little endian on every machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rainhook::store {

/// The number of bits in a byte.
constexpr unsigned bitsPerByte = 8;

/// Appends the integer's bytes, the least significant first.
template <typename T>
void appendLittleEndian(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i)
    out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (bitsPerByte * i) & 0xff));
}

/// Reads the integer at `offset`. All of its bytes must lie within `bytes`.
template <typename T>
T readLittleEndian(std::string_view bytes, std::size_t offset) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (bitsPerByte * i);
  return static_cast<T>(value);
}

}  // namespace rainhook::store
