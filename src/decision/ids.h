/// @file
/// The identifiers and the time type of the decision module.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rainhook {

/// A span of time. A point in time is expressed as the span since the start of the policy instance.
using Duration = std::chrono::nanoseconds;

/// Identifies a request at this server. The host assigns it and never reuses it within an instance.
enum class RequestId : std::uint32_t {};

/// The kind of a request; the index of its entry in `PolicySettings::handlers`.
enum class HandlerId : std::uint8_t {};

/// The tenant on whose behalf a request is made.
enum class TenantId : std::uint16_t {};

/// The process that sent a request.
enum class ClientId : std::uint64_t {};

/// The resource that a request reads or writes; zero if the request names none.
enum class ResourceKey : std::uint64_t {};

/// A timer that the policy has set.
enum class TimerId : std::uint32_t {};

/// The random seed that a deployment passes to an instance. The policy ignores it: no decision is random.
enum class Seed : std::uint64_t {};

/// Returns the index of an identifier in a table with one entry for each identifier.
template <typename Id>
[[nodiscard]] constexpr std::size_t indexOf(Id id) {
  return static_cast<std::size_t>(id);
}

}  // namespace rainhook
