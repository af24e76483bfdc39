/// @file
/// What surrounds a message between instances: a tag in front of its payload, and on a connection the length
/// of the signed message.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/message_codec.h"
#include "membership_transport/message_authenticator.h"

namespace rainhook::membershipTransport {

/// The first byte of what is signed.
enum class MessageTag : char {
  membership = 'M',  ///< a message of the membership protocol
  query = 'Q',       ///< what this instance sees, asked in JSON
  answer = 'R'       ///< the answer to a query, in JSON
};

/// The payload behind its tag: what is to be signed.
[[nodiscard]] std::string tagPayload(MessageTag tag, std::string_view payload);
/// The payload where the message has this tag.
[[nodiscard]] std::optional<std::string_view> payloadOf(MessageTag tag, std::string_view message);

/// Bytes of the length in front of a signed message.
inline constexpr std::size_t frameHeaderBytes = 4;
/// Of the signed message in a frame.
inline constexpr std::size_t maxFrameBytes =
    membership::maxStateBytes + MessageAuthenticator::overheadBytes + 16;

/// The signed message behind its length, big-endian.
[[nodiscard]] std::string frame(std::string_view signedMessage);
/// The length that the first frameHeaderBytes state.
[[nodiscard]] std::size_t frameLength(std::string_view header);

}  // namespace rainhook::membershipTransport
