// failover: the plan that the zones follow. So far only computed from a file of figures, without a fleet.
#include <fmt/format.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "commands/commands.h"
#include "options/failover_options.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;
using namespace failover;

constexpr const char* usage = R"(usage: rainhook failover plan FILE [--json]

Computes the plan of a fleet of zones from a file of figures (examples/zones.yaml), without a fleet.

)";

Plan planned(const options::PlanQuestion& question) {
  Planner planner(question.terms);
  Plan plan, before;
  Span now{};
  for (std::uint64_t look = 0; look < question.looks; ++look, now += question.terms.look) {
    const Plan next = planner.next(now, question.seen, question.orders, plan, {before});
    before = plan, plan = next;
  }
  return plan;
}

nlohmann::json written(const Plan& plan) {
  nlohmann::json out{{"version", static_cast<std::uint64_t>(plan.version)},
                     {"zones", nlohmann::json::array()}};
  for (const auto& [zone, is] : plan.zones) {
    nlohmann::json to = nlohmann::json::object();
    for (const auto& [target, other] : plan.zones)
      if (const double share = plan.share(zone, target); share > 0) to[target.text] = share;
    out["zones"].push_back({{"zone", zone.text},
                            {"state", nameOf(is.state)},
                            {"fill", is.fill},
                            {"proven_a_second", is.proven},
                            {"why", is.why},
                            {"shares", to}});
  }
  return out;
}

}  // namespace

int failover(const Words& words) {
  po::options_description options("options of failover");
  options.add_options()("json", po::bool_switch(), "as JSON")(
      "command", po::value<std::string>()->default_value(""), "plan")(
      "file", po::value<std::string>()->default_value(""), "plan: the file, also as the word behind it")(
      "help", "this page");
  const auto given = read(words, options, {"command", "file"});
  const auto command = given["command"].as<std::string>(), file = given["file"].as<std::string>();
  if (given.count("help") || command == "help") return std::cout << usage << options, fine;
  if (command != "plan")
    throw Misuse(command.empty() ? "failover: no command is given"
                                 : "unknown command 'failover " + command + "'");
  if (file.empty()) throw Misuse("failover plan: the file is missing");
  const Plan plan = planned(options::readPlanQuestion(file));
  if (given["json"].as<bool>()) return std::cout << written(plan).dump(2) << '\n', fine;
  fmt::print("{:<14} {:<11} {:>6} {:>10}  {:<40} {}\n", "zone", "state", "fill", "proven/s",
             "traffic goes to", "why");
  for (const auto& [zone, is] : plan.zones) {
    std::string to;
    for (const auto& [target, other] : plan.zones)
      if (const double share = plan.share(zone, target); share >= 0.0005)
        to += fmt::format("{}{} {:.1f}%", to.empty() ? "" : ", ", target.text, 100 * share);
    fmt::print("{:<14} {:<11} {:>6.2f} {:>10.1f}  {:<40} {}\n", zone.text, nameOf(is.state), is.fill,
               is.proven, to, is.why);
  }
  return fine;
}

}  // namespace rainhook::commands
