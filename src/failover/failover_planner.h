// The plan of a fleet of zones: which zone does its own work, and what share of whose traffic goes where.
// Pure: figures, orders, the plan before and the time go in, the next plan comes out; no I/O, clock, threads
// or chance.
//
// Near first: nothing crosses while the own zone is safe. What must move goes where there is measured room,
// by a flow of least cost (successive shortest ways, Edmonds and Karp 1972, by Boost.Graph); where there is
// no room, it stays near and is shed there. Regional evacuation and capacity-aware spill as published: see
// docs/failover.md.
//
// Invariants: what all origins together hand to a zone, those grants counted that may still be in use from
// earlier plans, is within its room less the margin that grows with the age of its figures; a zone that is
// out or leaving gets nothing; an origin's shares sum to 1. Bounds: as many zones as are stated.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace rainhook::failover {

using membership::RegionName;
using membership::Span;
using membership::ZoneName;

enum class PlanVersion : std::uint64_t {};  // goes up by one with each plan that is agreed

enum class ZoneState : std::uint8_t { inService, strained, leaving, out, filling };
const char* nameOf(ZoneState state);

// As stated in the settings.
struct PlanTerms {
  std::map<ZoneName, RegionName> zones;
  std::map<std::pair<ZoneName, ZoneName>, double> costs;  // either way; absent: inRegion or beyond
  double inRegion = 1, beyond = 10;
  double margin = 0.05, marginASecond = 0.02;  // of a room that is kept free, and more for each second of age
  Span useless = std::chrono::seconds(10);     // older figures tell of no room
  Span look = std::chrono::seconds(5);         // between two steps of one zone
  double step = 0.2;                           // of a zone's traffic, at most, in one step
  bool operator==(const PlanTerms&) const = default;
};

// What a zone does, added up from its members' digests. Rates are a second.
struct ZoneFigures {
  std::size_t members = 0;  // that live
  bool silent = false;
  double read = 0, done = 0, running = 0, limit = 0;
  double heldBack = 0;  // share of the time in which reqs wait held, 0 to 1
  Span age{};           // of the oldest part
};

// What operators have ordered; kept until taken back.
struct Orders {
  std::set<ZoneName> drained;
  bool held = false;  // the plan stays as it is
  bool operator==(const Orders&) const = default;
};

struct ZonePlan {
  ZoneState state = ZoneState::inService;
  double fill = 1;            // of what it could do, while it fills
  double proven = 0;          // reqs a second that it was seen to do
  std::uint32_t returns = 0;  // how often it failed of late: each doubles the wait before the next try
  std::string why;
  bool operator==(const ZonePlan&) const = default;
};

using Shares = std::map<ZoneName, std::map<ZoneName, double>>;  // by origin and target; the rest stays near

struct Plan {
  PlanVersion version{};
  std::map<ZoneName, ZonePlan> zones;
  Shares shares;
  bool operator==(const Plan&) const = default;
  double share(const ZoneName& origin, const ZoneName& target) const;
};

struct Seen {
  std::map<ZoneName, ZoneFigures> zones;
  std::set<std::pair<ZoneName, ZoneName>> cut;  // the first does not reach the second
};

class Planner {
 public:
  explicit Planner(PlanTerms terms) : terms_(std::move(terms)) {}
  // The plan that follows; equal to `before`, version too, where nothing is to change. `inUse`: older plans
  // that some instance may still follow.
  Plan next(Span now, const Seen& seen, const Orders& orders, const Plan& before,
            const std::vector<Plan>& inUse);
  const PlanTerms& terms() const { return terms_; }

 private:
  // What only this planner has seen; whoever takes over waits anew. One for each stated zone.
  struct Watch {
    Span since{-1};  // in this state
    Span steppedAt{-1};
    Span worseSince{-1}, wellSince{-1};  // against the others
    Span failedAt{-1};
  };
  struct Load {
    double near = 0;      // what its own callers send a second
    double given = 0;     // what others hand to it by the plan before
    double capacity = 0;  // what it can do, by what it was seen to do
    bool saturated = false;
  };

  std::map<ZoneName, Load> loads(const Seen& seen, const Plan& before) const;
  void judge(Span now, const ZoneName& zone, const Seen& seen, const Load& load, bool gray,
             const Orders& orders, const ZonePlan& before, ZonePlan& out);
  std::set<ZoneName> grayOf(Span now, const Seen& seen);
  double room(const ZoneName& zone, const Seen& seen, const Load& load, const Plan& next) const;
  Shares flow(const Seen& seen, const std::map<ZoneName, Load>& loads, const Plan& next,
              const std::vector<Plan>& inUse) const;
  double cost(const ZoneName& from, const ZoneName& to) const;
  double marginAt(Span age) const;
  Span wait(std::uint32_t returns) const;

  PlanTerms terms_;
  std::map<ZoneName, Watch> watches_;
};

}  // namespace rainhook::failover
