/// @file
/// Reads the settings of failover and the scenario file from which a plan can be computed without a fleet.
/// Only this module maps the keys of both to failover's types. Errors are thrown as OptionsError.
#pragma once

#include <cstdint>
#include <string>

#include "failover/failover_types.h"
#include "options/yaml_section.h"

namespace rainhook::options {

/// Reads the keys zones, costs, in-region, beyond, margin, look and step of a section, which may contain
/// other keys. Throws OptionsError.
[[nodiscard]] failover::FailoverSettings readFailoverSettings(YamlSection& section);

/// The input of `rainhook failover plan`.
struct PlanningScenario {
  failover::FailoverSettings settings;     ///< the zones, the costs between them and the planner's limits
  failover::FleetObservation observation;  ///< the load of each zone; an unlisted zone is unreachable
  failover::OperatorOverrides overrides;   ///< drained zones, and whether the plan is frozen
  /// Number of planning steps. All use the same observation, and one step interval lies between them.
  std::uint64_t steps = 1;
};

/// Reads a file such as examples/zones.yaml. Throws OptionsError.
[[nodiscard]] PlanningScenario readPlanningScenario(const std::string& file);

}  // namespace rainhook::options
