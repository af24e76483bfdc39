/// @file
/// The command `check`: prints a summary of a configuration and the options, and the changes that a reload
/// would not apply.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>
#include <cstddef>

#include "commands/command_line.h"
#include "configuration/server_configuration.h"
#include "options/options.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;

std::chrono::milliseconds::rep millisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string orNone(const std::string& address) { return address.empty() ? "none" : address; }

const char* nameOf(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::idempotent:
      return "idempotent";
    case Idempotency::keyed:
      return "keyed";
    case Idempotency::nonIdempotent:
      return "non-idempotent";
  }
  return "unknown";
}

void printEndpoints(const ServerEndpoints& endpoints) {
  fmt::print("server {}: listens at {}, engine {}, registry {}, downstream service {}\n", endpoints.name,
             endpoints.listen, endpoints.engine, orNone(endpoints.registry), orNone(endpoints.downstream));
  fmt::print("limits: {} descriptors, {} MB of memory, {} ms for a shutdown\n", endpoints.maxDescriptors,
             endpoints.memoryMb, millisecondsOf(endpoints.shutdownTimeout));
}

void printDeployment(const DeploymentSettings& settings) {
  fmt::print("machine: {} cores, {:.0f} kB of memory for requests; {} tenants\n", settings.machine.cores,
             settings.machine.memoryKb, settings.tenantNames.size());
  for (std::size_t i = 0; i < settings.handlerPolicies.size(); ++i) {
    const HandlerPolicy& policy = settings.handlerPolicies[i];
    fmt::print("handler {}: {}, latency objective {} ms, client timeout {} ms, priority weight {}\n",
               settings.handlerNames[i], nameOf(policy.idempotency), millisecondsOf(policy.latencyObjective),
               millisecondsOf(policy.clientTimeout), policy.priorityWeight);
  }
}

void printEnabledFeatures(const options::Options& options) {
  const auto features = options::describeEnabledFeatures(options);
  fmt::print("features enabled by the options: {}\n",
             features.empty() ? "none" : fmt::to_string(fmt::join(features, "; ")));
}

void printReload(const std::string& runningFile, const ServerConfiguration& offered) {
  const auto restartRequired = restartRequiredChanges(readConfigurationFile(runningFile), offered);
  fmt::print("a server that runs with {} would apply {} at a reload (SIGHUP)\n", runningFile,
             restartRequired.empty()
                 ? "all changes"
                 : fmt::format("all changes except {}", fmt::join(restartRequired, ", ")));
}

po::options_description checkOptions() {
  auto options = configurationOptions("options of check");
  options.add_options()("running", po::value<std::string>(),
                        "the configuration of a running server: print which keys a reload would not apply");
  return options;
}

}  // namespace

int check(const Arguments& arguments) {
  const auto description = checkOptions();
  const auto values = parseArguments(arguments, description);
  if (values.count("help") > 0) {
    printUsage("check", description);
    return exitSuccess;
  }
  const options::Options options = options::readOptionsFile(values["options"].as<std::string>());
  const ServerConfiguration configuration = readConfigurationFile(values["config"].as<std::string>());
  printEndpoints(configuration.endpoints);
  printDeployment(configuration.deployment);
  printEnabledFeatures(options);
  if (values.count("running") > 0) printReload(values["running"].as<std::string>(), configuration);
  return exitSuccess;
}

}  // namespace rainhook::commands
