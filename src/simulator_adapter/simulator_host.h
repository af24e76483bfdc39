// Hosts the instances of one process: each batch goes to the instances by number, in order, and their actions
// come back as one reply. Instances share nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "configuration/deployment_settings.h"
#include "decision/decision.h"
#include "simulator_adapter/simulator_protocol.h"

namespace rainhook::simulator {

class Host {
 public:
  Reply answer(const Batch& batch);

 private:
  struct Instance {
    rainhook::DeploymentSettings facts;
    std::uint64_t startedAt = 0;
    std::unique_ptr<rainhook::AdmissionPolicy> decision;
    std::vector<rainhook::Event> pending;
    bool touched = false;
  };
  void attach(InstanceNumber number, const Attach& attach, std::uint64_t clock);
  Instance& known(InstanceNumber number);

  std::map<InstanceNumber, Instance> instances_;  // emptied by Detach
};

}  // namespace rainhook::simulator
