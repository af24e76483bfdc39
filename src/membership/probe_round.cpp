#include "membership/probe_round.h"

#include <algorithm>
#include <utility>

namespace rainhook::membership {

const Member* ProbeRound::next(const MemberTable& members, RandomSource& random) {
  bool isNewRound = false;
  for (;;) {
    if (position_ >= order_.size()) {
      if (isNewRound) return nullptr;
      isNewRound = true;
      shuffle(members, random);
      if (order_.empty()) return nullptr;
    }
    const Member* const member = members.find(order_[position_]);
    ++position_;
    if (member && member->isPresent()) return member;
  }
}

void ProbeRound::shuffle(const MemberTable& members, RandomSource& random) {
  order_.clear();
  position_ = 0;
  for (const auto& [name, member] : members.all())
    if (member.isPresent()) order_.push_back(name);
  for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[random.below(i)]);
}

void ProbeRound::insert(const MemberName& name, RandomSource& random) {
  const std::size_t place = position_ + random.below(order_.size() - position_ + 1);
  order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(place), name);
}

void ProbeRound::append(const MemberName& name) {
  const auto rest = order_.begin() + static_cast<std::ptrdiff_t>(position_);
  if (std::find(rest, order_.end(), name) == order_.end()) order_.push_back(name);
}

}  // namespace rainhook::membership
