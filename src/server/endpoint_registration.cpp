#include "server/endpoint_registration.h"

#include <utility>

namespace rainhook::server {

EndpointRegistration::EndpointRegistration(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                           std::string serverName, std::uint64_t jitterSeed,
                                           const std::optional<net::Connection::Address>& address)
    : reactor_(reactor), pool_(pool), log_(log), serverName_(std::move(serverName)), jitterSeed_(jitterSeed) {
  createClient(address);
}

void EndpointRegistration::createClient(const std::optional<net::Connection::Address>& address) {
  client_.reset();
  if (!address) return;
  client_ =
      std::make_unique<peers::RegistryClient>(reactor_, pool_, log_, *address, serverName_, jitterSeed_);
}

void EndpointRegistration::setInService(bool isInService) {
  isInService_ = isInService;
  if (client_) client_->setInService(isInService);
}

void EndpointRegistration::setAddress(const std::optional<net::Connection::Address>& address) {
  if (address && client_) {
    client_->setAddress(*address);
    return;
  }
  createClient(address);
  if (client_) client_->setInService(isInService_);
}

}  // namespace rainhook::server
