// The kinds of number that the store deals in, each a type of its own.
#pragma once

#include <chrono>
#include <cstdint>

namespace rainhook::store {

// Milliseconds since 1970, since what is kept outlives the process.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;
inline constexpr UnixTime neverExpires = UnixTime::max();

enum class StoreId : std::uint64_t {};         // drawn when a store is made; its snapshots carry it too
enum class SegmentNumber : std::uint64_t {};   // never used twice in one store
enum class SequenceNumber : std::uint64_t {};  // the order of all writes; the higher one of a key holds

template <typename Id>
constexpr std::uint64_t rawValue(Id id) {
  return static_cast<std::uint64_t>(id);
}
template <typename Id>
constexpr Id successor(Id id) {
  return Id{rawValue(id) + 1};
}

}  // namespace rainhook::store
