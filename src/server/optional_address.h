/// @file
/// Addresses of peers that a deployment may lack.
#pragma once

#include <optional>
#include <string>

#include "net/connection.h"

namespace rainhook::server {

/// Parses `host:port`; none where the text is empty. Throws Poco::Exception where it is no address.
inline std::optional<net::Connection::Address> optionalAddress(const std::string& hostAndPort) {
  if (hostAndPort.empty()) return std::nullopt;
  return net::Connection::Address(hostAndPort);
}

}  // namespace rainhook::server
