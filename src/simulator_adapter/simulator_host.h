// Hosts the instances of one process: each batch goes to the instances by number, in order, and their actions
// come back as one reply. Instances share nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "decision/decision.h"
#include "configuration/deployment_settings.h"
#include "simulator_adapter/simulator_protocol.h"

namespace simhost {

class Host {
 public:
  Reply answer(const Batch& batch);

 private:
  struct Instance {
    rainhook::Facts facts;
    std::uint64_t startedAt = 0;
    std::unique_ptr<rainhook::Decision> decision;
    std::vector<rainhook::Event> pending;
    bool touched = false;
  };
  void attach(InstanceNumber number, const Attach& attach, std::uint64_t clock);
  Instance& known(InstanceNumber number);

  std::map<InstanceNumber, Instance> instances_;  // emptied by Detach
};

}  // namespace simhost
