// serve and check: a real server, and what its configuration and our own settings hold.
#include <Poco/Exception.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <signal.h>

#include <cstdio>
#include <iostream>
#include <optional>
#include <random>

#include "commands/commands.h"
#include "configuration/server_configuration.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "options/options.h"
#include "server/membership_service.h"
#include "server/request_server.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;

po::options_description common(const char* title) {
  po::options_description options(title);
  options.add_options()("config", po::value<std::string>()->default_value(fromEnvironment("GW_CONFIG")),
                        "the configuration, a JSON file; where absent the one that GW_CONFIG names")(
      "options", po::value<std::string>()->default_value(fromEnvironment("RAINHOOK_OPTIONS")),
      "our own settings, a YAML file; where absent the one that RAINHOOK_OPTIONS names, or none")(
      "help", "this page");
  return options;
}

int page(const char* command, const po::options_description& options) {
  std::cout << "usage: rainhook " << command << " [options]\n\n" << options;
  return fine;
}

}  // namespace

int serve(const Words& words) {
  const auto options = common("options of serve");
  const auto given = read(words, options);
  if (given.count("help")) return page("serve", options);
  const auto file = given["config"].as<std::string>();
  signal(SIGPIPE, SIG_IGN);
  net::Reactor reactor;
  std::optional<server::RequestServer> server;  // a signal that comes before it is there waits in the reactor
  std::optional<server::MembershipService> presence;
  reactor.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal == SIGHUP) return server->reloadFrom(file);
    server->leave();
    if (presence) presence->leave();
  });
  const auto own = options::readOptionsFile(given["options"].as<std::string>());
  const auto configured = readConfigurationFile(file);
  logging::Log log(own.log && own.log->json ? logging::Log::Format::json : logging::Log::Format::text,
                   configured.endpoints.name);
  for (const auto& line : options::switchedOn(own)) log.message(logging::LogCategory::start, "{}", line);
  server.emplace(reactor, log, configured);
  if (own.membership)
    presence.emplace(reactor, log, *own.membership, *server, configured.deployment.fleet.servers,
                     (std::uint64_t{std::random_device{}()} << 32) | std::random_device{}());
  std::string at = configured.endpoints.listen;
  try {
    server->open();
    if (presence) at = own.membership->listen.text, presence->open();
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: can't listen at {}: {}\n", at, error.displayText());
    return cannotServe;
  }
  reactor.run();
  return fine;
}

int check(const Words& words) {
  auto options = common("options of check");
  options.add_options()("running", po::value<std::string>(),
                        "the configuration of a running server: says what a reload of it would not take");
  const auto given = read(words, options);
  if (given.count("help")) return page("check", options);
  const auto own = options::readOptionsFile(given["options"].as<std::string>());
  const auto configured = readConfigurationFile(given["config"].as<std::string>());
  const auto& [place, facts, fixed] = configured;
  const auto millis = [](Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  };
  const auto orNone = [](const std::string& address) { return address.empty() ? "none" : address; };
  fmt::print("{} listens at {}; engine {}, list {}, next tier {}\n", place.name, place.listen, place.engine,
             orNone(place.registry), orNone(place.downstream));
  fmt::print("limits: {} descriptors, {} MB; {} ms from the notice to leave to the stop\n",
             place.maxDescriptors, place.memoryMb, millis(place.shutdownTimeout));
  fmt::print("{} cores, {:.0f} kB for reqs, {} customers\n", facts.machine.cores, facts.machine.memoryKb,
             facts.tenantNames.size());
  constexpr const char* effects[] = {"replayable", "uniqued", "non-replayable"};
  for (std::size_t i = 0; i < facts.handlerPolicies.size(); ++i) {
    const HandlerPolicy& terms = facts.handlerPolicies[i];
    fmt::print("handler {}: {}, response target {} ms, client timeout {} ms, value {}\n",
               facts.handlerNames[i], effects[static_cast<std::size_t>(terms.idempotency)],
               millis(terms.latencyObjective), millis(terms.clientTimeout), terms.priorityWeight);
  }
  const auto on = options::switchedOn(own);
  fmt::print("switched on by our own settings: {}\n",
             on.empty() ? "nothing" : fmt::to_string(fmt::join(on, "; ")));
  if (given.count("running")) {
    const auto left =
        restartRequiredChanges(readConfigurationFile(given["running"].as<std::string>()), configured);
    fmt::print("a reload (SIGHUP) of a server with {} would take {}\n", given["running"].as<std::string>(),
               left.empty() ? "all of it" : fmt::format("all but {}", fmt::join(left, ", ")));
  }
  return fine;
}

}  // namespace rainhook::commands
