#include "configuration/deployment_settings.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <string_view>
#include <utility>

namespace rainhook {
namespace {

MachineProfile readMachineProfile(const SettingsReader& reader) {
  MachineProfile machine;
  machine.cores = std::max(1, reader.count("domain.cores", 1));
  machine.memoryKb = reader.number("domain.memoryKb", 0);
  // Memory is unlimited if the settings do not state its size.
  if (machine.memoryKb <= 0) machine.memoryKb = std::numeric_limits<double>::max();
  machine.executionMemoryFactor = reader.number("domain.runFactor", 1);
  machine.cachedEntryKb = reader.number("domain.keyKb", 0);
  machine.coldStart = reader.boolean("domain.cold");
  machine.initialSpeed = reader.number("invariants.coldFrom", 1);
  machine.warmUpDuration = reader.duration("invariants.warmWithinNs");
  machine.maxExecutionsPerCore = std::max(1.0, reader.number("invariants.fallMultiple", 1));
  machine.overcommitWindow = reader.duration("invariants.fallNs");
  machine.cancellation =
      reader.choice<CancellationMode>("domain.halt", {{"none", CancellationMode::none},
                                                      {"drop", CancellationMode::discardWork},
                                                      {"pause", CancellationMode::pauseWork}});
  return machine;
}

Duration readLatencyObjective(const SettingsReader& reader, const std::string& prefix) {
  const std::string path = prefix + "aimNs";
  const Duration objective = reader.duration(path, reader.duration(prefix + "hardLimitNs"));
  // An explicit objective of 0 is an error. An absent one defaults to the client timeout; if both are absent,
  // both are 0.
  const std::string_view stated = reader.text(path);
  if (!stated.empty() && objective <= Duration::zero()) reader.reject(path, stated, "a duration above 0 ns");
  return objective;
}

HandlerPolicy readHandlerPolicy(const SettingsReader& reader, std::size_t handler) {
  const std::string prefix = "classes." + std::to_string(handler) + ".";
  HandlerPolicy policy;
  policy.latencyObjective = readLatencyObjective(reader, prefix);
  policy.objectiveWorkFactor = reader.number(prefix + "aimStretch", 0);
  policy.clientTimeout = reader.duration(prefix + "hardLimitNs", policy.latencyObjective);
  policy.priorityWeight = reader.number(prefix + "worth", 1);
  policy.lateWeight = reader.number(prefix + "lateWorth", 0);
  policy.deduplicationWindow = reader.duration(prefix + "windowNs");
  policy.degradedWeight = reader.numberAt("domain.classSkipWorth", handler);
  policy.callsDownstream = reader.booleanAt("domain.classCalls", handler);
  policy.idempotency =
      reader.choice<Idempotency>(prefix + "effect", {{"free", Idempotency::idempotent},
                                                     {"guarded", Idempotency::keyed},
                                                     {"single_shot", Idempotency::nonIdempotent}});
  return policy;
}

std::vector<HandlerPolicy> readHandlerPolicies(const SettingsReader& reader) {
  const int handlers = reader.count("classes.count", 0);
  std::vector<HandlerPolicy> policies;
  policies.reserve(static_cast<std::size_t>(handlers));
  for (int handler = 0; handler < handlers; ++handler)
    policies.push_back(readHandlerPolicy(reader, static_cast<std::size_t>(handler)));
  return policies;
}

// Reads the names of the entries of a list, such as `classes` or `orgs`.
std::vector<std::string> readNames(const SettingsReader& reader, const std::string& list) {
  const int entries = reader.count(list + ".count", 0);
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(entries));
  for (int entry = 0; entry < entries; ++entry)
    names.emplace_back(reader.text(list + "." + std::to_string(entry) + ".name"));
  return names;
}

DownstreamProfile readDownstreamProfile(const SettingsReader& reader) {
  DownstreamProfile downstream;
  downstream.kind = reader.choice<DownstreamKind>("domain.below", {{"none", DownstreamKind::none},
                                                                   {"shared", DownstreamKind::shared},
                                                                   {"tier", DownstreamKind::nextTier}});
  downstream.concurrentCallQuota = reader.number("domain.callsOut", 0);
  downstream.quotaWindow = reader.duration("domain.callsOverNs");
  downstream.maxAbandonedCallDuration = reader.duration("domain.lingerNs");
  return downstream;
}

ProtocolLimits readProtocolLimits(const SettingsReader& reader) {
  ProtocolLimits limits;
  limits.answerSlack = reader.duration("invariants.answerSlackNs");
  limits.drainGrace = reader.duration("invariants.stopSendingWithinNs");
  return limits;
}

SignalingProfile readSignalingProfile(const SettingsReader& reader) {
  SignalingProfile signaling;
  signaling.signalKind = reader.choice<LoadSignalKind>("domain.signal", {{"none", LoadSignalKind::none},
                                                                         {"level", LoadSignalKind::level},
                                                                         {"credit", LoadSignalKind::credit},
                                                                         {"weight", LoadSignalKind::weight}});
  signaling.signalLifetime = reader.duration("domain.saidForNs");
  signaling.registryFollowsHealth = reader.boolean("domain.readiness");
  if (reader.boolean("limits.retryAfter"))
    signaling.maxRetryAfter = reader.duration("limits.maxRetryAfterNs");
  return signaling;
}

ResultSharing readResultSharing(const SettingsReader& reader) {
  ResultSharing sharing;
  sharing.weightByWork = reader.choice<bool>("worthBy", {{"request", false}, {"work", true}});
  sharing.sharingDuration = reader.duration("domain.freshNs");
  return sharing;
}

FleetProfile readFleetProfile(const SettingsReader& reader) {
  FleetProfile fleet;
  fleet.servers = std::max(1, reader.count("servers", 1));
  fleet.clients = std::max(1, reader.count("domain.callers", 1));
  const Duration maxIdleTime = reader.duration("domain.keepaliveMaxNs");
  if (maxIdleTime > Duration::zero()) fleet.maxIdleTime = maxIdleTime;
  return fleet;
}

LoadGauge gaugeNamed(std::string_view name) {
  if (name == "cpu_busy") return LoadGauge::cpuUtilization;
  if (name == "runnable") return LoadGauge::runnableTasks;
  if (name == "mem_used") return LoadGauge::memoryUtilization;
  if (name == "sockets") return LoadGauge::openConnections;
  return LoadGauge::other;
}

std::vector<LoadGauge> readGauges(const SettingsReader& reader) {
  std::vector<LoadGauge> gauges;
  for (const std::string_view name : reader.list("domain.gauges")) gauges.push_back(gaugeNamed(name));
  return gauges;
}

}  // namespace

