// The external names of states, phases and events in logs; `--json` uses those of states and phases too.
#include "membership/effects.h"
#include "membership/types.h"

namespace rainhook::membership {

const char* nameOf(MemberState state) {
  switch (state) {
    case MemberState::alive:
      return "alive";
    case MemberState::suspect:
      return "suspect";
    case MemberState::dead:
      return "dead";
    case MemberState::left:
      return "left";
  }
  return "";
}

const char* nameOf(Phase phase) {
  switch (phase) {
    case Phase::observer:
      return "observer";
    case Phase::warmingUp:
      return "cold";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::unhealthy:
      return "unfit";
  }
  return "";
}

const char* nameOf(MembershipEvent::Type type) {
  using Type = MembershipEvent::Type;
  switch (type) {
    case Type::joined:
      return "joined";
    case Type::nameRejected:
      return "name-rejected";
    case Type::regionMismatch:
      return "region-mismatch";
    case Type::stateChanged:
      return "state-changed";
    case Type::unreachable:
      return "unreachable";
    case Type::reachable:
      return "reachable";
    case Type::refuted:
      return "refuted";
    case Type::pauseDetected:
      return "pause-detected";
    case Type::viewUncertain:
      return "view-uncertain";
    case Type::viewCertain:
      return "view-certain";
    case Type::zoneUnreachable:
      return "zone-unreachable";
    case Type::zoneReachable:
      return "zone-reachable";
    case Type::addressChanged:
      return "address-changed";
    case Type::nameConflict:
      return "name-conflict";
  }
  return "";
}

}  // namespace rainhook::membership
