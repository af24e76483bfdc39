#include "membership_transport/framing.h"

namespace rainhook::membershipTransport {

std::string tagPayload(MessageTag tag, std::string_view payload) {
  std::string out(1, static_cast<char>(tag));
  return out.append(payload);
}

std::optional<std::string_view> payloadOf(MessageTag tag, std::string_view message) {
  if (message.empty() || message.front() != static_cast<char>(tag)) return std::nullopt;
  return message.substr(1);
}

std::string frame(std::string_view signedMessage) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(signedMessage.size() >> shift & 0xff));
  return out.append(signedMessage);
}

std::size_t frameLength(std::string_view header) {
  std::size_t out = 0;
  for (const char byte : header.substr(0, frameHeaderBytes))
    out = out << 8 | static_cast<unsigned char>(byte);
  return out;
}

}  // namespace rainhook::membershipTransport
