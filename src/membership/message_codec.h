/// @file
/// Messages as bytes, by msgpack (https://github.com/msgpack/msgpack/blob/master/spec.md). Each part is an
/// array that may grow at its end: an older release passes over what a newer one adds, and a newer one fills
/// in what an older one leaves out. Authentication is added by the transport.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/types.h"

namespace rainhook::membership {

/// Bytes of a message that goes as a datagram, at most.
inline constexpr std::size_t maxDatagramBytes = 1400;
/// Bytes of a message with the full state, at most.
inline constexpr std::size_t maxStateBytes = 512 << 10;
/// Of a name, a zone, a region or an address.
inline constexpr std::size_t maxIdentifierBytes = 64;

/// A message in bytes, with what fitted into it.
struct EncodedMessage {
  std::string bytes;            ///< the message in MessagePack
  std::size_t updateCount = 0;  ///< updates that fitted, from the front
  std::size_t statusCount = 0;  ///< statuses that fitted, from the front
};

/// Encodes as many of the updates and statuses as fit into `maxBytes`.
[[nodiscard]] EncodedMessage encodeMessage(const Message& message, std::size_t maxBytes);
/// Nothing where the bytes are no message, or hold more than the bounds allow.
[[nodiscard]] std::optional<Message> decodeMessage(std::string_view bytes);

}  // namespace rainhook::membership
