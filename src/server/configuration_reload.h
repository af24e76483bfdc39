/// @file
/// Applies a new configuration to a running server.
#pragma once

#include <string>

#include "configuration/server_configuration.h"
#include "logging/log.h"
#include "peers/downstream_client.h"
#include "peers/execution_engine_client.h"
#include "server/endpoint_registration.h"

namespace rainhook::server {

/// Changes the addresses at which the engine, the downstream service and the registry are reached, and the
/// shutdown timeout. All other settings stay in effect until a restart. Requests in flight and open
/// downstream calls continue. Must be used on the event-loop thread only.
class ConfigurationReload {
 public:
  /// The referenced objects must outlive this object. A reload modifies `current`.
  ConfigurationReload(logging::Log& log, ServerConfiguration& current, peers::ExecutionEngineClient& engine,
                      peers::DownstreamClient& downstream, EndpointRegistration& registration)
      : log_(log), current_(current), engine_(engine), downstream_(downstream), registration_(registration) {}

  /// Applies the parts of `newConfiguration` that do not need a restart. Throws Poco::Exception if an address
  /// cannot be resolved.
  void apply(const ServerConfiguration& newConfiguration);
  /// Reads the file and applies it. On failure, logs the error; if the file cannot be read, nothing changes.
  void applyFile(const std::string& path);

 private:
  void logReload(const ServerConfiguration& newConfiguration);

  logging::Log& log_;
  ServerConfiguration& current_;
  peers::ExecutionEngineClient& engine_;
  peers::DownstreamClient& downstream_;
  EndpointRegistration& registration_;
};

}  // namespace rainhook::server
