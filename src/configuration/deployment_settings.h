/// @file
/// The operators' settings of a deployment, read into the types of the decision module. A real server and the
/// simulator's host read the same settings.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "configuration/settings_reader.h"
#include "decision/decision.h"

namespace rainhook {

/// A measurement of the machine that a timer event may carry.
enum class LoadGauge {
  cpuUtilization,     ///< share of the cores that are busy
  runnableTasks,      ///< tasks that run or wait for a core
  memoryUtilization,  ///< share of the memory in use
  openConnections,    ///< open sockets
  other               ///< one that rainhook does not know and ignores
};

/// What a deployment's operators state about a server, its work and its surroundings.
struct DeploymentSettings {
  MachineProfile machine;                      ///< the machine, its limits and its slow start
  std::vector<HandlerPolicy> handlerPolicies;  ///< by HandlerId
  std::vector<std::string> handlerNames;       ///< by HandlerId
  std::vector<std::string> tenantNames;        ///< by TenantId
  DownstreamProfile downstream;                ///< the service that handlers call
  ProtocolLimits protocolLimits;               ///< times that the protocol demands
  SignalingProfile signaling;                  ///< which load signals are sent, and to whom
  ResultSharing resultSharing;                 ///< whether a read's answer may serve other reads
  FleetProfile fleet;                          ///< how many servers and clients there are
  bool clientsSendTimeRemaining = false;       ///< whether requests carry the client's remaining time
  std::vector<LoadGauge> gauges;               ///< the gauges of a timer event, in their order
};

/// Reads a deployment's settings. Unknown paths are ignored; absent ones take their documented default.
/// @throws ConfigurationError (source "settings") on a value that is not what its path holds.
[[nodiscard]] DeploymentSettings readDeploymentSettings(SettingsMap settings);

/// The event of a timer with the gauges measured at its time.
/// @param timer the timer that has fired
/// @param gauges what each of the values measures
/// @param values in the order of `gauges`; there may be fewer, or none where nothing was measured
[[nodiscard]] TimerFired timerFired(TimerId timer, std::span<const double> values,
                                    const std::vector<LoadGauge>& gauges);

}  // namespace rainhook
