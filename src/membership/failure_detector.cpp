#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace rainhook::membership {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxProbes = 128;  // applies to direct and to indirect probes separately
constexpr int maxLocalHealthMultiplier = 8;
constexpr Duration minPause = 100ms;
constexpr Duration minTimerWait = 1ms;
constexpr int graceProbeIntervals = 2;

}  // namespace

void FailureDetector::open(Duration now, RandomSource& random) {
  constexpr int steps = 1000;
  const auto step = static_cast<Duration::rep>(random.below(steps));
  nextProbeAt_ = now + Duration(step * settings_.probeInterval.count() / steps);
  lastReceived_ = now;
}

bool FailureDetector::isIsolated(Duration now, std::size_t admittedMembers) const {
  return admittedMembers > 1 && now - lastReceived_ > settings_.probeInterval * settings_.isolationPeriods;
}

std::optional<Duration> FailureDetector::detectPause(Duration now) const {
  const Duration late = now - nextDeadline_;
  if (!settings_.detectPauses || nextDeadline_ == Duration{}) return std::nullopt;
  if (late < std::max<Duration>(settings_.probeInterval / 2, minPause)) return std::nullopt;
  return late;
}

void FailureDetector::onPause(Duration now, Duration pause) {
  adjustLocalHealth(pause > settings_.probeInterval ? 2 : 1);
  for (auto& [nonce, probe] : probes_) {
    probe.askHelpersAt += pause;
    probe.deadline += pause;
  }
  for (auto& [nonce, probe] : indirectProbes_) probe.deadline += pause;
  lastReceived_ += pause;
  gracePeriodEnd_ = now + graceProbeIntervals * settings_.probeInterval;
  nextProbeAt_ = std::max(nextProbeAt_, now);
  nextDeadline_ = now;
}

void FailureDetector::adjustLocalHealth(int by) {
  if (!settings_.useLocalHealth) return;
  localHealthMultiplier_ = std::clamp(localHealthMultiplier_ + by, 0, maxLocalHealthMultiplier);
}

std::optional<Nonce> FailureDetector::beginProbe(Duration now, const MemberRecord& target,
                                                 ProbePurpose purpose, RandomSource& random) {
  if (probes_.size() >= maxProbes) return std::nullopt;
  const Nonce nonce = random.nonce();
  const Duration interval = scaleByLocalHealth(settings_.probeInterval);
  Probe probe{.target = target, .purpose = purpose, .started = now};
  probe.askHelpersAt = now + interval * 2 / 5;
  probe.deadline = now + interval;
  probes_.emplace(nonce, std::move(probe));
  return nonce;
}

Probe* FailureDetector::findProbe(Nonce nonce) {
  const auto it = probes_.find(nonce);
  return it == probes_.end() ? nullptr : &it->second;
}

std::vector<Probe> FailureDetector::takeExpiredProbes(Duration now) {
  std::vector<Probe> out;
  std::erase_if(probes_, [&](auto& entry) {
    if (now < entry.second.deadline) return false;
    out.push_back(std::move(entry.second));
    return true;
  });
  return out;
}

std::vector<Nonce> FailureDetector::probesToAskHelpersFor(Duration now) const {
  std::vector<Nonce> out;
  for (const auto& [nonce, probe] : probes_)
    if (now >= probe.askHelpersAt && probe.mayAskHelpers()) out.push_back(nonce);
  return out;
}

bool FailureDetector::hasRoomForIndirectProbe() const { return indirectProbes_.size() < maxProbes; }

std::optional<Nonce> FailureDetector::beginIndirectProbe(Duration now, const MemberName& requester,
                                                         Nonce requesterNonce, RandomSource& random) {
  if (!hasRoomForIndirectProbe()) return std::nullopt;
  const Nonce nonce = random.nonce();
  const Duration deadline = now + settings_.probeInterval / 2;
  indirectProbes_.emplace(nonce, IndirectProbe{requester, requesterNonce, deadline});
  nextDeadline_ = std::min(nextDeadline_, deadline);
  return nonce;
}

std::optional<IndirectProbe> FailureDetector::takeIndirectProbe(Nonce nonce) {
  const auto it = indirectProbes_.find(nonce);
  if (it == indirectProbes_.end()) return std::nullopt;
  auto out = std::move(it->second);
  indirectProbes_.erase(it);
  return out;
}

std::vector<IndirectProbe> FailureDetector::takeExpiredIndirectProbes(Duration now) {
  std::vector<IndirectProbe> out;
  std::erase_if(indirectProbes_, [&](auto& entry) {
    if (now < entry.second.deadline) return false;
    out.push_back(std::move(entry.second));
    return true;
  });
  return out;
}

void FailureDetector::updateNextDeadline(Duration now, bool isProbing) {
  nextDeadline_ = now + settings_.probeInterval / 4;
  for (const auto& [nonce, probe] : probes_) {
    const Duration due =
        probe.mayAskHelpers() ? std::min(probe.askHelpersAt, probe.deadline) : probe.deadline;
    nextDeadline_ = std::min(nextDeadline_, due);
  }
  for (const auto& [nonce, probe] : indirectProbes_) nextDeadline_ = std::min(nextDeadline_, probe.deadline);
  if (isProbing) nextDeadline_ = std::min(nextDeadline_, nextProbeAt_);
  nextDeadline_ = std::max(nextDeadline_, now + minTimerWait);
}

}  // namespace rainhook::membership
