#include "membership/explain.h"

#include <algorithm>
#include <chrono>

namespace rainhook::membership {
namespace {

std::string inMilliseconds(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + " ms";
}

std::string ago(Duration now, Duration at) {
  return at < Duration{} ? "never" : inMilliseconds(now - at) + " ago";
}

std::string textOf(Incarnation incarnation) {
  return std::to_string(static_cast<std::uint64_t>(incarnation));
}

template <typename Reporters>
std::string listOf(const Reporters& reporters) {
  std::string out;
  for (const auto& reporter : reporters) {
    if (!out.empty()) out += ", ";
    out += reporter.name.text + " (" + reporter.zone.text + ")";
  }
  return out.empty() ? "no member" : out;
}

void explainSuspicion(const Suspicion& suspicion, Duration now, std::vector<std::string>& lines) {
  lines.push_back("suspected by " + listOf(suspicion.accusers));
  if (suspicion.lastReceivedByAny >= Duration{})
    lines.push_back("the latest message from it to any member was received " +
                    ago(now, suspicion.lastReceivedByAny));
  std::string declaration =
      "may be declared dead in " + inMilliseconds(suspicion.deadline - now) + " at the earliest";
  if (suspicion.postponedBecause != PostponeReason::none)
    declaration += std::string(", postponed: ") + describe(suspicion.postponedBecause);
  lines.push_back(std::move(declaration));
}

void explainReachability(const Membership& membership, const Member& member,
                         std::vector<std::string>& lines) {
  std::string names;
  for (const auto& other : member.cannotReach) names += (names.empty() ? "" : ", ") + other.text;
  if (!names.empty()) lines.push_back("it receives no answer from " + names);
  for (const auto& [other, seen] : membership.members())
    if (std::find(seen.cannotReach.begin(), seen.cannotReach.end(), member.record.name) !=
        seen.cannotReach.end())
      lines.push_back(other.text + " receives no answer from it");
}

}  // namespace

std::vector<std::string> explainMember(const Membership& membership, const MemberName& name, Duration now) {
  if (name == membership.self().name)
    return {"this is the queried instance itself; incarnation " + textOf(membership.self().incarnation)};
  const auto it = membership.members().find(name);
  if (it == membership.members().end()) return {};
  const Member& member = it->second;
  std::vector<std::string> lines;
  lines.push_back(std::string(nameOf(member.state)) + " for " + inMilliseconds(now - member.stateSince) +
                  ", incarnation " + textOf(member.record.incarnation));
  lines.push_back("last direct message from it " + ago(now, member.lastReceived) +
                  ", last evidence that it is alive " + ago(now, member.lastEvidence));
  lines.push_back(std::to_string(member.missedProbes) + " probes in a row without a direct answer");
  if (member.suspicion) explainSuspicion(*member.suspicion, now, lines);
  if (member.state == MemberState::dead)
    lines.push_back("declared dead on reports by " + listOf(member.deathReporters));
  if (const auto since = membership.zones().unreachableSince(member.record.zone))
    lines.push_back("its whole zone has been unreachable for " + inMilliseconds(now - *since));
  explainReachability(membership, member, lines);
  return lines;
}

}  // namespace rainhook::membership
