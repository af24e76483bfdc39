// The terms of failover's plan and, for trying a plan without a fleet, a file of figures. Errors:
// OptionsError.
#pragma once

#include <string>

#include "failover/failover_planner.h"
#include "options/yaml_section.h"

namespace rainhook::options {

// zones, costs, in-region, beyond, margin, look, step: of a section that may hold more.
failover::PlanTerms planTerms(YamlSection& given);

struct PlanQuestion {
  failover::PlanTerms terms;
  failover::Seen seen;
  failover::Orders orders;
  std::uint64_t looks = 1;  // so often with the same figures, a look apart
};
PlanQuestion readPlanQuestion(const std::string& file);

}  // namespace rainhook::options
