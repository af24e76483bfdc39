// What an instance is handed at its start, read into the module's words; the same for both hosts.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"

namespace rainhook {

// Names the path and what is wrong with its value.
struct FactsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

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

using FactPairs = std::map<std::string, std::string>;  // by path

// One path=value pair a line.
FactPairs pairsOfText(std::string_view text);
// The same paths from nested JSON.
FactPairs pairsOfJson(const nlohmann::json& nested);

// Unknown paths are passed over, absent ones keep their stated meaning. Throws FactsError on a value that is not
// what its path holds.
Facts readFacts(const FactPairs& pairs);

// The ring of a timer with its gauges, given in the order of the facts; fewer or none where they are not known.
TimerRang timerRang(TimerId timer, std::span<const double> values, const std::vector<Gauge>& order);

}  // namespace rainhook
