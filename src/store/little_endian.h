/// @file
/// Integers as the store's files hold them: little endian on every machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rainhook::store {

/// For shifts.
constexpr unsigned bitsPerByte = 8;

/// Appends the integer's bytes, the lowest first.
template <typename T>
void appendLittleEndian(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i)
    out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (bitsPerByte * i) & 0xff));
}

/// The integer at `offset`, which with its size must lie within the bytes.
template <typename T>
T readLittleEndian(std::string_view bytes, std::size_t offset) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (bitsPerByte * i);
  return static_cast<T>(value);
}

}  // namespace rainhook::store