DeploymentSettings readDeploymentSettings(SettingsMap settings) {
  const SettingsReader reader(std::move(settings), "settings");
  DeploymentSettings deployment;
  deployment.machine = readMachineProfile(reader);
  deployment.handlerPolicies = readHandlerPolicies(reader);
  deployment.handlerNames = readNames(reader, "classes");
  deployment.tenantNames = readNames(reader, "orgs");
  deployment.downstream = readDownstreamProfile(reader);
  deployment.protocolLimits = readProtocolLimits(reader);
  deployment.signaling = readSignalingProfile(reader);
  deployment.resultSharing = readResultSharing(reader);
  deployment.fleet = readFleetProfile(reader);
  deployment.clientsSendTimeRemaining = reader.boolean("domain.passesDeadline");
  deployment.gauges = readGauges(reader);
  return deployment;
}

TimerFired timerFired(TimerId timer, std::span<const double> values, const std::vector<LoadGauge>& gauges) {
  TimerFired event;
  event.timer = timer;
  const std::size_t measured = std::min(values.size(), gauges.size());
  for (std::size_t i = 0; i < measured; ++i) {
    switch (gauges[i]) {
      case LoadGauge::cpuUtilization:
        event.cpuUtilization = values[i];
        break;
      case LoadGauge::runnableTasks:
        event.runnableTasks = values[i];
        break;
      case LoadGauge::memoryUtilization:
        event.memoryUtilization = values[i];
        break;
      case LoadGauge::openConnections:
        event.openConnections = values[i];
        break;
      case LoadGauge::other:
        break;
    }
  }
  return event;
}

}  // namespace rainhook
