#include "options/failover_options.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace rainhook::options {

using failover::ZoneName;
using namespace std::chrono_literals;

failover::PlanTerms planTerms(Section& given) {
  failover::PlanTerms out;
  for (const auto& [zone, region] : given.named("zones", 64)) {
    if (zone.empty() || region.empty()) given.fault("zones", fmt::format("zone '{}' is in no region", zone));
    out.zones.emplace(ZoneName{zone}, failover::RegionName{region});
  }
  if (out.zones.empty()) given.fault("zones", "names no zone; each zone stands there with its region");
  for (const auto& [pair, text] : given.named("costs", 4096)) {
    const auto space = pair.find(' ');
    const ZoneName from{pair.substr(0, space)}, to{space == std::string::npos ? "" : pair.substr(space + 1)};
    for (const auto& zone : {from, to})
      if (!out.zones.contains(zone))
        given.fault("costs", fmt::format("'{}' is no pair of stated zones, such as \"a b\"", pair));
    if (from == to) given.fault("costs", fmt::format("'{}' is one zone twice", pair));
    if (out.costs.contains({to, from})) given.fault("costs", fmt::format("names '{}' both ways", pair));
    out.costs[{from, to}] = given.figureIn("costs", text, 0, 1000);
  }
  out.inRegion = given.figure("in-region", out.inRegion, 0, 1000);
  out.beyond = given.figure("beyond", out.beyond, 0, 1000);
  if (out.beyond < out.inRegion) given.fault("beyond", "costs less than a way within the region");
  out.margin = given.figure("margin", out.margin, 0, 0.9);
  out.step = given.figure("step", out.step, 0.01, 1);
  out.look = given.span("look", out.look, 200ms, 10min);
  return out;
}

PlanQuestion readPlanQuestion(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw OptionsError(fmt::format("{}:0: the file: can't be read", file));
  YAML::Node node;
  try {
    node = YAML::Load(std::string{std::istreambuf_iterator<char>(in), {}});
  } catch (const YAML::ParserException& error) {
    throw OptionsError(fmt::format("{}:{}: the file: {}", file, error.mark.line + 1, error.msg));
  }
  Section given(node, file, "");
  PlanQuestion out;
  out.terms = planTerms(given);
  const auto known = [&](const std::string& key, const std::string& zone) {
    if (!out.terms.zones.contains(ZoneName{zone}))
      given.fault(key, fmt::format("'{}' is no stated zone", zone));
  };
  for (const auto& zone : given.texts("drained")) known("drained", zone), out.orders.drained.insert({zone});
  out.orders.held = given.yes("held", false);
  out.looks = given.count("looks", out.looks, 1, 10000);
  if (given.has("figures")) {
    Section all = given.section("figures");
    for (const auto& [zone, region] : out.terms.zones) {
      if (!all.has(zone.text)) continue;
      Section one = all.section(zone.text);
      failover::ZoneFigures& of = out.seen.zones[zone];
      of.members = one.count("members", 1, 0, 100000);
      of.read = one.figure("read", 0, 0, 1e9), of.done = one.figure("done", 0, 0, 1e9);
      of.running = one.figure("running", 0, 0, 1e9), of.limit = one.figure("limit", 0, 0, 1e9);
      of.heldBack = one.figure("held-back", 0, 0, 1);
      of.age = one.span("age", 0ms, 0ms, 24h), of.silent = one.yes("silent", false);
      one.end();
    }
    all.end();
  }
  given.end();
  return out;
}

}  // namespace rainhook::options
