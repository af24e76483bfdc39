#include "options/failover_options.h"

#include <fmt/format.h>

#include <cstddef>
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
constexpr double minStep = 0.01;
constexpr std::uint64_t maxSteps = 10000;
constexpr std::uint64_t maxMembers = 100000;
constexpr double maxRate = 1e9;

void readZones(YamlSection& section, FailoverSettings& settings) {
  for (const auto& [zone, region] : section.textMap("zones", maxZones)) {
    if (zone.empty() || region.empty())
      section.reject("zones", fmt::format("zone '{}' with region '{}': neither may be empty", zone, region));
    settings.zones.emplace(ZoneName{zone}, RegionName{region});
  }
  if (settings.zones.empty()) section.reject("zones", "expected at least one zone with its region");
}

/// Splits a text such as "a b" and checks that both names are zones of the settings.
std::pair<ZoneName, ZoneName> readZonePair(const YamlSection& section, const FailoverSettings& settings,
                                           const std::string& text) {
  const std::size_t space = text.find(' ');
  const ZoneName origin{text.substr(0, space)};
  const ZoneName target{space == std::string::npos ? "" : text.substr(space + 1)};
  for (const ZoneName& zone : {origin, target})
    if (!settings.zones.contains(zone))
      section.reject("costs", fmt::format("'{}' is not a pair of configured zones, such as \"a b\"", text));
  if (origin == target) section.reject("costs", fmt::format("'{}' names the same zone twice", text));
  return {origin, target};
}

void readCosts(YamlSection& section, FailoverSettings& settings) {
  for (const auto& [pair, cost] : section.textMap("costs", maxCosts)) {
    const auto [origin, target] = readZonePair(section, settings, pair);
    if (settings.costs.contains({target, origin}))
      section.reject("costs", fmt::format("'{}' is already listed in the opposite order", pair));
    settings.costs[{origin, target}] = section.parseNumber("costs", cost, 0, maxCost);
  }
}

OperatorOverrides readOverrides(YamlSection& section, const FailoverSettings& settings) {
  OperatorOverrides overrides;
  for (const std::string& name : section.textList("drained")) {
    const ZoneName zone{name};
    if (!settings.zones.contains(zone))
      section.reject("drained", fmt::format("'{}' is not a configured zone", name));
    overrides.drainedZones.insert(zone);
  }
  overrides.isFrozen = section.boolean("held", false);
  return overrides;
}

ZoneObservation readZoneObservation(YamlSection section) {
  ZoneObservation observation;
  observation.liveMembers = section.count("members", 1, 0, maxMembers);
  observation.arrivalRate = section.number("read", 0, 0, maxRate);
  observation.completionRate = section.number("done", 0, 0, maxRate);
  observation.executing = section.number("running", 0, 0, maxRate);
  observation.concurrencyLimit = section.number("limit", 0, 0, maxRate);
  observation.queueingRatio = section.number("held-back", 0, 0, 1);
  observation.dataAge = section.duration("age", 0ms, 0ms, 24h);
  observation.isUnreachable = section.boolean("silent", false);
  section.rejectUnknownKeys();
  return observation;
}

FleetObservation readFleetObservation(YamlSection section, const FailoverSettings& settings) {
  FleetObservation observation;
  for (const auto& [zone, region] : settings.zones)
    if (section.has(zone.text)) observation.zones[zone] = readZoneObservation(section.section(zone.text));
  section.rejectUnknownKeys();
  return observation;
}

}  // namespace

FailoverSettings readFailoverSettings(YamlSection& section) {
  FailoverSettings settings;
  readZones(section, settings);
  readCosts(section, settings);
  settings.sameRegionCost = section.number("in-region", settings.sameRegionCost, 0, maxCost);
  settings.crossRegionCost = section.number("beyond", settings.crossRegionCost, 0, maxCost);
  if (settings.crossRegionCost < settings.sameRegionCost)
    section.reject("beyond", fmt::format("{} is less than the cost within a region, {}",
                                         settings.crossRegionCost, settings.sameRegionCost));
  settings.capacityMargin = section.number("margin", settings.capacityMargin, 0, maxMargin);
  settings.maxStep = section.number("step", settings.maxStep, minStep, 1);
  settings.stepInterval = section.duration("look", settings.stepInterval, 200ms, 10min);
  return settings;
}

PlanningScenario readPlanningScenario(const std::string& file) {
  YamlSection section(loadYamlFile(file), file, "");
  PlanningScenario scenario;
  scenario.settings = readFailoverSettings(section);
  scenario.overrides = readOverrides(section, scenario.settings);
  scenario.steps = section.count("looks", scenario.steps, 1, maxSteps);
  if (section.has("figures"))
    scenario.observation = readFleetObservation(section.section("figures"), scenario.settings);
  section.rejectUnknownKeys();
  return scenario;
}

}  // namespace rainhook::options
