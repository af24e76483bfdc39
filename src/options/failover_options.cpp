#include "options/failover_options.h"

#include <fmt/format.h>

namespace rainhook::options {

using failover::ZoneName;
using namespace std::chrono_literals;

failover::PlanTerms planTerms(YamlSection& given) {
  failover::PlanTerms out;
  for (const auto& [zone, region] : given.textMap("zones", 64)) {
    if (zone.empty() || region.empty()) given.reject("zones", fmt::format("zone '{}' is in no region", zone));
    out.zones.emplace(ZoneName{zone}, failover::RegionName{region});
  }
  if (out.zones.empty()) given.reject("zones", "names no zone; each zone stands there with its region");
  for (const auto& [pair, text] : given.textMap("costs", 4096)) {
    const auto space = pair.find(' ');
    const ZoneName from{pair.substr(0, space)}, to{space == std::string::npos ? "" : pair.substr(space + 1)};
    for (const auto& zone : {from, to})
      if (!out.zones.contains(zone))
        given.reject("costs", fmt::format("'{}' is no pair of stated zones, such as \"a b\"", pair));
    if (from == to) given.reject("costs", fmt::format("'{}' is one zone twice", pair));
    if (out.costs.contains({to, from})) given.reject("costs", fmt::format("names '{}' both ways", pair));
    out.costs[{from, to}] = given.parseNumber("costs", text, 0, 1000);
  }
  out.inRegion = given.number("in-region", out.inRegion, 0, 1000);
  out.beyond = given.number("beyond", out.beyond, 0, 1000);
  if (out.beyond < out.inRegion) given.reject("beyond", "costs less than a way within the region");
  out.margin = given.number("margin", out.margin, 0, 0.9);
  out.step = given.number("step", out.step, 0.01, 1);
  out.look = given.duration("look", out.look, 200ms, 10min);
  return out;
}

PlanQuestion readPlanQuestion(const std::string& file) {
  YamlSection given(loadYamlFile(file), file, "");
  PlanQuestion out;
  out.terms = planTerms(given);
  const auto known = [&](const std::string& key, const std::string& zone) {
    if (!out.terms.zones.contains(ZoneName{zone}))
      given.reject(key, fmt::format("'{}' is no stated zone", zone));
  };
  for (const auto& zone : given.textList("drained"))
    known("drained", zone), out.orders.drained.insert({zone});
  out.orders.held = given.boolean("held", false);
  out.looks = given.count("looks", out.looks, 1, 10000);
  if (given.has("figures")) {
    YamlSection all = given.section("figures");
    for (const auto& [zone, region] : out.terms.zones) {
      if (!all.has(zone.text)) continue;
      YamlSection one = all.section(zone.text);
      failover::ZoneFigures& of = out.seen.zones[zone];
      of.members = one.count("members", 1, 0, 100000);
      of.read = one.number("read", 0, 0, 1e9), of.done = one.number("done", 0, 0, 1e9);
      of.running = one.number("running", 0, 0, 1e9), of.limit = one.number("limit", 0, 0, 1e9);
      of.heldBack = one.number("held-back", 0, 0, 1);
      of.age = one.duration("age", 0ms, 0ms, 24h), of.silent = one.boolean("silent", false);
      one.rejectUnknownKeys();
    }
    all.rejectUnknownKeys();
  }
  given.rejectUnknownKeys();
  return out;
}

}  // namespace rainhook::options
