// The command line: which command is meant, and how a fault ends.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

#include "commands/commands.h"
#include "configuration/server_configuration.h"
#include "options/options.h"

namespace rainhook::commands {

namespace po = boost::program_options;

po::variables_map read(const Words& words, const po::options_description& options,
                       const std::vector<const char*>& alone) {
  po::positional_options_description inTurn;
  for (const char* name : alone) inTurn.add(name, 1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(words).options(options).positional(inTurn).run(), given);
    po::notify(given);
  } catch (const po::error& error) {
    throw Misuse(error.what());
  }
  return given;
}

std::string fromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

namespace {

constexpr const char* usage = R"(usage: rainhook COMMAND [options]

  serve    serve until told to leave (SIGTERM or SIGINT)
  check    say what a configuration and our own settings hold, or what is wrong with them
  store    look into a store, check it, change it
  witness  be a member among the servers without serving: an observer
  members  who is there, as a running instance sees it
  failover the plan by which zones take over from each other
  version  say which version this is
  help     this page, or with a command's name that command's options
)";

using Does = int (*)(const Words&);
Does commandOf(const std::string& word) {
  const std::pair<const char*, Does> all[] = {{"serve", serve},     {"check", check},
                                              {"store", store},     {"witness", witness},
                                              {"members", members}, {"failover", failover}};
  for (const auto& [name, does] : all)
    if (word == name) return does;
  return nullptr;
}

int run(const Words& words) {
  const std::string command = words.empty() ? "" : words.front();
  const Words rest(words.empty() ? words.end() : words.begin() + 1, words.end());
  if (command == "help" || command == "--help" || command == "-h") {
    if (rest.empty() || !commandOf(rest.front())) return fmt::print("{}", usage), fine;
    return run({rest.front(), "--help"});
  }
  if (const auto does = commandOf(command)) return does(rest);
  if (command != "version")
    throw Misuse(command.empty() ? "no command is given" : "unknown command '" + command + "'");
  fmt::print("rainhook {}\n", RAINHOOK_VERSION);
  return fine;
}

}  // namespace
}  // namespace rainhook::commands

int main(int count, char** words) {
  using namespace rainhook;
  try {
    return commands::run({words + 1, words + count});
  } catch (const commands::Misuse& error) {
    fmt::print(stderr, "rainhook: {}; try 'rainhook help'\n", error.what());
  } catch (const ConfigurationError& error) {
    fmt::print(stderr, "rainhook: {}\n", error.what());
  } catch (const options::OptionsError& error) {
    fmt::print(stderr, "rainhook: {}\n", error.what());
  } catch (const std::exception& error) {
    fmt::print(stderr, "rainhook: {}\n", error.what());
    return commands::cannotServe;
  }
  return commands::misused;
}
