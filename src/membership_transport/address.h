/// @file
/// Parses addresses of the form `127.0.0.1:7101`.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

namespace rainhook::membershipTransport {

/// Returns the address without a name lookup; nothing if the text is not a valid address.
[[nodiscard]] std::optional<Poco::Net::SocketAddress> parseAddress(const std::string& text);

}  // namespace rainhook::membershipTransport
