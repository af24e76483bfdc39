/// @file
/// The identifiers and times of the store, each a type of its own.
#pragma once

#include <chrono>
#include <cstdint>

namespace rainhook::store {

/// Milliseconds since 1970: what is stored outlives the process, so no monotonic clock will do.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// The expiry of an entry that never expires.
inline constexpr UnixTime neverExpires = UnixTime::max();

/// Chosen at random when a store is created; its snapshots carry the same one.
enum class StoreId : std::uint64_t {};
/// Numbers the segments of one store; never used twice.
enum class SegmentNumber : std::uint64_t {};
/// Orders all writes of one store; of two records of a key the higher one is current.
enum class SequenceNumber : std::uint64_t {};

/// The number of an identifier, as it is stored.
template <typename Id>
constexpr std::uint64_t rawValue(Id id) {
  return static_cast<std::uint64_t>(id);
}
/// The identifier that follows.
template <typename Id>
constexpr Id successor(Id id) {
  return Id{rawValue(id) + 1};
}

}  // namespace rainhook::store
