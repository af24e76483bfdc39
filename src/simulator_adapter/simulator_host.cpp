#include "simulator_adapter/simulator_host.h"

#include <string>
#include <utility>
#include <vector>

namespace rainhook::simulator {

void Host::attach(InstanceNumber number, const Attach& attach, std::uint64_t clock) {
  Instance fresh;
  fresh.facts = rainhook::readDeploymentSettings(rainhook::parseSettingsText(attach.facts));
  fresh.startedAt = clock;
  const rainhook::DeploymentSettings& f = fresh.facts;
  fresh.decision = rainhook::makeAdmissionPolicy({.machine = f.machine,
                                                  .handlers = f.handlerPolicies,
                                                  .downstream = f.downstream,
                                                  .limits = f.protocolLimits,
                                                  .signaling = f.signaling,
                                                  .sharing = f.resultSharing,
                                                  .fleet = f.fleet});
  fresh.touched = true;
  instances_.insert_or_assign(number, std::move(fresh));
}

Host::Instance& Host::known(InstanceNumber number) {
  const auto it = instances_.find(number);
  if (it == instances_.end())
    throw WireError("instance " + std::to_string(number) + " has an event but was never attached");
  it->second.touched = true;
  return it->second;
}

Reply Host::answer(const Batch& batch) {
  for (const auto& [number, event] : batch.events) {
    if (const auto* attached = std::get_if<Attach>(&event)) {
      attach(number, *attached, batch.clock);
    } else if (std::holds_alternative<Detach>(event)) {
      known(number);
      instances_.erase(number);
    } else if (const auto* ring = std::get_if<Ring>(&event)) {
      Instance& instance = known(number);
      const std::vector<double> values(ring->gauges.begin(), ring->gauges.end());
      instance.pending.emplace_back(
          rainhook::timerFired(rainhook::TimerId{ring->token}, values, instance.facts.gauges));
    } else {
      Instance& instance = known(number);
      auto plain = std::get<rainhook::Event>(event);
      if (auto* req = std::get_if<rainhook::RequestArrived>(&plain)) {
        if (static_cast<std::size_t>(req->handler) >= instance.facts.handlerPolicies.size())
          throw WireError("instance " + std::to_string(number) +
                          ": a request of a class that is not in its settings");
        if (!instance.facts.clientsSendTimeRemaining) req->timeRemaining.reset();
      }
      instance.pending.push_back(plain);
    }
  }
  Reply reply;
  for (auto& [number, instance] : instances_) {
    if (!std::exchange(instance.touched, false)) continue;
    const auto events = std::exchange(instance.pending, {});
    try {
      const auto now =
          rainhook::Duration(static_cast<rainhook::Duration::rep>(batch.clock - instance.startedAt));
      for (const auto& action : instance.decision->onEvents(now, events)) reply.add(number, action);
    } catch (const std::exception& error) {
      reply.fault(number, error.what());
    }
  }
  return reply;
}

}  // namespace rainhook::simulator
