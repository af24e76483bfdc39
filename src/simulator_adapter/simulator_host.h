/// @file
/// Runs the admission policies of all instances of one simulation in one process.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "configuration/deployment_settings.h"
#include "decision/decision.h"
#include "simulator_adapter/simulator_protocol.h"

namespace rainhook::simulator {

/// Hands the events of a batch to the instances that they concern and collects their actions, by ascending
/// instance and in order. Instances share nothing. Not thread-safe.
class SimulatorHost {
 public:
  /// Carries out one batch.
  /// @throws ProtocolError on an event for an unknown instance or an unknown handler. An error of a single
  ///         instance does not throw; it is reported in the reply.
  /// @throws ConfigurationError on settings that cannot be used.
  [[nodiscard]] Reply handle(const Batch& batch);

 private:
  struct Instance {
    DeploymentSettings settings;
    SimulatorTime startedAt{};
    std::unique_ptr<AdmissionPolicy> policy;
    std::vector<Event> pending;  // events of the batch in hand
    bool isInBatch = false;      // whether the batch in hand concerns it, with or without events
  };

  void attach(InstanceId id, const AttachInstance& attach, SimulatorTime clock);
  void enqueue(InstanceId id, const SimulatorEvent& event, SimulatorTime clock);
  void enqueueTimer(InstanceId id, const TimerExpired& expired);
  void enqueueEvent(InstanceId id, Event event);
  // Marks the instance as concerned by the batch in hand.
  Instance& instanceFor(InstanceId id);
  static void runPolicy(InstanceId id, Instance& instance, SimulatorTime clock, Reply& reply);

  std::map<InstanceId, Instance> instances_;  // until DetachInstance
};

}  // namespace rainhook::simulator
