/// @file
/// The interface between a host (the real server or the simulator's adapter) and the decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "decision/actions.h"
#include "decision/events.h"
#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Decides what one server does with its requests, from the server's start to its end.
///
/// An instance does no I/O, reads no clock and draws no random numbers: the same events at the same times
/// give the same actions. It is not thread-safe; one thread at a time may use it.
class AdmissionPolicy {
 public:
  AdmissionPolicy() = default;
  AdmissionPolicy(const AdmissionPolicy&) = delete;
  AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;
  AdmissionPolicy(AdmissionPolicy&&) = delete;
  AdmissionPolicy& operator=(AdmissionPolicy&&) = delete;
  virtual ~AdmissionPolicy() = default;

  /// Takes what happened since the last call and returns what is to be done, both in order.
  ///
  /// All events are taken to happen at `now`, which must never decrease. The first call, at the start of the
  /// instance, may carry no event. Events of unknown requests are passed over.
  [[nodiscard]] virtual std::vector<Action> onEvents(Duration now, std::span<const Event> events) = 0;

  /// How many table entries all calls have gone through so far: the cost of the decisions, independent of
  /// any clock.
  [[nodiscard]] virtual std::uint64_t entriesScanned() const = 0;

  /// The present limit on concurrent executions; it moves in fractions.
  [[nodiscard]] virtual double concurrencyLimit() const = 0;
};

/// Makes the policy of one server.
[[nodiscard]] std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const PolicySettings& settings);

}  // namespace rainhook
