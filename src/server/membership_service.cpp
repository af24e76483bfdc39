#include "server/membership_service.h"

#include <algorithm>

namespace rainhook::server {

using namespace std::chrono_literals;

namespace {

// Ten looks in a second at most; in one second, what is new in a digest need not go out more often.
membership::Span lookEvery(const membership::MembersPlace& place) {
  return std::clamp<membership::Span>(place.probeEvery, 100ms, 1s);
}
constexpr int leasePeriods = 30, calmPeriods = 5;

}  // namespace

std::string astray(const membership::MembersPlace& place, const membership::Card& other) {
  return fmt::format("{}: zone {} stands in region {}, as {} says", place.regionAt, place.zone.text,
                     other.region.text, other.name.text);
}

MembershipService::MembershipService(net::Reactor& reactor, logging::Log& log,
                                     const membership::MembersPlace& place, RequestServer& server,
                                     int servers, std::uint64_t chance)
    : reactor_(reactor),
      log_(log),
      server_(server),
      every_(lookEvery(place)),
      lease_(place.probeEvery * leasePeriods),
      place_(place),
      kept_(reactor, log, place),
      members_(reactor, pool_, log, place, kept_.open(), chance,
               [this](const membership::Change& change) {
                 if (change.what == membership::Change::What::astray) {
                   log_.message(logging::LogCategory::membership, "{}: this one leaves",
                                astray(place_, change.who));
                   return server_.shutDownGracefully();
                 }
                 // Two under one name would each take a share for one: the second leaves, in good order.
                 if (change.what != membership::Change::What::refused) return;
                 log_.message(logging::LogCategory::membership,
                              "the name {} is held by the living instance at {}: this one leaves",
                              change.who.name.text, change.who.address.text);
                 server_.shutDownGracefully();
               }),
      share_({servers, lease_, place.probeEvery * calmPeriods}) {}

MembershipService::~MembershipService() {
  reactor_.releaseRetired();
}  // its connections hold buffers of our pool

void MembershipService::open() {
  members_.open();
  kept_.follow(members_);
  look();
}

void MembershipService::leave() {
  look();
  members_.leave();
}

void MembershipService::look() {
  next_ = reactor_.after(every_, [this] { look(); });
  const membership::Span now = net::Reactor::Clock::now().time_since_epoch();
  const auto figures = server_.status();
  const double secs =
      lookedAt_ ? std::max(std::chrono::duration<double>(now - *lookedAt_).count(), 0.001) : 1;
  lookedAt_ = now;
  using membership::Phase;
  membership::Digest digest;
  digest.phase = figures.isShuttingDown        ? Phase::draining
                 : !figures.isEngineResponsive ? Phase::unfit
                 : figures.warmUpProgress < 1  ? Phase::cold
                                               : Phase::serving;
  digest.warmth = figures.warmUpProgress, digest.limit = figures.concurrencyLimit;
  digest.running = static_cast<double>(figures.executing);
  digest.read = static_cast<double>(figures.requestsRead - before_.requestsRead) / secs;
  digest.done = static_cast<double>(figures.requestsCompleted - before_.requestsCompleted) / secs;
  heldBack_ += 0.2 * ((figures.queued > 0 ? 1.0 : 0.0) - heldBack_);
  digest.heldBack = heldBack_;
  before_ = figures;
  digest.fleet = static_cast<double>(share_.fleet());
  members_.say(digest);
  const auto seen = membership::fleetSeen(members_.core(), now, lease_);
  const double share = members_.core().refused() ? 0 : share_.look(now, seen);
  if (said_ == share) return;
  said_ = share;
  log_.event(logging::LogCategory::membership, "share",
             {{"share", share},
              {"counted", static_cast<std::int64_t>(share_.counted())},
              {"doubtful", seen.doubtful}});
  server_.setDownstreamQuota(share);
}

}  // namespace rainhook::server
