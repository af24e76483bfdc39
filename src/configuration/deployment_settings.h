/// @file
/// Reads the operators' settings of a deployment into the types of the decision module. A real server and the
/// simulator's host use the same settings.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "configuration/settings_reader.h"
#include "decision/decision.h"

namespace rainhook {

/// A measurement of the machine that a timer event can contain.
enum class LoadGauge {
  cpuUtilization,     ///< share of the cores that are busy
  runnableTasks,      ///< tasks that run or are ready to run
  memoryUtilization,  ///< share of the memory in use
  openConnections,    ///< open sockets
  other               ///< a gauge that rainhook does not know and ignores
};

/// The operators' settings about a server, its handlers and its environment.
struct DeploymentSettings {
  MachineProfile machine;                      ///< the machine's limits and warm-up
  std::vector<HandlerPolicy> handlerPolicies;  ///< by HandlerId
  std::vector<std::string> handlerNames;       ///< by HandlerId
  std::vector<std::string> tenantNames;        ///< by TenantId
  DownstreamProfile downstream;                ///< the service that handlers call
  ProtocolLimits protocolLimits;               ///< times that the protocol requires
  SignalingProfile signaling;                  ///< the kind of load signal, its lifetime and its use
  ResultSharing resultSharing;                 ///< whether the result of one read may answer other reads
  FleetProfile fleet;                          ///< the number of servers and clients
  bool clientsSendTimeRemaining = false;       ///< whether requests contain the client's remaining time
  std::vector<LoadGauge> gauges;               ///< the gauges of a timer event, in order
};

/// Reads a deployment's settings. Ignores unknown paths and uses the documented default of absent ones.
/// @throws ConfigurationError (source "settings") if a value is not valid for its path.
[[nodiscard]] DeploymentSettings readDeploymentSettings(SettingsMap settings);

/// Creates the event of a timer with the measurements taken when it fired.
/// @param timer the timer that has fired
/// @param values the measurements in the order of `gauges`; there may be fewer of them, or none
/// @param gauges the gauge of each value
[[nodiscard]] TimerFired timerFired(TimerId timer, std::span<const double> values,
                                    const std::vector<LoadGauge>& gauges);

}  // namespace rainhook
