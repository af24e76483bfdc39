#include "membership_transport/message_authenticator.h"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace rainhook::membershipTransport {
namespace {

constexpr std::string_view magic = "RHM1";
constexpr std::size_t numberBytes = 8;
constexpr std::size_t tagBytes = 16;
constexpr std::size_t headBytes = MessageAuthenticator::overheadBytes - tagBytes;

using Tag = std::array<unsigned char, tagBytes>;

std::uint64_t readNumber(std::string_view bytes, std::size_t offset) {
  std::uint64_t out = 0;
  for (const char byte : bytes.substr(offset, numberBytes)) out = out << 8 | static_cast<unsigned char>(byte);
  return out;
}

void appendNumber(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}

/// Returns the tag that authenticates the head (magic number, sender, sequence number) and the message.
Tag tagOf(std::string_view head, std::string_view message, const AuthenticationKey& key) {
  crypto_generichash_state state;
  Tag out{};
  crypto_generichash_init(&state, key.data(), key.size(), out.size());
  for (const auto part : {head, message})
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
  crypto_generichash_final(&state, out.data(), out.size());
  return out;
}

}  // namespace

MessageAuthenticator::MessageAuthenticator(std::vector<AuthenticationKey> keys, std::uint64_t senderId)
    : keys_(std::move(keys)), senderId_(senderId) {
  if (sodium_init() < 0 || keys_.empty())
    throw std::runtime_error(
        "cannot authenticate membership messages: no key is configured, or libsodium "
        "cannot be initialized");
}

std::string MessageAuthenticator::sign(std::string_view message) {
  ++lastSequenceNumber_;
  std::string out(magic);
  appendNumber(out, senderId_);
  appendNumber(out, lastSequenceNumber_);
  const auto tag = tagOf(out, message, keys_.front());
  out.append(reinterpret_cast<const char*>(tag.data()), tag.size());
  return out.append(message);
}

std::optional<std::string_view> MessageAuthenticator::verify(std::string_view bytes) {
  if (!hasValidTag(bytes)) {
    ++counters_.invalidTags;
    return std::nullopt;
  }
  const auto senderId = readNumber(bytes, magic.size());
  const auto sequenceNumber = readNumber(bytes, magic.size() + numberBytes);
  if (!markReceived(senderId, sequenceNumber)) {
    ++counters_.replayed;
    return std::nullopt;
  }
  return bytes.substr(overheadBytes);
}

bool MessageAuthenticator::hasValidTag(std::string_view bytes) const {
  if (bytes.size() < overheadBytes || !bytes.starts_with(magic)) return false;
  const auto head = bytes.substr(0, headBytes);
  const auto message = bytes.substr(overheadBytes);
  return std::any_of(keys_.begin(), keys_.end(), [&](const AuthenticationKey& key) {
    const auto tag = tagOf(head, message, key);
    return sodium_memcmp(tag.data(), bytes.data() + headBytes, tag.size()) == 0;
  });
}

/// Returns false if the message was received before or is older than the window.
bool MessageAuthenticator::markReceived(std::uint64_t senderId, std::uint64_t sequenceNumber) {
  Sender& sender = senderOf(senderId);
  if (sequenceNumber + replayWindow <= sender.highest) return false;
  if (sequenceNumber > sender.highest) advanceWindow(sender, sequenceNumber);
  if (sender.received.test(sequenceNumber % replayWindow)) return false;
  sender.received.set(sequenceNumber % replayWindow);
  return true;
}

/// Returns the sender and marks it as the most recently verified one. A new sender may evict another one.
MessageAuthenticator::Sender& MessageAuthenticator::senderOf(std::uint64_t senderId) {
  const auto [it, isNew] = senders_.try_emplace(senderId);
  Sender& sender = it->second;
  if (isNew)
    sender.position = byLastVerified_.insert(byLastVerified_.end(), senderId);
  else
    byLastVerified_.splice(byLastVerified_.end(), byLastVerified_, sender.position);
  if (senders_.size() > maxSenders) {
    senders_.erase(byLastVerified_.front());
    byLastVerified_.pop_front();
  }
  return sender;
}

void MessageAuthenticator::advanceWindow(Sender& sender, std::uint64_t sequenceNumber) {
  const std::uint64_t windowBegin = sequenceNumber > replayWindow ? sequenceNumber - replayWindow : 0;
  for (auto skipped = std::max(sender.highest + 1, windowBegin); skipped <= sequenceNumber; ++skipped)
    sender.received.reset(skipped % replayWindow);
  sender.highest = sequenceNumber;
}

}  // namespace rainhook::membershipTransport
