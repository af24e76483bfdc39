/// @file
/// Reads failover's settings and, for computing a plan without a fleet, a file of observations. The keys of
/// both are mapped to failover's types here and nowhere else. Errors: OptionsError.
#pragma once

#include <cstdint>
#include <string>

#include "failover/failover_types.h"
#include "options/yaml_section.h"

namespace rainhook::options {

/// Reads the keys zones, costs, in-region, beyond, margin, look and step of a section that may hold more.
/// Throws OptionsError.
[[nodiscard]] failover::FailoverSettings readFailoverSettings(YamlSection& section);

/// What `rainhook failover plan` computes a plan from.
struct PlanningScenario {
  failover::FailoverSettings settings;     ///< the zones, the costs between them and the planner's limits
  failover::FleetObservation observation;  ///< what each zone does; zones that are not named are unknown
  failover::OperatorOverrides overrides;   ///< what operators have ordered
  std::uint64_t steps = 1;                 ///< steps with this same observation, a step interval apart
};

/// Reads a file such as examples/zones.yaml. Throws OptionsError.
[[nodiscard]] PlanningScenario readPlanningScenario(const std::string& file);

}  // namespace rainhook::options
