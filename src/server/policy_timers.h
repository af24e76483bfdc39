/// @file
/// Timers of the admission policy, whose events contain a new sample of the engine's gauges.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "configuration/deployment_settings.h"
#include "decision/decision.h"
#include "net/reactor.h"
#include "peers/execution_engine_client.h"

namespace rainhook::server {

/// When a timer expires, PolicyTimers requests the engine's gauges. It reports the timer as fired when the
/// gauges arrive, or without gauges after `maxGaugeWait`.
///
/// Bounds: the policy has a fixed number of timers. Removal: a timer is removed when it expires; its gauge
/// request is removed when the response arrives or `maxGaugeWait` has passed.
///
/// Must be used on the event-loop thread only.
class PolicyTimers {
 public:
  /// The referenced objects must outlive this object.
  PolicyTimers(net::Reactor& reactor, peers::ExecutionEngineClient& engine,
               const DeploymentSettings& deployment, std::function<void(const TimerFired&)> onFired);

  /// Starts a timer that fires once: after `delay`, plus the time until the gauges arrive.
  void start(TimerId timer, Duration delay);
  /// Processes the engine's response to a gauge request; a response after `maxGaugeWait` is ignored.
  void onGauges(std::uint64_t gaugeRequest, const std::vector<double>& values);

 private:
  struct AwaitingGauges {
    TimerId timer{};
    net::Reactor::Timer timeout;
  };

  void onExpired(std::uint64_t number, TimerId timer);

  static constexpr Duration maxGaugeWait = std::chrono::milliseconds(8);

  net::Reactor& reactor_;
  peers::ExecutionEngineClient& engine_;
  const DeploymentSettings& deployment_;
  std::function<void(const TimerFired&)> onFired_;
  std::map<std::uint64_t, net::Reactor::Timer> running_;
  std::map<std::uint64_t, AwaitingGauges> awaitingGauges_;  // by the id of the gauge request
  std::uint64_t lastTimerNumber_ = 0;
  std::uint64_t lastGaugeRequest_ = 0;
};

}  // namespace rainhook::server
