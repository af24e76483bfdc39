/// @file
/// The interface between a host (the server or the simulator adapter) and the admission policy.
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

/// Decides what one server does with its requests, from the start of the server to its stop.
///
/// An instance does no I/O, reads no clock and draws no random numbers: the same events at the same times
/// produce the same actions. It is not thread-safe; only one thread at a time may use it.
class AdmissionPolicy {
 public:
  AdmissionPolicy() = default;
  AdmissionPolicy(const AdmissionPolicy&) = delete;
  AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;
  AdmissionPolicy(AdmissionPolicy&&) = delete;
  AdmissionPolicy& operator=(AdmissionPolicy&&) = delete;
  virtual ~AdmissionPolicy() = default;

  /// Processes the events since the last call in order and returns the actions to carry out in order.
  ///
  /// All events are treated as having happened at `now`, which must never decrease. The first call, at the
  /// start of the instance, may carry no events. Events of unknown requests are ignored.
  [[nodiscard]] virtual std::vector<Action> onEvents(Duration now, std::span<const Event> events) = 0;

  /// The number of table entries that all calls have scanned so far: the cost of the decisions, measured
  /// without a clock.
  [[nodiscard]] virtual std::uint64_t entriesScanned() const = 0;

  /// The current concurrency limit; it changes in fractions of an execution.
  [[nodiscard]] virtual double concurrencyLimit() const = 0;
};

/// Creates the admission policy of one server.
[[nodiscard]] std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const PolicySettings& settings);

}  // namespace rainhook
