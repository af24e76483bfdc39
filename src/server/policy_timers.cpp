#include "server/policy_timers.h"

#include <utility>

namespace rainhook::server {

PolicyTimers::PolicyTimers(net::Reactor& reactor, peers::ExecutionEngineClient& engine,
                           const DeploymentSettings& deployment,
                           std::function<void(const TimerFired&)> onFired)
    : reactor_(reactor), engine_(engine), deployment_(deployment), onFired_(std::move(onFired)) {}

void PolicyTimers::start(TimerId timer, Duration delay) {
  const std::uint64_t number = ++lastTimerNumber_;
  running_[number] = reactor_.after(delay, [this, number, timer] { onExpired(number, timer); });
}

void PolicyTimers::onExpired(std::uint64_t number, TimerId timer) {
  const std::uint64_t gaugeRequest = ++lastGaugeRequest_;
  awaitingGauges_[gaugeRequest] = {
      timer, reactor_.after(maxGaugeWait, [this, gaugeRequest] { onGauges(gaugeRequest, {}); })};
  engine_.requestGauges(gaugeRequest);
  running_.erase(number);
}

void PolicyTimers::onGauges(std::uint64_t gaugeRequest, const std::vector<double>& values) {
  const auto it = awaitingGauges_.find(gaugeRequest);
  if (it == awaitingGauges_.end()) return;
  onFired_(timerFired(it->second.timer, values, deployment_.gauges));
  awaitingGauges_.erase(it);
}

}  // namespace rainhook::server
