#include "server/configuration_reload.h"

#include <fmt/ranges.h>

#include <exception>
#include <string_view>

#include "server/optional_address.h"

namespace rainhook::server {
namespace {

std::string_view orNone(const std::string& address) { return address.empty() ? "none" : address; }

}  // namespace

void ConfigurationReload::apply(const ServerConfiguration& newConfiguration) {
  ServerEndpoints& endpoints = current_.endpoints;
  endpoints.engine = newConfiguration.endpoints.engine;
  endpoints.downstream = newConfiguration.endpoints.downstream;
  endpoints.registry = newConfiguration.endpoints.registry;
  endpoints.shutdownTimeout = newConfiguration.endpoints.shutdownTimeout;
  logReload(newConfiguration);
  engine_.setAddress(net::Connection::Address(endpoints.engine));
  downstream_.setAddress(optionalAddress(endpoints.downstream));
  registration_.setAddress(optionalAddress(endpoints.registry));
}

void ConfigurationReload::applyFile(const std::string& path) {
  try {
    apply(readConfigurationFile(path));
  } catch (const std::exception& error) {
    log_.message(logging::LogCategory::start, "configuration reload from {} failed: {}", path, error.what());
  }
}

void ConfigurationReload::logReload(const ServerConfiguration& newConfiguration) {
  const ServerEndpoints& endpoints = current_.endpoints;
  const auto restartRequired = restartRequiredChanges(current_, newConfiguration);
  log_.message(logging::LogCategory::start,
               "configuration reloaded: engine {}, downstream {}, registry {}{}{}", endpoints.engine,
               orNone(endpoints.downstream), orNone(endpoints.registry),
               restartRequired.empty() ? "" : "; changed keys that take effect after a restart: ",
               fmt::join(restartRequired, ", "));
}

}  // namespace rainhook::server
