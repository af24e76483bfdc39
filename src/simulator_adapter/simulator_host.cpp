#include "simulator_adapter/simulator_host.h"

#include <exception>
#include <string>
#include <utility>
#include <variant>

namespace rainhook::simulator {
namespace {

std::string nameOf(InstanceId id) { return "instance " + std::to_string(static_cast<std::uint16_t>(id)); }

std::unique_ptr<AdmissionPolicy> makePolicy(const DeploymentSettings& settings) {
  return makeAdmissionPolicy({.machine = settings.machine,
                              .handlers = settings.handlerPolicies,
                              .downstream = settings.downstream,
                              .limits = settings.protocolLimits,
                              .signaling = settings.signaling,
                              .sharing = settings.resultSharing,
                              .fleet = settings.fleet});
}

// The time that the instance's policy sees: the time since the instance's start. It wraps around like the
// simulator's clock.
Duration elapsed(SimulatorTime since, SimulatorTime now) {
  return Duration(static_cast<Duration::rep>((now - since).count()));
}

}  // namespace

void SimulatorHost::attach(InstanceId id, const AttachInstance& attach, SimulatorTime clock) {
  Instance instance;
  instance.settings = readDeploymentSettings(parseSettingsText(attach.settings));
  instance.startedAt = clock;
  instance.policy = makePolicy(instance.settings);
  instance.isInBatch = true;
  instances_.insert_or_assign(id, std::move(instance));
}

SimulatorHost::Instance& SimulatorHost::instanceFor(InstanceId id) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) throw ProtocolError(nameOf(id) + " gets an event, but is not attached");
  found->second.isInBatch = true;
  return found->second;
}

void SimulatorHost::enqueueTimer(InstanceId id, const TimerExpired& expired) {
  Instance& instance = instanceFor(id);
  const std::vector<double> values(expired.gaugeValues.begin(), expired.gaugeValues.end());
  instance.pending.emplace_back(timerFired(expired.timer, values, instance.settings.gauges));
}

void SimulatorHost::enqueueEvent(InstanceId id, Event event) {
  Instance& instance = instanceFor(id);
  if (auto* request = std::get_if<RequestArrived>(&event)) {
    if (static_cast<std::size_t>(request->handler) >= instance.settings.handlerPolicies.size())
      throw ProtocolError(nameOf(id) + ": a request names handler " +
                          std::to_string(static_cast<std::size_t>(request->handler)) +
                          ", but the settings have only " +
                          std::to_string(instance.settings.handlerPolicies.size()) + " handlers");
    if (!instance.settings.clientsSendTimeRemaining) request->timeRemaining.reset();
  }
  instance.pending.push_back(event);
}

void SimulatorHost::enqueue(InstanceId id, const SimulatorEvent& event, SimulatorTime clock) {
  if (const auto* attached = std::get_if<AttachInstance>(&event)) {
    attach(id, *attached, clock);
  } else if (std::holds_alternative<DetachInstance>(event)) {
    static_cast<void>(instanceFor(id));  // throws if the instance is unknown
    instances_.erase(id);
  } else if (const auto* expired = std::get_if<TimerExpired>(&event)) {
    enqueueTimer(id, *expired);
  } else {
    enqueueEvent(id, std::get<Event>(event));
  }
}

void SimulatorHost::runPolicy(InstanceId id, Instance& instance, SimulatorTime clock, Reply& reply) {
  const std::vector<Event> events = std::exchange(instance.pending, {});
  try {
    const Duration now = elapsed(instance.startedAt, clock);
    for (const Action& action : instance.policy->onEvents(now, events)) reply.add(id, action);
  } catch (const std::exception& error) {
    reply.addError(id, error.what());
  }
}

Reply SimulatorHost::handle(const Batch& batch) {
  for (const auto& [id, event] : batch.events) enqueue(id, event, batch.clock);
  Reply reply;
  for (auto& [id, instance] : instances_)
    if (std::exchange(instance.isInBatch, false)) runPolicy(id, instance, batch.clock, reply);
  return reply;
}

}  // namespace rainhook::simulator
