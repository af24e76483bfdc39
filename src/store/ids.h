/// @file
/// The identifiers and times of the store, each with its own type.
#pragma once

#include <chrono>
#include <cstdint>

namespace rainhook::store {

/// Milliseconds since 1970. Stored times outlive the process, so a monotonic clock can't be used.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// The expiry of an entry that never expires.
inline constexpr UnixTime neverExpires = UnixTime::max();

/// The id of a store, chosen at random when the store is created. Its snapshots have the same id.
enum class StoreId : std::uint64_t {};
/// The number of a segment within its store. A number is never reused.
enum class SegmentNumber : std::uint64_t {};
/// Orders all writes of one store. Of two records of a key, the one with the higher number is current.
enum class SequenceNumber : std::uint64_t {};

/// The underlying number of an identifier, as it is stored.
template <typename Id>
constexpr std::uint64_t rawValue(Id id) {
  return static_cast<std::uint64_t>(id);
}
/// The next identifier.
template <typename Id>
constexpr Id successor(Id id) {
  return Id{rawValue(id) + 1};
}
/// The previous identifier; `id` must not be 0.
template <typename Id>
constexpr Id predecessor(Id id) {
  return Id{rawValue(id) - 1};
}

}  // namespace rainhook::store
