/// @file
/// The command `members`: prints the members as a running instance sees them.
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "commands/command_line.h"
#include "commands/members_options.h"
#include "commands/membership_client.h"
#include "options/options.h"

namespace rainhook::commands {

namespace po = boost::program_options;
using nlohmann::json;

po::options_description membershipOptions(const char* title) {
  po::options_description out(title);
  out.add_options()(
      "options", po::value<std::string>()->default_value(environmentVariable("RAINHOOK_OPTIONS")),
      "rainhook's options with the section membership; default: the file that RAINHOOK_OPTIONS names")(
      "help", "print this help");
  return out;
}

membership::MembershipSettings membershipSettingsOf(const po::variables_map& values) {
  const auto file = values["options"].as<std::string>();
  const auto fileOptions = options::readOptionsFile(file);
  if (!fileOptions.membership)
    throw UsageError(fmt::format("options file '{}' has no section membership", file));
  return *fileOptions.membership;
}

namespace {

constexpr const char* usage = R"(usage: rainhook members [COMMAND] --options FILE [--at ADDRESS] [options]

  (none)         print the members as the queried instance sees them, one row each
  watch          print the members, then each change, until the command is interrupted
  zones          print the load of each zone, one row each, and the age of its oldest data
  explain NAME   print why a member is in its state: failed probes, witnesses and the pending step

Exit status 1: no instance answered at the address with a shared key, or the answer was invalid.

)";

constexpr const char* memberRowFormat = "{:<16} {:<21} {:<12} {:<10} {:<8} {:>5} {:<9} {}";
constexpr const char* zoneRowFormat =
    "{:<12} {:<10} {:>7} {:>7} {:>5} {:>5} {:>7} {:>7} {:>8} {:>8} {:>5} {:>9} {}\n";

std::string textOf(const json& row, const char* field) { return row.at(field).get<std::string>(); }

std::string memberRow(const json& member) {
  return fmt::format(memberRowFormat, textOf(member, "name"), textOf(member, "address"),
                     textOf(member, "zone"), textOf(member, "region"), textOf(member, "state"),
                     member.at("incarnation").get<std::uint64_t>(),
                     member.at("reachable").get<bool>() ? "yes" : "no", textOf(member, "phase"));
}

int printMembers(MembershipClient& client, bool asJson) {
  const auto answer = client.queryMembers();
  if (asJson) {
    std::cout << answer.at("members").dump(2) << '\n';
    return exitSuccess;
  }
  fmt::print(memberRowFormat, "name", "address", "zone", "region", "state", "inc", "reachable", "phase");
  fmt::print("\n");
  for (const auto& member : answer.at("members")) fmt::print("{}\n", memberRow(member));
  if (answer.at("doubtful").get<bool>())
    fmt::print("{} reports that its view of the members is uncertain\n", textOf(answer, "asked"));
  return exitSuccess;
}

using RowsByName = std::map<std::string, std::string>;

RowsByName queryMemberRows(MembershipClient& client) {
  RowsByName out;
  const auto answer = client.queryMembers();
  for (const auto& member : answer.at("members")) out[textOf(member, "name")] = memberRow(member);
  return out;
}

void printChanges(const RowsByName& before, const RowsByName& after) {
  for (const auto& [name, row] : after) {
    const auto it = before.find(name);
    if (it == before.end() || it->second != row) std::cout << row << '\n';
  }
  for (const auto& [name, row] : before)
    if (!after.contains(name)) std::cout << name << " is no longer listed\n";
  std::cout << std::flush;
}

/// Prints changes until an exception or a signal ends the program.
[[noreturn]] void watchMembers(MembershipClient& client) {
  constexpr auto interval = std::chrono::milliseconds(500);
  RowsByName before;
  for (;;) {
    auto after = queryMemberRows(client);
    printChanges(before, after);
    before = std::move(after);
    std::this_thread::sleep_for(interval);
  }
}

void printZone(const json& zone) {
  const auto count = [&](const char* field) { return zone.at(field).get<std::uint64_t>(); };
  const auto decimal = [&](const char* field) { return fmt::format("{:.1f}", zone.at(field).get<double>()); };
  fmt::print(zoneRowFormat, textOf(zone, "zone"), textOf(zone, "region"), count("members"), count("serving"),
             count("cold"), count("unfit"), decimal("limit"), decimal("running"), decimal("read_a_second"),
             decimal("done_a_second"), fmt::format("{:.2f}", zone.at("held_back").get<double>()),
             count("oldest_ms"), zone.at("silent").get<bool>() ? "unreachable" : "");
}

int printZones(MembershipClient& client, bool asJson) {
  const auto zones = client.queryZones();
  if (asJson) {
    std::cout << zones.dump(2) << '\n';
    return exitSuccess;
  }
  fmt::print(zoneRowFormat, "zone", "region", "members", "serving", "cold", "unfit", "limit", "running",
             "read/s", "done/s", "held", "oldest ms", "");
  for (const auto& zone : zones) printZone(zone);
  return exitSuccess;
}

int printExplanation(MembershipClient& client, const std::string& memberName) {
  const auto lines = client.queryExplanation(memberName);
  if (lines.empty()) throw UsageError("members explain: no member has the name '" + memberName + "'");
  for (const auto& line : lines) fmt::print("{}\n", line.get<std::string>());
  return exitSuccess;
}

po::options_description membersOptions() {
  auto out = membershipOptions("options of members");
  out.add_options()("at", po::value<std::string>(),
                    "address of the instance to query; default: the advertised address in the options")(
      "json", po::bool_switch(), "print a JSON array")("command", po::value<std::string>()->default_value(""),
                                                       "watch, zones or explain")(
      "name", po::value<std::string>()->default_value(""),
      "explain: the name of the member, also as the argument after the command");
  return out;
}

void checkCommand(const std::string& command, const std::string& name) {
  if (!command.empty() && command != "watch" && command != "explain" && command != "zones")
    throw UsageError("unknown command 'members " + command + "'");
  if (command == "explain" && name.empty()) throw UsageError("members explain: the member's name is missing");
  if (command != "explain" && !name.empty())
    throw UsageError("members: only explain takes a name, got '" + name + "'");
}

int run(MembershipClient& client, const std::string& command, const std::string& name, bool asJson) {
  if (command == "watch") watchMembers(client);
  if (command == "zones") return printZones(client, asJson);
  if (command == "explain") return printExplanation(client, name);
  return printMembers(client, asJson);
}

}  // namespace

int members(const Arguments& arguments) {
  const auto options = membersOptions();
  const auto values = parseArguments(arguments, options, {"command", "name"});
  const auto command = values["command"].as<std::string>();
  const auto name = values["name"].as<std::string>();
  if (values.count("help") > 0 || command == "help") {
    std::cout << usage << options;
    return exitSuccess;
  }
  checkCommand(command, name);
  const auto settings = membershipSettingsOf(values);
  const auto address = values.count("at") > 0 ? values["at"].as<std::string>() : settings.advertise.text;
  MembershipClient client(settings, address);
  try {
    return run(client, command, name, values["json"].as<bool>());
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: members: no valid answer from {}: {}\n", address, error.displayText());
  } catch (const json::exception&) {
    fmt::print(stderr,
               "rainhook: members: cannot decode the answer from {}; the instance may run another release\n",
               address);
  }
  return exitFailure;
}

}  // namespace rainhook::commands
