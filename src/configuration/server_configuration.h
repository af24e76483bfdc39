// The configuration of a real server: its place among its peers, its limits, and the facts.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "configuration/deployment_settings.h"

namespace rainhook {

struct Place {
  std::string name;
  std::string listen;  // host:port, as the next three
  std::string engine;
  std::string list;  // empty where there is none
  std::string next;  // empty in the last tier
  Seed seed{};
  Span stopAfter{};  // from the notice to leave to the end
  std::size_t descriptors = 0;
  int memoryMb = 0;
};

struct Configured {
  Place place;
  Facts facts;
  // What holds until a restart, as text by its name: the name, the address, the limits and the settings.
  std::map<std::string, std::string> fixed;
};

// The names of what a running server would leave as it is if it were offered this. The rest can be taken:
// the addresses of the engine, the next tier and the list, and the time from the notice to leave to the end.
std::vector<std::string> leftByReload(const Configured& running, const Configured& offered);

// Throws FactsError, which names the path and the fault.
Configured readConfiguration(const std::string& text);
Configured readConfigurationFile(const std::string& file);

}  // namespace rainhook
