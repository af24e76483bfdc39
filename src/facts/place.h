// The configuration of a real server: its place among its peers, its limits, and the facts.
#pragma once

#include <cstddef>
#include <string>

#include "facts/facts.h"

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
};

// Throws FactsError, which names the path and the fault.
Configured readConfiguration(const std::string& text);
Configured readConfigurationFile(const std::string& file);

}  // namespace rainhook
