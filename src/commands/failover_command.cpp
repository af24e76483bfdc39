/// @file
/// The command `failover`: computes a plan from a file of observations, without a fleet.
#include <fmt/format.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "commands/command_line.h"
#include "failover/failover_planner.h"
#include "options/failover_options.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;
using failover::FailoverPlan;
using failover::FailoverPlanner;
using failover::TransitionReason;
using failover::ZoneName;
using failover::ZonePlan;
using failover::ZoneState;

constexpr const char* usage = R"(usage: rainhook failover plan FILE [--json]

Computes the failover plan of a fleet of zones from a file of observations (see examples/zones.yaml). The command
does not contact any server.

)";

/// The table omits smaller shares, since it shows tenths of a percent.
constexpr double minPrintedShare = 0.0005;

/// Names of states in the JSON output. The format is public and must not change.
const char* jsonNameOf(ZoneState state) {
  switch (state) {
    case ZoneState::serving:
      return "in service";
    case ZoneState::overloaded:
      return "strained";
    case ZoneState::draining:
      return "leaving";
    case ZoneState::outOfService:
      return "out";
    case ZoneState::recovering:
      return "filling";
  }
  return "";
}

/// Names of reasons in the JSON output. The format is public and must not change.
const char* jsonNameOf(TransitionReason reason) {
  switch (reason) {
    case TransitionReason::none:
      return "";
    case TransitionReason::unreachable:
      return "nobody of it is heard";
    case TransitionReason::drainedByOperator:
      return "drained by order";
    case TransitionReason::slowerThanOtherZones:
      return "its reqs take over three times as long as elsewhere";
    case TransitionReason::healthyAgain:
      return "well again";
    case TransitionReason::waitingToRecover:
      return "heard again, and waited for";
    case TransitionReason::reachableAgain:
      return "heard again";
    case TransitionReason::recoveryStepFailed:
      return "reqs wait there: a step back";
    case TransitionReason::recoveryCompleted:
      return "filled";
    case TransitionReason::recoveryStepSucceeded:
      return "it does what it gets";
    case TransitionReason::arrivalsExceedCapacity:
      return "more than it can do";
    case TransitionReason::overloadEnded:
      return "does what it gets";
  }
  return "";
}

/// Computes one plan per step of the scenario and returns the last. Each step assumes that instances may
/// still follow the plan before the previous one.
FailoverPlan computePlan(const options::PlanningScenario& scenario) {
  FailoverPlanner planner(scenario.settings);
  FailoverPlan plan;
  FailoverPlan planInUse;
  failover::Duration now{};
  for (std::uint64_t step = 0; step < scenario.steps; ++step) {
    const FailoverPlan next =
        planner.nextPlan(now, scenario.observation, scenario.overrides, plan, {planInUse});
    planInUse = plan;
    plan = next;
    now += scenario.settings.stepInterval;
  }
  return plan;
}

nlohmann::json toJson(const FailoverPlan& plan, const ZoneName& zone, const ZonePlan& zonePlan) {
  nlohmann::json shares = nlohmann::json::object();
  for (const auto& [target, targetPlan] : plan.zones)
    if (const double share = plan.share(zone, target); share > 0) shares[target.text] = share;
  return {{"zone", zone.text},
          {"state", jsonNameOf(zonePlan.state)},
          {"fill", zonePlan.usableRatio},
          {"proven_a_second", zonePlan.provenRate},
          {"why", jsonNameOf(zonePlan.reason)},
          {"shares", shares}};
}

nlohmann::json toJson(const FailoverPlan& plan) {
  nlohmann::json zones = nlohmann::json::array();
  for (const auto& [zone, zonePlan] : plan.zones) zones.push_back(toJson(plan, zone, zonePlan));
  return {{"version", static_cast<std::uint64_t>(plan.version)}, {"zones", zones}};
}

std::string formatShares(const FailoverPlan& plan, const ZoneName& zone) {
  std::string text;
  for (const auto& [target, targetPlan] : plan.zones) {
    const double share = plan.share(zone, target);
    if (share < minPrintedShare) continue;
    text += fmt::format("{}{} {:.1f}%", text.empty() ? "" : ", ", target.text, 100 * share);
  }
  return text;
}

void printTable(const FailoverPlan& plan) {
  fmt::print("{:<14} {:<14} {:>6} {:>10}  {:<40} {}\n", "zone", "state", "usable", "proven/s",
             "traffic goes to", "reason");
  for (const auto& [zone, zonePlan] : plan.zones)
    fmt::print("{:<14} {:<14} {:>6.2f} {:>10.1f}  {:<40} {}\n", zone.text, nameOf(zonePlan.state),
               zonePlan.usableRatio, zonePlan.provenRate, formatShares(plan, zone),
               describe(zonePlan.reason));
}

}  // namespace

int failover(const Arguments& arguments) {
  po::options_description options("options of failover");
  options.add_options()("json", po::bool_switch(), "print the plan as JSON")(
      "command", po::value<std::string>()->default_value(""), "the command: plan")(
      "file", po::value<std::string>()->default_value(""),
      "plan: the file of observations, also as the argument after the command")("help", "print this help");
  const po::variables_map values = parseArguments(arguments, options, {"command", "file"});
  const auto command = values["command"].as<std::string>();
  const auto file = values["file"].as<std::string>();
  if (values.count("help") > 0 || command == "help") {
    std::cout << usage << options;
    return exitSuccess;
  }
  if (command.empty()) throw UsageError("failover: the command is missing, expected plan");
  if (command != "plan") throw UsageError("unknown command 'failover " + command + "'");
  if (file.empty()) throw UsageError("failover plan: the file name is missing");

  const FailoverPlan plan = computePlan(options::readPlanningScenario(file));
  if (values["json"].as<bool>())
    std::cout << toJson(plan).dump(2) << '\n';
  else
    printTable(plan);
  return exitSuccess;
}

}  // namespace rainhook::commands
