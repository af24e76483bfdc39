// The settings an instance is handed at its start, read into the module's words.
#pragma once

#include <string_view>
#include <vector>

#include "decision/decision.h"

namespace simhost {

enum class Gauge { cpu, wantingCore, memory, connections, other };

struct Facts {
  rainhook::Machine machine;
  std::vector<rainhook::HandlerTerms> handlers;
  rainhook::Below below;
  rainhook::Duties duties;
  rainhook::Voice voice;
  rainhook::Trade trade;
  rainhook::Fleet fleet;
  bool tellsPatience = false;
  std::vector<Gauge> gauges;
};

// One path=value pair a line; unknown paths are passed over, absent ones keep their stated meaning.
// Throws WireError on a line without '=' or a value that is not what its path holds.
Facts readFacts(std::string_view text);

}  // namespace simhost
