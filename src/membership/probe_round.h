/// @file
/// The order in which members are probed.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/member_table.h"
#include "membership/random_source.h"

namespace rainhook::membership {

/// SWIM's round-robin over a shuffled list (section 4.3): each present member is probed once in a round, so
/// that the time until a dead one is probed is bounded by the size of the fleet.
class ProbeRound {
 public:
  /// The next member to probe, from a new round where this one is over; null where there is nobody.
  [[nodiscard]] const Member* next(const MemberTable& members, RandomSource& random);
  /// Adds a new member at a random place in what is left of the round.
  void insert(const MemberName& name, RandomSource& random);
  /// Adds a member at the end, unless it is still to come.
  void append(const MemberName& name);
  /// Whether the round lists no member at all, neither probed nor still to come.
  [[nodiscard]] bool isEmpty() const { return order_.empty(); }
  /// Any name of the round; it may have been removed from the members since. The round is not empty.
  [[nodiscard]] const MemberName& any(RandomSource& random) const {
    return order_[random.below(order_.size())];
  }

 private:
  void shuffle(const MemberTable& members, RandomSource& random);

  std::vector<MemberName> order_;
  std::size_t position_ = 0;
};

}  // namespace rainhook::membership
