/// @file
/// Addresses of the form `127.0.0.1:7101`.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace rainhook::membershipTransport {

/// The address that the text states, without a name look-up; nothing where it states none.
[[nodiscard]] std::optional<Poco::Net::SocketAddress> parseAddress(const std::string& text);

}  // namespace rainhook::membershipTransport
