/// @file
/// The order in which members are probed.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/member_table.h"
#include "membership/random_source.h"

namespace rainhook::membership {

/// SWIM's round-robin over a shuffled list (section 4.3). A round probes each present member once, so that
/// the fleet size bounds the time until a dead member is probed.
class ProbeRound {
 public:
  /// Returns the next member to probe and starts a new round after the last one; null if no member is
  /// present.
  [[nodiscard]] const Member* next(const MemberTable& members, RandomSource& random);
  /// Inserts a new member at a random position in the remainder of the round.
  void insert(const MemberName& name, RandomSource& random);
  /// Appends a member to the round, unless the remainder of the round contains it.
  void append(const MemberName& name);
  /// Returns whether the round contains no members, including those already probed.
  [[nodiscard]] bool isEmpty() const { return order_.empty(); }
  /// Returns a random name from the round, which must not be empty. The member may have been removed from the
  /// table since.
  [[nodiscard]] const MemberName& randomName(RandomSource& random) const {
    return order_[random.below(order_.size())];
  }

 private:
  void shuffle(const MemberTable& members, RandomSource& random);

  std::vector<MemberName> order_;
  std::size_t position_ = 0;
};

}  // namespace rainhook::membership
