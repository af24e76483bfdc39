/// @file
/// The framing of messages between instances: a tag precedes the payload, and on a connection the length of
/// the signed message precedes that message.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "membership/message_codec.h"
#include "membership_transport/message_authenticator.h"

namespace rainhook::membershipTransport {

/// The first byte of the signed data.
enum class MessageTag : char {
  membership = 'M',  ///< a message of the membership protocol
  query = 'Q',       ///< a query in JSON for the view of the instance
  answer = 'R'       ///< the answer to a query, in JSON
};

/// Returns the tag followed by the payload, which is the data to sign.
[[nodiscard]] std::string tagPayload(MessageTag tag, std::string_view payload);
/// Returns the payload if the message has this tag.
[[nodiscard]] std::optional<std::string_view> payloadOf(MessageTag tag, std::string_view message);

/// The size of the length that precedes a signed message, in bytes.
inline constexpr std::size_t frameHeaderBytes = 4;
/// The maximum size of the signed message in a frame, in bytes.
inline constexpr std::size_t maxFrameBytes =
    membership::maxStateBytes + MessageAuthenticator::overheadBytes + 16;

/// Returns the big-endian length of the signed message, followed by the message.
[[nodiscard]] std::string frame(std::string_view signedMessage);
/// Returns the length in the first frameHeaderBytes bytes.
[[nodiscard]] std::size_t frameLength(std::string_view header);

}  // namespace rainhook::membershipTransport
