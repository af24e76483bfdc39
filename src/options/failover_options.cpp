#include "options/failover_options.h"

#include <fmt/format.h>

#include <cstddef>
#include <fstream>
#include <iterator>
#include <utility>

namespace rainhook::options {
namespace {

using failover::FailoverSettings;
using failover::FleetObservation;
using failover::OperatorOverrides;
using failover::RegionName;
using failover::ZoneName;
using failover::ZoneObservation;
using namespace std::chrono_literals;

constexpr std::size_t maxZones = 64;
constexpr std::size_t maxCosts = 4096;
constexpr double maxCost = 1000;
constexpr double maxMargin = 0.9;
constexpr double leastStep = 0.01;
constexpr std::uint64_t maxSteps = 10000;
constexpr std::uint64_t maxMembers = 100000;
constexpr double maxRate = 1e9;

void readZones(Section& section, FailoverSettings& settings) {
  for (const auto& [zone, region] : section.named("zones", maxZones)) {
    if (zone.empty() || region.empty())
      section.fault("zones", fmt::format("zone '{}' is in no region", zone));
    settings.zones.emplace(ZoneName{zone}, RegionName{region});
  }
  if (settings.zones.empty()) section.fault("zones", "names no zone; each zone stands there with its region");
}

/// Splits "a b" and checks that both are zones of the settings.
std::pair<ZoneName, ZoneName> readZonePair(const Section& section, const FailoverSettings& settings,
                                           const std::string& text) {
  const std::size_t space = text.find(' ');
  const ZoneName origin{text.substr(0, space)};
  const ZoneName target{space == std::string::npos ? "" : text.substr(space + 1)};
  for (const ZoneName& zone : {origin, target})
    if (!settings.zones.contains(zone))
      section.fault("costs", fmt::format("'{}' is no pair of stated zones, such as \"a b\"", text));
  if (origin == target) section.fault("costs", fmt::format("'{}' is one zone twice", text));
  return {origin, target};
}

void readCosts(Section& section, FailoverSettings& settings) {
  for (const auto& [pair, cost] : section.named("costs", maxCosts)) {
    const auto [origin, target] = readZonePair(section, settings, pair);
    if (settings.costs.contains({target, origin}))
      section.fault("costs", fmt::format("names '{}' both ways", pair));
    settings.costs[{origin, target}] = section.figureIn("costs", cost, 0, maxCost);
  }
}

YAML::Node loadYaml(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw OptionsError(fmt::format("{}:0: the file: can't be read", file));
  try {
    return YAML::Load(std::string{std::istreambuf_iterator<char>(in), {}});
  } catch (const YAML::ParserException& error) {
    throw OptionsError(fmt::format("{}:{}: the file: {}", file, error.mark.line + 1, error.msg));
  }
}

OperatorOverrides readOverrides(Section& section, const FailoverSettings& settings) {
  OperatorOverrides overrides;
  for (const std::string& name : section.texts("drained")) {
    const ZoneName zone{name};
    if (!settings.zones.contains(zone)) section.fault("drained", fmt::format("'{}' is no stated zone", name));
    overrides.drainedZones.insert(zone);
  }
  overrides.isFrozen = section.yes("held", false);
  return overrides;
}

ZoneObservation readZoneObservation(Section section) {
  ZoneObservation observation;
  observation.liveMembers = section.count("members", 1, 0, maxMembers);
  observation.arrivalRate = section.figure("read", 0, 0, maxRate);
  observation.completionRate = section.figure("done", 0, 0, maxRate);
  observation.executing = section.figure("running", 0, 0, maxRate);
  observation.concurrencyLimit = section.figure("limit", 0, 0, maxRate);
  observation.queueingRatio = section.figure("held-back", 0, 0, 1);
  observation.dataAge = section.span("age", 0ms, 0ms, 24h);
  observation.isUnreachable = section.yes("silent", false);
  section.end();
  return observation;
}

FleetObservation readFleetObservation(Section section, const FailoverSettings& settings) {
  FleetObservation observation;
  for (const auto& [zone, region] : settings.zones)
    if (section.has(zone.text)) observation.zones[zone] = readZoneObservation(section.section(zone.text));
  section.end();
  return observation;
}

}  // namespace

FailoverSettings readFailoverSettings(Section& section) {
  FailoverSettings settings;
  readZones(section, settings);
  readCosts(section, settings);
  settings.sameRegionCost = section.figure("in-region", settings.sameRegionCost, 0, maxCost);
  settings.crossRegionCost = section.figure("beyond", settings.crossRegionCost, 0, maxCost);
  if (settings.crossRegionCost < settings.sameRegionCost)
    section.fault("beyond", "costs less than a way within the region");
  settings.capacityMargin = section.figure("margin", settings.capacityMargin, 0, maxMargin);
  settings.maxStep = section.figure("step", settings.maxStep, leastStep, 1);
  settings.stepInterval = section.span("look", settings.stepInterval, 200ms, 10min);
  return settings;
}

PlanningScenario readPlanningScenario(const std::string& file) {
  Section section(loadYaml(file), file, "");
  PlanningScenario scenario;
  scenario.settings = readFailoverSettings(section);
  scenario.overrides = readOverrides(section, scenario.settings);
  scenario.steps = section.count("looks", scenario.steps, 1, maxSteps);
  if (section.has("figures"))
    scenario.observation = readFleetObservation(section.section("figures"), scenario.settings);
  section.end();
  return scenario;
}

}  // namespace rainhook::options
