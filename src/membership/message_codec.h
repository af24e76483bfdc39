/// @file
/// The encoding of messages in MessagePack (https://github.com/msgpack/msgpack/blob/master/spec.md). Each
/// part is an array to which new releases may append elements: an older release ignores additional elements,
/// and a newer one uses defaults for missing elements. The transport adds the authentication.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/types.h"

namespace rainhook::membership {

/// The maximum size of a datagram in bytes.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// The maximum size of a message with the full state in bytes.
inline constexpr std::size_t maxStateBytes = 512 << 10;
/// The maximum size of a name, a zone, a region or an address in bytes.
inline constexpr std::size_t maxIdentifierBytes = 64;

/// An encoded message and the numbers of updates and statuses that it contains.
struct EncodedMessage {
  std::string bytes;            ///< the message in MessagePack
  std::size_t updateCount = 0;  ///< number of leading updates that fitted
  std::size_t statusCount = 0;  ///< number of leading statuses that fitted
};

/// Encodes as many of the updates and statuses as fit into `maxBytes`.
[[nodiscard]] EncodedMessage encodeMessage(const Message& message, std::size_t maxBytes);
/// Returns nothing if the bytes are not a valid message or exceed the limits.
[[nodiscard]] std::optional<Message> decodeMessage(std::string_view bytes);

}  // namespace rainhook::membership
