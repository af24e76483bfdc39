/// @file
/// Taking a new configuration while the server runs.
#pragma once

#include <string>

#include "configuration/server_configuration.h"
#include "logging/log.h"
#include "peers/downstream_client.h"
#include "peers/execution_engine_client.h"
#include "server/endpoint_registration.h"

namespace rainhook::server {

/// Points the clients of the engine, the downstream service and the registry to new addresses, and takes the
/// shutdown timeout. All other settings hold until a restart. Requests in flight and open calls go on. Used
/// from the event loop's thread only.
class ConfigurationReload {
 public:
  /// The references must outlive this object; `current` is changed by a reload.
  ConfigurationReload(logging::Log& log, ServerConfiguration& current, peers::ExecutionEngineClient& engine,
                      peers::DownstreamClient& downstream, EndpointRegistration& registration)
      : log_(log), current_(current), engine_(engine), downstream_(downstream), registration_(registration) {}

  /// Throws Poco::Exception where an address can't be resolved.
  void apply(const ServerConfiguration& offered);
  /// Reads the file first; where that fails, the log says why and nothing changes.
  void applyFile(const std::string& path);

 private:
  void logReload(const ServerConfiguration& offered);

  logging::Log& log_;
  ServerConfiguration& current_;
  peers::ExecutionEngineClient& engine_;
  peers::DownstreamClient& downstream_;
  EndpointRegistration& registration_;
};

}  // namespace rainhook::server
