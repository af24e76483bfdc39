#include "server/configuration_reload.h"

#include <fmt/ranges.h>

#include <exception>
#include <string_view>

#include "server/optional_address.h"

namespace rainhook::server {
namespace {

std::string_view orNone(const std::string& address) { return address.empty() ? "none" : address; }

}  // namespace

void ConfigurationReload::apply(const ServerConfiguration& offered) {
  ServerEndpoints& endpoints = current_.endpoints;
  endpoints.engine = offered.endpoints.engine;
  endpoints.downstream = offered.endpoints.downstream;
  endpoints.registry = offered.endpoints.registry;
  endpoints.shutdownTimeout = offered.endpoints.shutdownTimeout;
  logReload(offered);
  engine_.setAddress(net::Connection::Address(endpoints.engine));
  downstream_.setAddress(optionalAddress(endpoints.downstream));
  registration_.moveTo(optionalAddress(endpoints.registry));
}

void ConfigurationReload::applyFile(const std::string& path) {
  try {
    apply(readConfigurationFile(path));
  } catch (const std::exception& error) {
    log_.message(logging::LogCategory::start, "the new configuration is rejected: {}", error.what());
  }
}

void ConfigurationReload::logReload(const ServerConfiguration& offered) {
  const ServerEndpoints& endpoints = current_.endpoints;
  const auto unchanged = restartRequiredChanges(current_, offered);
  log_.message(logging::LogCategory::start,
               "configuration reloaded: engine {}, downstream {}, registry {}{}{}", endpoints.engine,
               orNone(endpoints.downstream), orNone(endpoints.registry),
               unchanged.empty() ? "" : "; unchanged until a restart: ", fmt::join(unchanged, ", "));
}

}  // namespace rainhook::server
