/// @file
/// witness: a member without a server.
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <optional>

#include "commands/command_line.h"
#include "commands/members_options.h"
#include "commands/membership_client.h"
#include "logging/log.h"
#include "membership_transport/membership_transport.h"
#include "net/reactor.h"
#include "options/options.h"
#include "server/incarnation_store.h"
#include "server/membership_service.h"

namespace rainhook::commands {
namespace {

using membership::MembershipEvent;
using membership::MembershipSettings;
using membershipTransport::MembershipTransport;

/// Says why this instance can't be a member, and gives the status to end with; nothing where it can.
std::optional<ExitStatus> rejectionStatus(const MembershipSettings& settings, const MembershipEvent& event) {
  if (event.type == MembershipEvent::Type::regionMismatch) {
    fmt::print(stderr, "rainhook: {}\n", server::describeRegionMismatch(settings, event.member));
    return exitUsageError;
  }
  if (event.type != MembershipEvent::Type::nameRejected) return std::nullopt;
  fmt::print(stderr, "rainhook: the name {} is held by the living instance at {}\n", settings.name.text,
             event.member.address.text);
  return exitFailure;
}

/// Runs until a signal ends it or it is rejected.
int runWitness(const MembershipSettings& settings, logging::Log& log) {
  net::Reactor reactor;
  net::BufferPool pool;
  int status = exitSuccess;
  net::Reactor::Timer stopTimer;
  std::optional<MembershipTransport> transport;
  reactor.onSignals({SIGTERM, SIGINT}, [&](int) {
    if (!transport) return reactor.stop();
    transport->leave();
    stopTimer = reactor.after(transport->membership().leaveDuration(), [&] { reactor.stop(); });
  });
  server::IncarnationStore incarnations(reactor, log, settings);
  transport.emplace(reactor, pool, log, settings, incarnations.open(), drawProcessId(),
                    [&](const MembershipEvent& event) {
                      const auto rejection = rejectionStatus(settings, event);
                      if (!rejection) return;
                      status = *rejection;
                      reactor.stop();
                    });
  try {
    transport->open();
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: can't listen at {}: {}\n", settings.listen.text, error.displayText());
    return exitFailure;
  }
  incarnations.startPersisting(*transport);
  transport->publishStatus(membership::MemberStatus{});  // an observer
  reactor.run();
  transport.reset();
  reactor.releaseRetired();
  return status;
}

}  // namespace

int witness(const Arguments& words) {
  const auto description = membershipOptions("options of witness");
  const auto given = parseArguments(words, description);
  if (given.count("help") > 0) {
    std::cout << "usage: rainhook witness --options FILE\n\n" << description;
    return exitSuccess;
  }
  const auto settings = membershipSettingsOf(given);
  const auto own = options::readOptionsFile(given["options"].as<std::string>());
  signal(SIGPIPE, SIG_IGN);
  const bool isJson = own.logFormat() == options::LogFormat::json;
  logging::Log log(isJson ? logging::Log::Format::json : logging::Log::Format::text, settings.name.text);
  return runWitness(settings, log);
}

}  // namespace rainhook::commands
