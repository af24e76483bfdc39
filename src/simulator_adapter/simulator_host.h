/// @file
/// Runs the admission policies of all server instances of one simulation in one process.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "configuration/deployment_settings.h"
#include "decision/decision.h"
#include "simulator_adapter/simulator_protocol.h"

namespace rainhook::simulator {

/// Passes the events of a batch to their instances and collects the actions of each instance, in ascending
/// order of the instances' numbers. Instances share no state. Not thread-safe.
class SimulatorHost {
 public:
  /// Processes one batch.
  /// @throws ProtocolError if an event names an unknown instance or an unknown handler. An error that an
  ///     instance throws while it handles its events is reported in the reply instead.
  /// @throws ConfigurationError if the settings of a new instance are invalid.
  [[nodiscard]] Reply handle(const Batch& batch);

 private:
  struct Instance {
    DeploymentSettings settings;
    SimulatorTime startedAt{};
    std::unique_ptr<AdmissionPolicy> policy;
    std::vector<Event> pending;  // its events of the current batch
    bool isInBatch = false;      // whether it was attached or got an event in the current batch
  };

  void attach(InstanceId id, const AttachInstance& attach, SimulatorTime clock);
  void enqueue(InstanceId id, const SimulatorEvent& event, SimulatorTime clock);
  void enqueueTimer(InstanceId id, const TimerExpired& expired);
  void enqueueEvent(InstanceId id, Event event);
  // Returns the instance and marks it as part of the current batch.
  Instance& instanceFor(InstanceId id);
  static void runPolicy(InstanceId id, Instance& instance, SimulatorTime clock, Reply& reply);

  std::map<InstanceId, Instance> instances_;  // the instances that are attached
};

}  // namespace rainhook::simulator
