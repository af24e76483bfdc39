/// @file
/// The command `serve`: runs a real server, which is also a member if the options enable membership.
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>

#include "commands/command_line.h"
#include "configuration/server_configuration.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "options/options.h"
#include "server/membership_service.h"
#include "server/request_server.h"

namespace rainhook::commands {
namespace {

std::uint64_t generateRandomSeed() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32) | device();
}

logging::Log::Format toLogFormat(options::LogFormat format) {
  return format == options::LogFormat::json ? logging::Log::Format::json : logging::Log::Format::text;
}

// Opens the service's listening socket. Prints an error and returns false if the address is not available.
template <typename Service>
bool openAt(Service& service, const std::string& address) {
  try {
    service.open();
    return true;
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: cannot listen at {}: {}\n", address, error.displayText());
    return false;
  }
}

int runServer(const std::string& configurationFile, const std::string& optionsFile) {
  std::signal(SIGPIPE, SIG_IGN);
  net::Reactor reactor;
  std::optional<server::RequestServer> server;
  std::optional<server::MembershipService> membership;
  // Signals stay pending until the reactor runs; the server exists by then.
  reactor.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
    if (signal == SIGHUP) return server->reloadFile(configurationFile);
    server->shutDownGracefully();
    if (membership) membership->leave();
  });
  const options::Options options = options::readOptionsFile(optionsFile);
  const ServerConfiguration configuration = readConfigurationFile(configurationFile);
  logging::Log log(toLogFormat(options.logFormat()), configuration.endpoints.name);
  for (const std::string& feature : options::describeEnabledFeatures(options))
    log.message(logging::LogCategory::start, "{}", feature);
  server.emplace(reactor, log, configuration);
  if (options.membership)
    membership.emplace(reactor, log, *options.membership, *server, configuration.deployment.fleet.servers,
                       generateRandomSeed());
  if (!openAt(*server, configuration.endpoints.listen)) return exitFailure;
  if (membership && !openAt(*membership, options.membership->listen.text)) return exitFailure;
  reactor.run();
  return exitSuccess;
}

}  // namespace

int serve(const Arguments& arguments) {
  const auto options = configurationOptions("options of serve");
  const auto values = parseArguments(arguments, options);
  if (values.count("help") > 0) {
    printUsage("serve", options);
    return exitSuccess;
  }
  return runServer(values["config"].as<std::string>(), values["options"].as<std::string>());
}

}  // namespace rainhook::commands
