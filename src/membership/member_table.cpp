#include "membership/member_table.h"

#include <utility>

namespace rainhook::membership {

Member* MemberTable::find(const MemberName& name) {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* MemberTable::find(const MemberName& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

FleetCount MemberTable::count(Duration now, Duration window) const {
  FleetCount out;
  for (const auto& [name, member] : members_) {
    const bool isRecentlyDead = member.state == MemberState::dead && now - member.stateSince < window;
    if (member.isPresent() || isRecentlyDead) ++out.present;
    if (member.state == MemberState::alive) ++out.alive;
  }
  return out;
}

std::vector<MemberName> MemberTable::sampleAlive(std::size_t limit, const MemberName& except,
                                                 RandomSource& random) const {
  std::vector<MemberName> out;
  for (const bool isReachable : {true, false}) {
    if (!out.empty()) break;
    for (const auto& [name, member] : members_)
      if (member.state == MemberState::alive && member.isReachable() == isReachable && name != except)
        out.push_back(name);
  }
  for (std::size_t i = 0; i < out.size() && i < limit; ++i)
    std::swap(out[i], out[i + random.below(out.size() - i)]);
  if (out.size() > limit) out.resize(limit);
  return out;
}

Member& MemberTable::add(const MemberRecord& record, Duration now) {
  Member& member = members_.emplace(record.name, Member{}).first->second;
  member.record = record;
  member.stateSince = now;
  ++admittedCount_;
  return member;
}

void MemberTable::setState(Member& member, MemberState state, Duration now) {
  if (member.isDeadOrLeft()) tombstones_.erase({member.stateSince, member.record.name});
  member.state = state;
  member.stateSince = now;
  if (member.isDeadOrLeft()) tombstones_.insert({now, member.record.name});
}

std::optional<MemberName> MemberTable::removeExpired(Duration now, Duration retention) {
  if (tombstones_.empty() || now - tombstones_.begin()->first < retention) return std::nullopt;
  const MemberName name = tombstones_.begin()->second;
  members_.erase(name);
  tombstones_.erase(tombstones_.begin());
  return name;
}

}  // namespace rainhook::membership
