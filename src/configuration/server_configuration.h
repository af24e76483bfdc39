/// @file
/// Reads the configuration file of a real server: its addresses, its limits and the deployment's settings.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/deployment_settings.h"

namespace rainhook {

/// The addresses and limits of one server. Addresses are `host:port` with a numeric host.
struct ServerEndpoints {
  std::string name;                ///< the server's name at the registry and at its peers
  std::string listen;              ///< address at which it accepts requests
  std::string engine;              ///< address of the execution engine
  std::string registry;            ///< address of the endpoint registry; empty if there is none
  std::string downstream;          ///< address of the downstream service; empty if there is none
  Seed seed{};                     ///< seed of random choices, such as the time of a report
  Duration shutdownTimeout{};      ///< longest time from the shutdown notice to the end of the process
  std::size_t maxDescriptors = 0;  ///< limit on file descriptors
  int memoryMb = 0;                ///< memory limit in MB
};

/// The parts of a configuration that take effect only at a restart, each as JSON text. The text is empty if
/// the part is absent.
struct RestartOnlyValues {
  std::string name;      ///< key `name`
  std::string listen;    ///< key `listen`
  std::string limits;    ///< key `limits`
  std::string settings;  ///< key `settings`
};

/// The configuration of a server.
struct ServerConfiguration {
  ServerEndpoints endpoints;            ///< addresses and limits
  DeploymentSettings deployment;        ///< the operators' settings
  RestartOnlyValues restartOnlyValues;  ///< for restartRequiredChanges()
};

/// Returns the keys that differ between two configurations and that a running server does not apply when it
/// reloads. A reload applies the addresses of the engine, the downstream service and the registry, and the
/// shutdown timeout.
[[nodiscard]] std::vector<std::string> restartRequiredChanges(const ServerConfiguration& running,
                                                              const ServerConfiguration& offered);

/// Reads a configuration from JSON text.
/// @throws ConfigurationError (source "configuration" or "settings") if the configuration is invalid.
[[nodiscard]] ServerConfiguration readConfiguration(std::string_view text);

/// Reads a configuration file.
/// @throws ConfigurationError if the file cannot be opened or the configuration is invalid.
[[nodiscard]] ServerConfiguration readConfigurationFile(const std::string& file);

}  // namespace rainhook
