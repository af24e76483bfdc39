/// @file
/// The configuration file of a real server: its addresses, its limits and the deployment's settings.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/deployment_settings.h"

namespace rainhook {

/// The addresses and limits of one server. Addresses are `host:port` with a numeric host.
struct ServerEndpoints {
  std::string name;                ///< by which the registry and the peers know it
  std::string listen;              ///< where it serves requests
  std::string engine;              ///< the execution engine
  std::string registry;            ///< the endpoint registry; empty where there is none
  std::string downstream;          ///< the downstream service; empty where nothing is called
  Seed seed{};                     ///< of random choices, such as when a report is due
  Duration shutdownTimeout{};      ///< from the shutdown notice to the end of the process
  std::size_t maxDescriptors = 0;  ///< limit of file descriptors
  int memoryMb = 0;                ///< limit of memory, in MB
};

/// The parts of a configuration that a running server keeps until its restart, each as its JSON text; empty
/// where the part is absent.
struct RestartOnlyValues {
  std::string name;      ///< key `name`
  std::string listen;    ///< key `listen`
  std::string limits;    ///< key `limits`
  std::string settings;  ///< key `settings`
};

/// What a server is started with.
struct ServerConfiguration {
  ServerEndpoints endpoints;            ///< addresses and limits
  DeploymentSettings deployment;        ///< the operators' settings
  RestartOnlyValues restartOnlyValues;  ///< for restartRequiredChanges()
};

/// The keys that differ between two configurations and that a running server does not take over when it
/// reloads. It does take over the addresses of the engine, the downstream service and the registry, and the
/// shutdown timeout.
[[nodiscard]] std::vector<std::string> restartRequiredChanges(const ServerConfiguration& running,
                                                              const ServerConfiguration& offered);

/// Reads a configuration from JSON text.
/// @throws ConfigurationError (source "configuration" or "settings").
[[nodiscard]] ServerConfiguration readConfiguration(std::string_view text);

/// Reads a configuration file.
/// @throws ConfigurationError, also where the file cannot be opened.
[[nodiscard]] ServerConfiguration readConfigurationFile(const std::string& file);

}  // namespace rainhook
