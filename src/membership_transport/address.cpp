#include "membership_transport/address.h"

#include <Poco/Net/IPAddress.h>

namespace rainhook::membershipTransport {
namespace {

std::optional<Poco::UInt16> parsePort(const std::string& digits) {
  constexpr std::size_t maxDigits = 5;
  constexpr int maxPort = 65535;
  if (digits.empty() || digits.size() > maxDigits) return std::nullopt;
  if (digits.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  const int port = std::stoi(digits);
  if (port < 1 || port > maxPort) return std::nullopt;
  return static_cast<Poco::UInt16>(port);
}

}  // namespace

std::optional<Poco::Net::SocketAddress> parseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Poco::Net::IPAddress host;
  if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), host)) return std::nullopt;
  const auto port = parsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  return Poco::Net::SocketAddress(host, *port);
}

}  // namespace rainhook::membershipTransport
