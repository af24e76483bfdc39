/// @file
/// Whether this server is registered as in service, where the deployment has an endpoint registry.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"
#include "peers/registry_client.h"

namespace rainhook::server {

/// Keeps the registry client across reloads of the configuration: the registry may move, come or go. Used
/// from the event loop's thread only.
class EndpointRegistration {
 public:
  /// The references must outlive this object. `jitterSeed` spreads the reports of servers that start
  /// together.
  EndpointRegistration(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                       std::string serverName, std::uint64_t jitterSeed,
                       const std::optional<net::Connection::Address>& address);

  /// Reported at once and from then on.
  void setInService(bool isInService);
  /// The registry is reached there from now on; without an address there is none.
  void moveTo(const std::optional<net::Connection::Address>& address);
  /// Whether the registry has acknowledged the last state; true where there is no registry.
  bool isAcknowledged() const { return !client_ || client_->isAcknowledged(); }

 private:
  void createClient(const std::optional<net::Connection::Address>& address);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  std::string serverName_;
  std::uint64_t jitterSeed_;
  bool isInService_ = true;
  std::unique_ptr<peers::RegistryClient> client_;
};

}  // namespace rainhook::server
