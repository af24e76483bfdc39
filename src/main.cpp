// The command line: serve, check, version, help.
#include <Poco/Exception.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "facts/place.h"
#include "net/log.h"
#include "net/reactor.h"
#include "server/server.h"

namespace {

using namespace rainhook;
namespace po = boost::program_options;

enum Status { fine = 0, cannotServe = 1, misused = 2 };

constexpr const char* usage = R"(usage: rainhook COMMAND [options]

  serve    serve until told to leave (SIGTERM or SIGINT)
  check    say what a configuration holds, or what is wrong with it
  version  say which version this is
  help     this page, or with a command's name that command's options
)";

int advise(const std::string& fault) {
  fmt::print(stderr, "rainhook: {}; try 'rainhook help'\n", fault);
  return misused;
}

po::options_description optionsOf(const std::string& command) {
  po::options_description options("options of " + command);
  if (command == "serve" || command == "check") {
    const char* file = std::getenv("GW_CONFIG");
    options.add_options()("config", po::value<std::string>()->default_value(file ? file : ""),
                          "the configuration, a JSON file; where absent the one that GW_CONFIG names");
  }
  if (command == "check")
    options.add_options()("running", po::value<std::string>(),
                          "the configuration of a running server: says what a reload of it would not take");
  options.add_options()("help", "this page");
  return options;
}

int serve(const std::string& file) {
  net::Log log;
  signal(SIGPIPE, SIG_IGN);
  net::Reactor reactor;
  std::optional<server::Server> server;  // a signal that comes before it is there waits in the reactor
  reactor.onSignals({SIGTERM, SIGINT, SIGHUP},
                    [&](int signal) { signal == SIGHUP ? server->reloadFrom(file) : server->leave(); });
  const auto configured = readConfigurationFile(file);
  server.emplace(reactor, log, configured);
  try {
    server->open();
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: can't listen at {}: {}\n", configured.place.listen, error.displayText());
    return cannotServe;
  }
  reactor.run();
  return fine;
}

int check(const po::variables_map& given) {
  const auto configured = readConfigurationFile(given["config"].as<std::string>());
  const auto& [place, facts, fixed] = configured;
  const auto millis = [](Span span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  const auto or_ = [](const std::string& address) { return address.empty() ? "none" : address; };
  fmt::print("{} listens at {}; engine {}, list {}, next tier {}\n", place.name, place.listen, place.engine,
             or_(place.list), or_(place.next));
  fmt::print("limits: {} descriptors, {} MB; {} ms from the notice to leave to the stop\n", place.descriptors,
             place.memoryMb, millis(place.stopAfter));
  fmt::print("{} cores, {:.0f} kB for reqs, {} customers\n", facts.machine.cores, facts.machine.memoryKb,
             facts.customerNames.size());
  constexpr const char* effects[] = {"replayable", "uniqued", "non-replayable"};
  for (std::size_t i = 0; i < facts.handlers.size(); ++i) {
    const HandlerTerms& terms = facts.handlers[i];
    fmt::print("handler {}: {}, response target {} ms, client timeout {} ms, value {}\n",
               facts.handlerNames[i], effects[static_cast<std::size_t>(terms.effect)],
               millis(terms.responseTarget), millis(terms.clientTimeout), terms.value);
  }
  if (given.count("running")) {
    const auto left = leftByReload(readConfigurationFile(given["running"].as<std::string>()), configured);
    fmt::print("a reload (SIGHUP) of a server with {} would take {}\n", given["running"].as<std::string>(),
               left.empty() ? "all of it" : fmt::format("all but {}", fmt::join(left, ", ")));
  }
  return fine;
}

int help(const std::string& command) {
  if (command != "serve" && command != "check")
    fmt::print("{}", usage);
  else
    std::cout << "usage: rainhook " << command << " [options]\n\n" << optionsOf(command);
  return fine;
}

int run(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "" : words.front();
  const std::vector<std::string> rest(words.empty() ? words.end() : words.begin() + 1, words.end());
  if (command == "help" || command == "--help" || command == "-h")
    return help(rest.empty() ? "" : rest.front());
  if (command != "serve" && command != "check" && command != "version")
    return advise(command.empty() ? "no command is given" : "unknown command '" + command + "'");
  po::variables_map given;
  try {
    po::store(po::command_line_parser(rest).options(optionsOf(command)).positional({}).run(), given);
  } catch (const po::error& error) {
    return advise(error.what());
  }
  if (given.count("help")) return help(command);
  if (command == "version") {
    fmt::print("rainhook {}\n", RAINHOOK_VERSION);
    return fine;
  }
  try {
    return command == "check" ? check(given) : serve(given["config"].as<std::string>());
  } catch (const FactsError& error) {
    fmt::print(stderr, "rainhook: {}\n", error.what());
    return misused;
  }
}

}  // namespace

int main(int count, char** words) {
  try {
    return run({words + 1, words + count});
  } catch (const std::exception& error) {
    fmt::print(stderr, "rainhook: {}\n", error.what());
    return cannotServe;
  }
}
