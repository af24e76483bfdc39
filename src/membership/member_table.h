/// @file
/// The table of the other members that one member knows.
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

/// Numbers of members in the fleet, including this one.
struct FleetCount {
  std::size_t present = 1;  ///< members that are alive, suspect, or were declared dead within the window
  std::size_t alive = 1;    ///< members that are alive and not suspect
};

/// All members except this one, including tombstones of dead and left members. The caller bounds the table:
/// it checks size() before add().
class MemberTable {
 public:
  /// The other members by name.
  using Members = std::map<MemberName, Member>;
  /// Dead and left members, ordered by the time at which they got that state.
  using Tombstones = std::set<std::pair<Duration, MemberName>>;

  /// Returns all other members, including dead and left ones.
  [[nodiscard]] const Members& all() const { return members_; }
  /// Returns all other members for modification.
  [[nodiscard]] Members& all() { return members_; }
  /// Returns null if the name is unknown.
  [[nodiscard]] Member* find(const MemberName& name);
  /// Returns null if the name is unknown.
  [[nodiscard]] const Member* find(const MemberName& name) const;
  /// Returns the member with this name, which must be known.
  [[nodiscard]] Member& at(const MemberName& name) { return members_.at(name); }
  /// Returns the member with this name, which must be known.
  [[nodiscard]] const Member& at(const MemberName& name) const { return members_.at(name); }
  /// Returns the number of other members, including dead and left ones.
  [[nodiscard]] std::size_t size() const { return members_.size(); }
  /// Returns the number of members admitted so far, including this one. It does not decrease when members die
  /// or leave.
  [[nodiscard]] std::size_t admittedCount() const { return admittedCount_; }

  /// Counts the fleet. Members that were declared dead less than `window` ago count as present.
  [[nodiscard]] FleetCount count(Duration now, Duration window) const;

  /// Draws at random at most `limit` members that are alive and answer this one. If no member answers, draws
  /// from those that do not, since they may still receive messages.
  [[nodiscard]] std::vector<MemberName> sampleAlive(std::size_t limit, const MemberName& except,
                                                    RandomSource& random) const;

  /// Adds a member in the state `alive`.
  Member& add(const MemberRecord& record, Duration now);
  /// Changes the state of a member. The caller ends its suspicion.
  void setState(Member& member, MemberState state, Duration now);
  /// Returns the dead and left members, the earliest first.
  [[nodiscard]] const Tombstones& tombstones() const { return tombstones_; }
  /// Removes and returns the next member that has been dead or left for at least `retention`.
  std::optional<MemberName> removeExpired(Duration now, Duration retention);

  /// Returns the members that are alive but do not answer this one.
  [[nodiscard]] const std::set<MemberName>& unreachable() const { return unreachable_; }
  /// Marks a member that is alive as not answering this one.
  void markUnreachable(const MemberName& name) { unreachable_.insert(name); }
  /// Clears the mark; returns whether the member was marked as unreachable.
  bool markReachable(const MemberName& name) { return unreachable_.erase(name) > 0; }

 private:
  Members members_;
  Tombstones tombstones_;
  std::set<MemberName> unreachable_;
  std::size_t admittedCount_ = 1;
};

}  // namespace rainhook::membership
