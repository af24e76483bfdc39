/// @file
/// The program `rainhook`: runs the command that the first argument names and converts errors into a message
/// and an exit status.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

#include "commands/commands.h"
#include "configuration/configuration_error.h"
#include "options/options_error.h"

namespace {

using namespace rainhook::commands;

constexpr const char* usage = R"(usage: rainhook COMMAND [options]

  serve    run a server until SIGTERM or SIGINT
  check    validate a configuration and the options and print a summary
  store    read, verify or change a store
  witness  run a member that observes the servers without serving requests
  members  print the members as a running instance sees them
  failover compute the plan by which zones take over traffic from each other
  version  print the version
  help     print this help, or the options of the command that is named
)";

struct Command {
  std::string_view name;
  int (*run)(const Arguments&);
};
constexpr std::array commands = {Command{"serve", serve},     Command{"check", check},
                                 Command{"store", store},     Command{"witness", witness},
                                 Command{"members", members}, Command{"failover", failover}};

// Returns null if there is no such command.
const Command* findCommand(const std::string& name) {
  const auto* const found =
      std::find_if(commands.begin(), commands.end(), [&](const Command& each) { return each.name == name; });
  return found == commands.end() ? nullptr : found;
}

int help(const Arguments& arguments) {
  const Command* command = arguments.empty() ? nullptr : findCommand(arguments.front());
  if (command != nullptr) return command->run({"--help"});
  fmt::print("{}", usage);
  return exitSuccess;
}

int version() {
  fmt::print("rainhook {}\n", RAINHOOK_VERSION);
  return exitSuccess;
}

int runCommand(const Arguments& arguments) {
  if (arguments.empty() || arguments.front().empty()) throw UsageError("the command is missing");
  const std::string& name = arguments.front();
  const Arguments rest(arguments.begin() + 1, arguments.end());
  if (name == "help" || name == "--help" || name == "-h") return help(rest);
  if (name == "version") return version();
  const Command* command = findCommand(name);
  if (command == nullptr) throw UsageError("unknown command '" + name + "'");
  return command->run(rest);
}

int fail(const std::exception& error, ExitStatus status) {
  fmt::print(stderr, "rainhook: {}\n", error.what());
  return status;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  try {
    return runCommand({arguments + 1, arguments + argumentCount});
  } catch (const UsageError& error) {
    fmt::print(stderr, "rainhook: {}; try 'rainhook help'\n", error.what());
    return exitUsageError;
  } catch (const rainhook::ConfigurationError& error) {
    return fail(error, exitUsageError);
  } catch (const rainhook::options::OptionsError& error) {
    return fail(error, exitUsageError);
  } catch (const std::exception& error) {
    return fail(error, exitFailure);
  }
}
