#include "commands/membership_client.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <random>

#include "commands/command_line.h"
#include "membership_transport/address.h"
#include "membership_transport/framing.h"

namespace rainhook::commands {
namespace {

using membershipTransport::MessageTag;
using nlohmann::json;
using Poco::Net::StreamSocket;

constexpr std::size_t maxAnswerBytes = 16 << 20;
constexpr long timeoutSeconds = 3;

void sendAll(StreamSocket& socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto rest = static_cast<int>(bytes.size() - sent);
    sent += static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, rest));
  }
}

std::string receiveAll(StreamSocket& socket, std::size_t size) {
  std::string out(size, '\0');
  for (std::size_t received = 0; received < size;) {
    const int count = socket.receiveBytes(out.data() + received, static_cast<int>(size - received));
    if (count <= 0)
      throw Poco::IOException(fmt::format(
          "connection closed after {} of {} bytes; the instance may use another key", received, size));
    received += static_cast<std::size_t>(count);
  }
  return out;
}

}  // namespace

std::uint64_t generateProcessId() {
  std::random_device device;
  const std::uint64_t high = device();
  return high << 32 | device();
}

MembershipClient::MembershipClient(const membership::MembershipSettings& settings, const std::string& address)
    : authenticator_(settings.keys, generateProcessId()) {
  const auto parsed = membershipTransport::parseAddress(address);
  if (!parsed)
    throw UsageError(fmt::format("members: '{}' is not an address of the form 127.0.0.1:7101", address));
  address_ = *parsed;
}

json MembershipClient::query(const json& question) {
  const Poco::Timespan timeout(timeoutSeconds, 0);
  StreamSocket socket;
  socket.connect(address_, timeout);
  socket.setReceiveTimeout(timeout);
  const auto message = membershipTransport::tagPayload(MessageTag::query, question.dump());
  sendAll(socket, membershipTransport::frame(authenticator_.sign(message)));
  const std::string signedAnswer = receiveFrame(socket);
  const auto verified = authenticator_.verify(signedAnswer);
  const auto answer = verified ? membershipTransport::payloadOf(MessageTag::answer, *verified) : std::nullopt;
  if (!answer) throw Poco::DataFormatException("the answer is not signed with a configured key");
  return json::parse(*answer);
}

std::string MembershipClient::receiveFrame(StreamSocket& socket) const {
  const auto header = receiveAll(socket, membershipTransport::frameHeaderBytes);
  const auto length = membershipTransport::frameLength(header);
  if (length > maxAnswerBytes)
    throw Poco::DataFormatException(
        fmt::format("answer of {} bytes exceeds the limit of {}", length, maxAnswerBytes));
  return receiveAll(socket, length);
}

}  // namespace rainhook::commands
