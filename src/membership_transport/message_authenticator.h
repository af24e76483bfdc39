/// @file
/// The authentication of messages between instances by a keyed tag from libsodium (BLAKE2b with a key, RFC
/// 7693) and a replay window as in IPsec (RFC 4303, section 3.4.3) and DTLS.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rainhook::membershipTransport {

/// A secret of 32 bytes that all members share.
using AuthenticationKey = std::array<unsigned char, 32>;

/// Signs and verifies messages. Two keys may be active, so that a key can be replaced: the first key signs,
/// and all keys verify. Each process numbers the messages that it signs. A message is rejected if its number
/// was verified before, or is older than the sender's window of the last 1024 numbers. The authenticator
/// keeps at most 4096 senders and evicts the one that was verified least recently. Not thread-safe.
class MessageAuthenticator {
 public:
  /// Counts of rejected messages since the start.
  struct Counters {
    std::uint64_t invalidTags = 0;  ///< too short, without the magic number, or signed by no active key
    std::uint64_t replayed = 0;     ///< verified before, or older than the window
  };

  /// The number of bytes that signing adds: the magic number, the sender, the sequence number and the tag.
  static constexpr std::size_t overheadBytes = 4 + 8 + 8 + 16;

  /// @param keys the active keys; the first key signs, all keys verify
  /// @param senderId a random number that identifies this process
  /// @throws std::runtime_error if there is no key, or if libsodium cannot be initialized
  MessageAuthenticator(std::vector<AuthenticationKey> keys, std::uint64_t senderId);

  /// Returns the message preceded by the `overheadBytes` bytes that authenticate it, which include the next
  /// sequence number.
  [[nodiscard]] std::string sign(std::string_view message);
  /// Returns the message as a part of `bytes`; nothing if no key matches the tag or if the message is a
  /// replay.
  [[nodiscard]] std::optional<std::string_view> verify(std::string_view bytes);
  /// Returns the counts of rejected messages.
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  static constexpr std::size_t replayWindow = 1024;
  static constexpr std::size_t maxSenders = 4096;

  struct Sender {
    std::uint64_t highest = 0;                    ///< the highest sequence number that was verified
    std::bitset<replayWindow> received;           ///< indexed by the sequence number modulo the window
    std::list<std::uint64_t>::iterator position;  ///< in byLastVerified_
  };
  [[nodiscard]] bool hasValidTag(std::string_view bytes) const;
  bool markReceived(std::uint64_t senderId, std::uint64_t sequenceNumber);
  Sender& senderOf(std::uint64_t senderId);
  static void advanceWindow(Sender& sender, std::uint64_t sequenceNumber);

  const std::vector<AuthenticationKey> keys_;
  const std::uint64_t senderId_;
  std::uint64_t lastSequenceNumber_ = 0;
  std::map<std::uint64_t, Sender> senders_;
  std::list<std::uint64_t> byLastVerified_;  ///< least recently verified first
  Counters counters_;
};

}  // namespace rainhook::membershipTransport
