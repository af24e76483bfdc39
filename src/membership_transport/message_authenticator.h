// The keyed tag on each message between instances, by libsodium (BLAKE2b with a key, RFC 7693): what does not
// verify is no message. Two keys may be in force, so that a key can be changed: the first signs, all verify.
// Each process numbers what it seals; what was opened once, or is older than the last 1024 of its sender, is
// not opened again. The table of senders is bounded by mostSenders, the one heard longest ago goes first.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rainhook::membershipTransport {

using SealKey = std::array<unsigned char, 32>;

class MessageAuthenticator {
 public:
  static constexpr std::size_t overhead = 4 + 8 + 8 + 16;
  // `sender` is a number drawn at the start of this process. At least one key.
  MessageAuthenticator(std::vector<SealKey> keys, std::uint64_t sender);

  std::string sealed(std::string_view message);
  // Nothing where the tag is not by one of our keys, or the message has been opened already.
  std::optional<std::string_view> opened(std::string_view bytes);
  struct Counts {
    std::uint64_t untagged = 0, replayed = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  static constexpr std::size_t window = 1024, mostSenders = 4096;
  struct Sender {
    std::uint64_t highest = 0;
    std::bitset<window> seen;  // by number modulo the window
    std::list<std::uint64_t>::iterator place;
  };
  bool fresh(std::uint64_t sender, std::uint64_t number);

  const std::vector<SealKey> keys_;
  const std::uint64_t sender_;
  std::uint64_t numbered_ = 0;
  std::map<std::uint64_t, Sender> senders_;
  std::list<std::uint64_t> order_;  // heard longest ago first
  Counts counts_;
};

}  // namespace rainhook::membershipTransport
