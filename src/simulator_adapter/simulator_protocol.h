// The frames of the simulator's wire: batches of events in, replies out. Wire codes live here and nowhere
// else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "decision/decision.h"

namespace rainhook::simulator {

// What was wrong with the input, and at which byte of it.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using InstanceNumber = std::uint16_t;

struct Attach {
  std::uint64_t seed = 0;
  std::string facts;
};
struct Detach {};
struct Ring {
  std::uint32_t token = 0;
  std::vector<float> gauges;  // in the order of the instance's settings
};
// Patience, hint and repeats are read as the wire gives them; the host maps them by the instance's settings.
using WireEvent = std::variant<Attach, Detach, Ring, rainhook::Event>;

struct Happened {
  InstanceNumber instance = 0;
  WireEvent event;
};

struct Batch {
  std::uint64_t clock = 0;
  std::vector<Happened> events;
};

// `body` is what follows the length field.
Batch readBatch(std::span<const std::byte> body);

class Reply {
 public:
  void add(InstanceNumber instance, const rainhook::Action& action);
  void fault(InstanceNumber instance, std::string_view text);
  // The whole frame, its length field included.
  std::vector<std::byte> frame() const;

 private:
  std::vector<std::byte> records_;
  std::uint32_t count_ = 0;
};

}  // namespace rainhook::simulator
