/// @file
/// The state machine that determines the state of a zone.
#pragma once

#include <optional>

#include "failover/failover_types.h"
#include "failover/zone_load.h"

namespace rainhook::failover {

/// The input of one step of the state machine.
struct ZoneInputs {
  const ZoneObservation* observation = nullptr;  ///< null if no member is reachable; not owned
  ZoneLoad load;                                 ///< estimated from `observation`
  bool isGrayFailure = false;  ///< the zone answers, but has been much slower than the others
  /// Time since which its service time is similar to that of the others; empty while it is not.
  std::optional<Duration> healthySince;
  bool isDrained = false;  ///< an operator has drained the zone
};

/// The state machine of one zone; docs/failover.md has the table of states. It stores timestamps only. The
/// state itself is part of the plan, so that another planner can continue from the plan; only its waiting
/// times start again. Not thread-safe.
class ZoneStateMachine {
 public:
  /// Computes the zone's part of the next plan. `previous` is its part of the previous plan.
  [[nodiscard]] ZonePlan advance(Duration now, const FailoverSettings& settings, const ZoneInputs& inputs,
                                 const ZonePlan& previous);

 private:
  /// The input and output of one call of advance().
  struct Step {
    Duration now;
    const FailoverSettings& settings;
    const ZoneInputs& inputs;
    const ZonePlan& previous;
    ZonePlan& next;
  };

  void enter(const Step& step, ZoneState state, double usableRatio, TransitionReason reason);
  void startRecovery(const Step& step, TransitionReason reason);
  void onUnreachable(const Step& step);
  void onGrayFailure(const Step& step);
  void advanceDraining(const Step& step);
  void advanceOutOfService(const Step& step);
  void advanceRecovering(const Step& step);
  void advanceInService(const Step& step);

  std::optional<Duration> stateSince_;
  std::optional<Duration> lastFailure_;
  /// The time of the last recovery step, or the time from which the recovery delay counts; may be in the
  /// future. It is initially before the start of the clock, so that a recovery that another planner has
  /// started continues without a delay.
  Duration lastRecoveryStep_{-1};
};

}  // namespace rainhook::failover
