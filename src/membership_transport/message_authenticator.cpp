#include "membership_transport/message_authenticator.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace rainhook::membershipTransport {
namespace {

constexpr std::string_view mark = "RHM1";
constexpr std::size_t tagBytes = 16;

std::uint64_t number(std::string_view bytes, std::size_t at) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < 8; ++i) out = out << 8 | static_cast<unsigned char>(bytes[at + i]);
  return out;
}
void append(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}
// Over all that stands before and behind the tag.
std::array<unsigned char, tagBytes> tagOf(std::string_view head, std::string_view message,
                                          const SealKey& key) {
  crypto_generichash_state state;
  std::array<unsigned char, tagBytes> out{};
  crypto_generichash_init(&state, key.data(), key.size(), out.size());
  for (const auto part : {head, message})
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()), part.size());
  crypto_generichash_final(&state, out.data(), out.size());
  return out;
}

}  // namespace

MessageAuthenticator::MessageAuthenticator(std::vector<SealKey> keys, std::uint64_t sender)
    : keys_(std::move(keys)), sender_(sender) {
  if (sodium_init() < 0 || keys_.empty()) throw std::runtime_error("no key to seal messages with");
}

std::string MessageAuthenticator::sealed(std::string_view message) {
  std::string out(mark);
  append(out, sender_), append(out, ++numbered_);
  const auto tag = tagOf(out, message, keys_.front());
  out.append(reinterpret_cast<const char*>(tag.data()), tag.size());
  return out.append(message);
}

std::optional<std::string_view> MessageAuthenticator::opened(std::string_view bytes) {
  if (bytes.size() < overhead || !bytes.starts_with(mark)) return ++counts_.untagged, std::nullopt;
  const auto head = bytes.substr(0, overhead - tagBytes), message = bytes.substr(overhead);
  const bool tagged = std::any_of(keys_.begin(), keys_.end(), [&](const SealKey& key) {
    const auto tag = tagOf(head, message, key);
    return sodium_memcmp(tag.data(), bytes.data() + head.size(), tag.size()) == 0;
  });
  if (!tagged) return ++counts_.untagged, std::nullopt;
  if (!fresh(number(head, mark.size()), number(head, mark.size() + 8)))
    return ++counts_.replayed, std::nullopt;
  return message;
}

bool MessageAuthenticator::fresh(std::uint64_t from, std::uint64_t number) {
  const auto [it, isNew] = senders_.try_emplace(from);
  Sender& sender = it->second;
  if (isNew)
    sender.place = order_.insert(order_.end(), from);
  else
    order_.splice(order_.end(), order_, sender.place);
  if (senders_.size() > mostSenders) senders_.erase(order_.front()), order_.pop_front();
  if (number + window <= sender.highest) return false;
  if (number > sender.highest) {
    for (std::uint64_t skipped = std::max(sender.highest + 1, number > window ? number - window : 0);
         skipped <= number; ++skipped)
      sender.seen.reset(skipped % window);
    sender.highest = number;
  }
  if (sender.seen.test(number % window)) return false;
  sender.seen.set(number % window);
  return true;
}

}  // namespace rainhook::membershipTransport
