/// @file
/// Decides the state of one zone, step by step.
#pragma once

#include <optional>

#include "failover/failover_types.h"
#include "failover/zone_load.h"

namespace rainhook::failover {

/// What one step of a zone's state is decided by.
struct ZoneInputs {
  const ZoneObservation* observation = nullptr;  ///< null: no member can be reached; not owned
  ZoneLoad load;                                 ///< estimated from `observation`
  bool isGrayFailure = false;                    ///< it answers, but has been much slower than the others
  std::optional<Duration> healthySince;          ///< since when its service time is like the others'
  bool isDrained = false;                        ///< by an operator
};

/// The state machine of one zone; docs/failover.md has the table of states. It remembers times only: the
/// state itself is part of the plan, so that whoever takes over planning continues from the plan and merely
/// waits anew. Not thread-safe.
class ZoneStateMachine {
 public:
  /// The zone's part of the next plan. `previous` is its part of the plan before.
  [[nodiscard]] ZonePlan advance(Duration now, const FailoverSettings& settings, const ZoneInputs& inputs,
                                 const ZonePlan& previous);

 private:
  /// The event that one step is about; lives for one call of `advance`.
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
  /// The last recovery step, or the time from which the recovery delay counts. May lie ahead of now. Before
  /// the first step it lies before the start of the clock, so that a recovery that another planner had begun
  /// goes on at once.
  Duration lastRecoveryStep_{-1};
};

}  // namespace rainhook::failover
