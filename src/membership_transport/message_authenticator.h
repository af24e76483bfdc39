/// @file
/// The authentication of messages between instances: a keyed tag by libsodium (BLAKE2b with a key, RFC 7693)
/// and a replay window, as in IPsec (RFC 4303, section 3.4.3) and DTLS.
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

/// Signs and verifies messages. Two keys may be in force, so that a key can be replaced: the first signs, all
/// verify. Each process numbers what it signs; a number that was verified before, or lies behind the window
/// of the last 1024 of its sender, is not verified again. At most 4096 senders are remembered; the one
/// verified longest ago is forgotten first. Not thread-safe.
class MessageAuthenticator {
 public:
  /// Messages that were not verified, since the start.
  struct Counters {
    std::uint64_t invalidTags = 0;  ///< too short, without the magic number, or by no key in force
    std::uint64_t replayed = 0;     ///< verified before, or behind the window
  };

  /// Bytes that signing adds: the magic number, the sender, the sequence number and the tag.
  static constexpr std::size_t overheadBytes = 4 + 8 + 8 + 16;

  /// @param keys the first signs, all verify
  /// @param senderId drawn at the start of the process
  /// @throws std::runtime_error without a key, or where libsodium cannot be initialized
  MessageAuthenticator(std::vector<AuthenticationKey> keys, std::uint64_t senderId);

  /// The message behind the `overheadBytes` that authenticate it; takes the next sequence number.
  [[nodiscard]] std::string sign(std::string_view message);
  /// The message, as a part of `bytes`; nothing where the tag is not by one of the keys, or the message was
  /// verified before.
  [[nodiscard]] std::optional<std::string_view> verify(std::string_view bytes);
  /// What was counted up to now.
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  static constexpr std::size_t replayWindow = 1024;
  static constexpr std::size_t maxSenders = 4096;

  struct Sender {
    std::uint64_t highest = 0;
    std::bitset<replayWindow> received;  ///< by sequence number modulo the window
    std::list<std::uint64_t>::iterator place;
  };
  [[nodiscard]] bool hasValidTag(std::string_view bytes) const;
  bool acceptOnce(std::uint64_t senderId, std::uint64_t sequenceNumber);
  Sender& senderOf(std::uint64_t senderId);
  static void advanceWindow(Sender& sender, std::uint64_t sequenceNumber);

  const std::vector<AuthenticationKey> keys_;
  const std::uint64_t senderId_;
  std::uint64_t lastSequenceNumber_ = 0;
  std::map<std::uint64_t, Sender> senders_;
  std::list<std::uint64_t> byLastVerified_;  ///< longest ago first
  Counters counters_;
};

}  // namespace rainhook::membershipTransport
