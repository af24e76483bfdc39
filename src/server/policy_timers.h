/// @file
/// Timers of the admission policy, which fire with a fresh sample of the engine's gauges.
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

/// When a timer expires, the engine is asked for its gauges; the timer fires with the answer, or without one
/// after a short wait.
///
/// Bounds: the policy keeps a fixed number of timers. Removal: a timer goes when it expires; its request for
/// gauges goes when it is answered or `maxGaugeWait` has passed.
///
/// Used from the event loop's thread only.
class PolicyTimers {
 public:
  /// The references must outlive this object.
  PolicyTimers(net::Reactor& reactor, peers::ExecutionEngineClient& engine,
               const DeploymentSettings& deployment, std::function<void(const TimerFired&)> onFired);

  /// Fires once after `delay`, and then the wait for the gauges.
  void start(TimerId timer, Duration delay);
  /// The engine's answer to a request for gauges; ignored where it comes too late.
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
  std::map<std::uint64_t, AwaitingGauges> awaitingGauges_;  // by the request for gauges
  std::uint64_t lastTimerNumber_ = 0;
  std::uint64_t lastGaugeRequest_ = 0;
};

}  // namespace rainhook::server
