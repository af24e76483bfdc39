/// @file
/// The command `witness`: runs a member that does not serve requests.
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

/// Returns the exit status and prints the reason if the event means that this instance cannot be a member;
/// otherwise returns nothing.
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

/// Runs until a signal arrives or the other members reject this instance.
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
  transport.emplace(reactor, pool, log, settings, incarnations.open(), generateProcessId(),
                    [&](const MembershipEvent& event) {
                      const auto rejection = rejectionStatus(settings, event);
                      if (!rejection) return;
                      status = *rejection;
                      reactor.stop();
                    });
  try {
    transport->open();
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: cannot listen at {}: {}\n", settings.listen.text, error.displayText());
    return exitFailure;
  }
  incarnations.startPersisting(*transport);
  transport->publishStatus(membership::MemberStatus{});  // the default status is that of an observer
  reactor.run();
  transport.reset();
  reactor.releaseRetired();
  return status;
}

}  // namespace

int witness(const Arguments& arguments) {
  const auto description = membershipOptions("options of witness");
  const auto values = parseArguments(arguments, description);
  if (values.count("help") > 0) {
    std::cout << "usage: rainhook witness --options FILE\n\n" << description;
    return exitSuccess;
  }
  const auto settings = membershipSettingsOf(values);
  const auto fileOptions = options::readOptionsFile(values["options"].as<std::string>());
  signal(SIGPIPE, SIG_IGN);
  const bool isJson = fileOptions.logFormat() == options::LogFormat::json;
  logging::Log log(isJson ? logging::Log::Format::json : logging::Log::Format::text, settings.name.text);
  return runWitness(settings, log);
}

}  // namespace rainhook::commands
