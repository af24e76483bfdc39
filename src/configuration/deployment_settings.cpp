#include "configuration/deployment_settings.h"

#include <algorithm>
#include <limits>

namespace rainhook {
namespace {

HandlerPolicy readHandler(const SettingsReader& facts, std::size_t at) {
  const std::string at0 = "classes." + std::to_string(at) + ".";
  HandlerPolicy terms;
  terms.latencyObjective = facts.duration(at0 + "aimNs", facts.duration(at0 + "hardLimitNs"));
  // Stated as nothing it is a mistake; not stated at all it is 0, as any absent value.
  if (const auto stated = facts.text(at0 + "aimNs");
      !stated.empty() && terms.latencyObjective <= Duration::zero())
    facts.reject(at0 + "aimNs", stated, "a span over 0");
  terms.objectiveWorkFactor = facts.number(at0 + "aimStretch", 0);
  terms.clientTimeout = facts.duration(at0 + "hardLimitNs", terms.latencyObjective);
  terms.priorityWeight = facts.number(at0 + "worth", 1);
  terms.lateWeight = facts.number(at0 + "lateWorth", 0);
  terms.deduplicationWindow = facts.duration(at0 + "windowNs");
  terms.degradedWeight = facts.numberInList("domain.classSkipWorth", at);
  terms.callsDownstream = facts.booleanInList("domain.classCalls", at);
  switch (facts.choice(at0 + "effect", {"free", "guarded", "single_shot"})) {
    case 1:
      terms.idempotency = Idempotency::keyed;
      break;
    case 2:
      terms.idempotency = Idempotency::nonIdempotent;
      break;
    default:
      break;
  }
  return terms;
}

}  // namespace

DeploymentSettings readDeploymentSettings(const SettingsMap& pairs) {
  const SettingsReader facts(pairs, "settings");
  DeploymentSettings out;
  MachineProfile& m = out.machine;
  m.cores = std::max(1, facts.count("domain.cores", 1));
  // Where no memory is stated, or none at all, nothing is held against it.
  m.memoryKb = facts.number("domain.memoryKb", 0);
  if (m.memoryKb <= 0) m.memoryKb = std::numeric_limits<double>::max();
  m.executionMemoryFactor = facts.number("domain.runFactor", 1);
  m.cachedEntryKb = facts.number("domain.keyKb", 0);
  m.coldStart = facts.boolean("domain.cold");
  m.initialSpeed = facts.number("invariants.coldFrom", 1);
  m.warmUpDuration = facts.duration("invariants.warmWithinNs");
  m.maxExecutionsPerCore = std::max(1.0, facts.number("invariants.fallMultiple", 1));
  m.crowdingWindow = facts.duration("invariants.fallNs");
  const CancellationMode haltings[] = {CancellationMode::none, CancellationMode::discardWork,
                                       CancellationMode::pauseWork};
  m.cancellation = haltings[facts.choice("domain.halt", {"none", "drop", "pause"})];

  const int handlers = facts.count("classes.count", 0);
  for (int i = 0; i < handlers; ++i) {
    out.handlerPolicies.push_back(readHandler(facts, static_cast<std::size_t>(i)));
    out.handlerNames.emplace_back(facts.text("classes." + std::to_string(i) + ".name"));
  }
  const int customers = facts.count("orgs.count", 0);
  for (int i = 0; i < customers; ++i)
    out.tenantNames.emplace_back(facts.text("orgs." + std::to_string(i) + ".name"));

  const DownstreamKind belows[] = {DownstreamKind::none, DownstreamKind::shared, DownstreamKind::nextTier};
  out.downstream.kind = belows[facts.choice("domain.below", {"none", "shared", "tier"})];
  out.downstream.concurrentCallQuota = facts.number("domain.callsOut", 0);
  out.downstream.quotaWindow = facts.duration("domain.callsOverNs");
  out.downstream.abandonedCallLinger = facts.duration("domain.lingerNs");

  out.protocolLimits.answerSlack = facts.duration("invariants.answerSlackNs");
  out.protocolLimits.drainGrace = facts.duration("invariants.stopSendingWithinNs");

  const LoadSignalKind signals[] = {LoadSignalKind::none, LoadSignalKind::level, LoadSignalKind::credit,
                                    LoadSignalKind::weight};
  out.signaling.signalKind = signals[facts.choice("domain.signal", {"none", "level", "credit", "weight"})];
  out.signaling.signalLifetime = facts.duration("domain.saidForNs");
  out.signaling.registryFollowsHealth = facts.boolean("domain.readiness");
  if (facts.boolean("limits.retryAfter"))
    out.signaling.maxRetryAfter = facts.duration("limits.maxRetryAfterNs");

  out.resultSharing.weightByWork = facts.choice("worthBy", {"request", "work"}) == 1;
  out.resultSharing.sharingDuration = facts.duration("domain.freshNs");
  out.fleet.servers = std::max(1, facts.count("servers", 1));
  out.fleet.clients = std::max(1, facts.count("domain.callers", 1));
  if (const auto idle = facts.duration("domain.keepaliveMaxNs"); idle > idle.zero())
    out.fleet.maxIdleTime = idle;
  out.clientsSendTimeRemaining = facts.boolean("domain.passesDeadline");
  for (const auto name : facts.list("domain.gauges"))
    out.gauges.push_back(name == "cpu_busy"   ? LoadGauge::cpuUtilization
                         : name == "runnable" ? LoadGauge::runnableTasks
                         : name == "mem_used" ? LoadGauge::memoryUtilization
                         : name == "sockets"  ? LoadGauge::openConnections
                                              : LoadGauge::other);
  return out;
}

TimerFired timerFired(TimerId timer, std::span<const double> values, const std::vector<LoadGauge>& order) {
  TimerFired out{.timer = timer,
                 .cpuUtilization = {},
                 .runnableTasks = {},
                 .memoryUtilization = {},
                 .openConnections = {}};
  for (std::size_t i = 0; i < values.size() && i < order.size(); ++i) {
    if (order[i] == LoadGauge::cpuUtilization) out.cpuUtilization = values[i];
    if (order[i] == LoadGauge::runnableTasks) out.runnableTasks = values[i];
    if (order[i] == LoadGauge::memoryUtilization) out.memoryUtilization = values[i];
    if (order[i] == LoadGauge::openConnections) out.openConnections = values[i];
  }
  return out;
}

}  // namespace rainhook
