/// @file
/// Identifiers and the time type of the decision module.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rainhook {

/// A span of time. A point in time is the span since the start of the policy instance.
using Duration = std::chrono::nanoseconds;

/// One request at this server; chosen by the host, never reused within an instance.
enum class RequestId : std::uint32_t {};

/// The kind of a request; the index of its entry in `PolicySettings::handlers`.
enum class HandlerId : std::uint8_t {};

/// The tenant on whose behalf a request is made.
enum class TenantId : std::uint16_t {};

/// The process that sent a request.
enum class ClientId : std::uint64_t {};

/// The resource that a request reads or writes; zero where it names none.
enum class ResourceKey : std::uint64_t {};

/// A timer that the policy has set.
enum class TimerId : std::uint32_t {};

/// The random seed that a deployment hands to an instance. The policy takes none: it decides nothing by
/// chance.
enum class Seed : std::uint64_t {};

/// The position of an identifier in a table that holds one row for each.
template <typename Id>
[[nodiscard]] constexpr std::size_t indexOf(Id id) {
  return static_cast<std::size_t>(id);
}

}  // namespace rainhook
