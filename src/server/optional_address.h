/// @file
/// Parses the addresses of peers that are optional in a deployment.
#pragma once

#include <optional>
#include <string>

#include "net/connection.h"

namespace rainhook::server {

/// Parses `host:port`; returns none if the text is empty. Throws Poco::Exception if it is not a valid
/// address.
inline std::optional<net::Connection::Address> optionalAddress(const std::string& hostAndPort) {
  if (hostAndPort.empty()) return std::nullopt;
  return net::Connection::Address(hostAndPort);
}

}  // namespace rainhook::server
