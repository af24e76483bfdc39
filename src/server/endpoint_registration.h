/// @file
/// Registers this server as in service at the endpoint registry, if the deployment has one.
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

/// Owns the registry client. Remembers whether the server is in service when a reload of the configuration
/// changes, adds or removes the address of the registry. Must be used on the event-loop thread only.
class EndpointRegistration {
 public:
  /// The referenced objects must outlive this object. `jitterSeed` spreads the reports of servers that start
  /// at the same time.
  EndpointRegistration(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                       std::string serverName, std::uint64_t jitterSeed,
                       const std::optional<net::Connection::Address>& address);

  /// Sets whether the server is in service. The first call and each change are reported immediately; reports
  /// then follow periodically.
  void setInService(bool isInService);
  /// Sets the address of the registry; without an address, nothing is reported.
  void setAddress(const std::optional<net::Connection::Address>& address);
  /// Returns whether the registry has acknowledged the current state; true if there is no registry.
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
