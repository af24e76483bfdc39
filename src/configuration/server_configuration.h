// The configuration of a real server: its place among its peers, its limits, and the facts.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "configuration/deployment_settings.h"

namespace rainhook {

struct ServerEndpoints {
  std::string name;
  std::string listen;  // host:port, as the next three
  std::string engine;
  std::string registry;    // empty where there is none
  std::string downstream;  // empty in the last tier
  Seed seed{};
  Duration shutdownTimeout{};  // from the notice to leave to the end
  std::size_t maxDescriptors = 0;
  int memoryMb = 0;
};

struct ServerConfiguration {
  ServerEndpoints endpoints;
  DeploymentSettings deployment;
  // What holds until a restart, as text by its name: the name, the address, the limits and the settings.
  std::map<std::string, std::string> restartOnlyValues;
};

// The names of what a running server would leave as it is if it were offered this. The rest can be taken:
// the addresses of the engine, the next tier and the list, and the time from the notice to leave to the end.
std::vector<std::string> restartRequiredChanges(const ServerConfiguration& running,
                                                const ServerConfiguration& offered);

// Throws FactsError, which names the path and the fault.
ServerConfiguration readConfiguration(const std::string& text);
ServerConfiguration readConfigurationFile(const std::string& file);

}  // namespace rainhook
