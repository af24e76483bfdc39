// What an instance is handed at its start, read into the module's words; the same for both hosts.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "configuration/settings_reader.h"
#include "decision/decision.h"

namespace rainhook {

enum class LoadGauge { cpuUtilization, runnableTasks, memoryUtilization, openConnections, other };

struct DeploymentSettings {
  MachineProfile machine;
  std::vector<HandlerPolicy> handlerPolicies;
  std::vector<std::string> handlerNames, tenantNames;
  DownstreamProfile downstream;
  ProtocolLimits protocolLimits;
  SignalingProfile signaling;
  ResultSharing resultSharing;
  FleetProfile fleet;
  bool clientsSendTimeRemaining = false;
  std::vector<LoadGauge> gauges;
};

// Unknown paths are passed over, absent ones keep their stated meaning. Throws FactsError on a value that is
// not what its path holds.
DeploymentSettings readDeploymentSettings(const SettingsMap& pairs);

// The ring of a timer with its gauges, given in the order of the facts; fewer or none where they are not
// known.
TimerFired timerFired(TimerId timer, std::span<const double> values, const std::vector<LoadGauge>& order);

}  // namespace rainhook
