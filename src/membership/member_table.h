/// @file
/// What one member knows about each of the others.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "membership/member.h"
#include "membership/random_source.h"
#include "membership/types.h"

namespace rainhook::membership {

/// How many members the fleet has, this one with them.
struct FleetCount {
  std::size_t present = 1;  ///< alive, suspect, or declared dead within the window
  std::size_t alive = 1;    ///< alive, neither suspect nor dead
};

/// All members but the own one, with the tombstones of the dead and the left. Bounded by its user, who asks
/// for size() before add().
class MemberTable {
 public:
  /// The other members by name.
  using Members = std::map<MemberName, Member>;
  using Tombstones = std::set<std::pair<Duration, MemberName>>;  ///< by the moment of the state

  /// All other members, the gone among them.
  [[nodiscard]] const Members& all() const { return members_; }
  /// All other members, to be changed.
  [[nodiscard]] Members& all() { return members_; }
  /// Null where the name is not known.
  [[nodiscard]] Member* find(const MemberName& name);
  /// Null where the name is not known.
  [[nodiscard]] const Member* find(const MemberName& name) const;
  /// The member of that name, which is known.
  [[nodiscard]] Member& at(const MemberName& name) { return members_.at(name); }
  /// The member of that name, which is known.
  [[nodiscard]] const Member& at(const MemberName& name) const { return members_.at(name); }
  /// Other members, the gone among them.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  /// Members admitted so far, the own one with them. Does not shrink when members go.
  [[nodiscard]] std::size_t admittedCount() const { return admittedCount_; }

  /// Counts the fleet; those declared dead less than `window` ago count as present.
  [[nodiscard]] FleetCount count(Duration now, Duration window) const;

  /// Some members that are alive, drawn at random, at most `limit`: those that answer this one; where there
  /// is none, those that do not, since they may still receive.
  [[nodiscard]] std::vector<MemberName> sampleAlive(std::size_t limit, const MemberName& except,
                                                    RandomSource& random) const;

  /// Adds a member that is alive.
  Member& add(const MemberRecord& record, Duration now);
  /// Moves a member to another state; its suspicion is to be ended by the caller.
  void setState(Member& member, MemberState state, Duration now);
  /// The dead and the left, those that went first in front.
  [[nodiscard]] const Tombstones& tombstones() const { return tombstones_; }
  /// Removes and returns the next member that is gone for `retention`.
  std::optional<MemberName> removeExpired(Duration now, Duration retention);

  /// Members that are alive but do not answer this one.
  [[nodiscard]] const std::set<MemberName>& unreachable() const { return unreachable_; }
  /// Takes a member that is alive for one that does not answer this one.
  void markUnreachable(const MemberName& name) { unreachable_.insert(name); }
  /// Whether it was unreachable.
  bool markReachable(const MemberName& name) { return unreachable_.erase(name) > 0; }

 private:
  Members members_;
  Tombstones tombstones_;
  std::set<MemberName> unreachable_;
  std::size_t admittedCount_ = 1;
};

}  // namespace rainhook::membership
