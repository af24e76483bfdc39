// What an instance is handed at its start, read into the module's words; the same for both hosts.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "configuration/settings_reader.h"

namespace rainhook {

enum class Gauge { cpu, wantingCore, memory, connections, other };

struct Facts {
  Machine machine;
  std::vector<HandlerTerms> handlers;
  std::vector<std::string> handlerNames, customerNames;
  Below below;
  Duties duties;
  Voice voice;
  Trade trade;
  Fleet fleet;
  bool tellsPatience = false;
  std::vector<Gauge> gauges;
};

// Unknown paths are passed over, absent ones keep their stated meaning. Throws FactsError on a value that is
// not what its path holds.
Facts readFacts(const FactPairs& pairs);

// The ring of a timer with its gauges, given in the order of the facts; fewer or none where they are not
// known.
TimerRang timerRang(TimerId timer, std::span<const double> values, const std::vector<Gauge>& order);

}  // namespace rainhook
