#include "server/membership_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace rainhook::server {

using membership::Duration;
using membership::MembershipEvent;
using membership::MembershipSettings;
using membership::MemberStatus;
using membership::Phase;
using namespace std::chrono_literals;

namespace {

constexpr int leasePeriods = 30;
constexpr int stabilizationPeriods = 5;
constexpr double queueingSmoothing = 0.2;  // weight of the latest sample

Duration updateIntervalOf(const MembershipSettings& settings) {
  return std::clamp<Duration>(settings.probeInterval, 100ms, 1s);
}

Phase phaseOf(const ServerStatus& status) {
  if (status.isShuttingDown) return Phase::draining;
  if (!status.isEngineResponsive) return Phase::unhealthy;
  return status.warmUpProgress < 1 ? Phase::warmingUp : Phase::serving;
}

}  // namespace

std::string describeRegionMismatch(const MembershipSettings& settings,
                                   const membership::MemberRecord& other) {
  return fmt::format("{}: zone {} is configured with region {}, but member {} reports region {}",
                     settings.regionSource, settings.zone.text, settings.region.text, other.name.text,
                     other.region.text);
}

MembershipService::MembershipService(net::Reactor& reactor, logging::Log& log,
                                     const MembershipSettings& settings, RequestServer& server, int servers,
                                     std::uint64_t processId)
    : reactor_(reactor),
      log_(log),
      server_(server),
      settings_(settings),
      updateInterval_(updateIntervalOf(settings)),
      lease_(settings.probeInterval * leasePeriods),
      incarnations_(reactor, log, settings),
      transport_(reactor, pool_, log, settings, incarnations_.open(), processId,
                 [this](const MembershipEvent& event) { onEvent(event); }),
      quota_({servers, lease_, settings.probeInterval * stabilizationPeriods}) {}

MembershipService::~MembershipService() {
  reactor_.releaseRetired();  // the retired connections hold buffers of pool_
}

void MembershipService::open() {
  transport_.open();
  incarnations_.startPersisting(transport_);
  update();
}

void MembershipService::leave() {
  update();
  transport_.leave();
}

/// Shuts the server down if it cannot be a member. Two instances with one name would each use the quota of
/// one member, and sums over a zone in two regions would be wrong.
void MembershipService::onEvent(const MembershipEvent& event) {
  if (event.type == MembershipEvent::Type::regionMismatch) {
    log_.message(logging::LogCategory::membership, "{}; this instance shuts down",
                 describeRegionMismatch(settings_, event.member));
    server_.shutDownGracefully();
  } else if (event.type == MembershipEvent::Type::nameRejected) {
    log_.message(logging::LogCategory::membership,
                 "the name {} is held by the living instance at {}; this instance shuts down",
                 event.member.name.text, event.member.address.text);
    server_.shutDownGracefully();
  }
}

void MembershipService::update() {
  timer_ = reactor_.after(updateInterval_, [this] { update(); });
  const Duration now = net::Reactor::Clock::now().time_since_epoch();
  transport_.publishStatus(sampleStatus(now));
  applyQuota(now);
}

MemberStatus MembershipService::sampleStatus(Duration now) {
  constexpr double minSeconds = 0.001;
  const ServerStatus status = server_.status();
  const double seconds =
      lastSampleAt_ ? std::max(std::chrono::duration<double>(now - *lastSampleAt_).count(), minSeconds) : 1;
  lastSampleAt_ = now;
  const double queueingSample = status.queued > 0 ? 1.0 : 0.0;
  queueingRatio_ += queueingSmoothing * (queueingSample - queueingRatio_);
  MemberStatus out;
  out.phase = phaseOf(status);
  out.warmUpProgress = status.warmUpProgress;
  out.concurrencyLimit = status.concurrencyLimit;
  out.running = static_cast<double>(status.executing);
  out.receivedPerSecond = static_cast<double>(status.requestsRead - lastStatus_.requestsRead) / seconds;
  out.completedPerSecond =
      static_cast<double>(status.requestsCompleted - lastStatus_.requestsCompleted) / seconds;
  out.queueingRatio = queueingRatio_;
  out.advertisedFleetSize = static_cast<double>(quota_.fleetSize());
  lastStatus_ = status;
  return out;
}

void MembershipService::applyQuota(Duration now) {
  const auto& membership = transport_.membership();
  const auto view = membership::observeFleet(membership, now, lease_);
  const double share = membership.isRejected() ? 0 : quota_.update(now, view);
  if (appliedShare_ == share) return;
  appliedShare_ = share;
  log_.event(logging::LogCategory::membership, "dependency-quota",
             {{"quota", share},
              {"holders", static_cast<std::int64_t>(quota_.quotaHolders())},
              {"view_uncertain", view.isUncertain}});
  server_.setDownstreamQuota(share);
}

}  // namespace rainhook::server
