#include "membership/join.h"

#include <algorithm>

namespace rainhook::membership {

Incarnation IncarnationReservation::raise(Incarnation current, Incarnation wanted) {
  required_ = std::max(required_, wanted);
  return std::max(current, std::min(wanted, reserved_));
}

void IncarnationReservation::reserveUpTo(Incarnation incarnation) {
  reserved_ = std::max(reserved_, incarnation);
}

JoinProtocol::JoinProtocol(const std::vector<Address>& seeds, const std::vector<KnownMember>& known)
    : seedCount_(seeds.size()) {
  for (const auto& address : seeds) contacts_.push_back({MemberName{}, address});
  contacts_.insert(contacts_.end(), known.begin(), known.end());
}

bool JoinProtocol::hasAskedAll() const {
  const std::size_t knownCount = contacts_.size() - seedCount_;
  return contactsAsked_ >= seedRounds * seedCount_ + knownCount;
}

const KnownMember& JoinProtocol::nextContact() {
  const std::size_t turn = contactsAsked_;
  ++contactsAsked_;
  const std::size_t seedTurns = seedRounds * seedCount_;
  if (turn < seedTurns) return contacts_[turn % seedCount_];
  return contacts_[(turn - seedTurns + seedCount_) % contacts_.size()];
}

}  // namespace rainhook::membership
