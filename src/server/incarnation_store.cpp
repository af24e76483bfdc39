#include "server/incarnation_store.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <random>
#include <sstream>

#include "membership_transport/address.h"
#include "store/posix_disk.h"

namespace rainhook::server {

using membership::Incarnation;
using namespace std::chrono_literals;

namespace {

/// Incarnations that are reserved by one write.
constexpr std::uint64_t reservationStep = 1024;
/// Probe intervals between two writes of the known members.
constexpr int knownMembersInterval = 10;
constexpr std::chrono::nanoseconds minUpdateInterval = 1s;

/// The store's keys are one of these, a slash and the member's name.
constexpr const char* incarnationKey = "incarnation";
constexpr const char* knownMembersKey = "known";

/// The events of the log.
constexpr const char* restoredEvent = "state-restored";
constexpr const char* unavailableEvent = "state-unavailable";
constexpr const char* recoveredEvent = "state-recovered";

constexpr store::StoreSettings stateSettings{.maxDiskBytes = 1 << 20,
                                             .maxIndexBytes = 64 << 10,
                                             .maxQueueBytes = 64 << 10,
                                             .maxSegmentBytes = 64 << 10,
                                             .maxKeyBytes = 256,
                                             .maxValueBytes = 8 << 10,
                                             .maxOpenFiles = 4};

store::UnixTime systemTime() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// Nothing where this is no number, or too high to reserve beyond it.
std::optional<std::uint64_t> parseIncarnation(const std::string& text) {
  constexpr std::uint64_t maxIncarnation = ~std::uint64_t{0} - 2 * reservationStep;
  std::uint64_t out = 0;
  const char* textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, out);
  if (error != std::errc{} || end != textEnd || out > maxIncarnation) return std::nullopt;
  return out;
}

}  // namespace

IncarnationStore::IncarnationStore(net::Reactor& reactor, logging::Log& log,
                                   const membership::MembershipSettings& place)
    : reactor_(reactor), log_(log), place_(place) {}

IncarnationStore::~IncarnationStore() {
  updateTimer_.cancel();
  if (store_) store_->close();
}

std::string IncarnationStore::storeKey(const char* prefix) const {
  return std::string(prefix) + "/" + place_.name.text;
}

void IncarnationStore::logEvent(const char* event, const std::string& reason) {
  log_.event(logging::LogCategory::membership, event, {{"about", place_.name.text}, {"why", reason}});
}

membership::PersistedIdentity IncarnationStore::open() {
  membership::PersistedIdentity out;
  if (place_.stateFolder.empty() || !openStore()) return out;
  const std::uint64_t reservedBefore = readReservedIncarnation();
  out.firstIncarnation = Incarnation{reservedBefore + 1};
  out.knownMembers = readKnownMembers();
  reserveUpTo(reservedBefore + reservationStep);
  store_->waitUntilIdle();
  if (!hasFailed_) out.reservedIncarnation = Incarnation{reservedIncarnation_};
  logEvent(restoredEvent, "from " + std::to_string(reservedBefore + 1) + ", " +
                              std::to_string(out.knownMembers.size()) + " known from earlier");
  return out;
}

/// False where the folder can't be used. Throws StateLockedError.
bool IncarnationStore::openStore() {
  store_ = std::make_unique<store::Store>(
      std::make_unique<store::PosixDisk>(place_.stateFolder), stateSettings, systemTime,
      [this](const std::string& line) { log_.message(logging::LogCategory::start, "state: {}", line); });
  const auto status = store_->open(std::random_device{}());
  if (status.code == store::StoreErrorCode::locked)
    throw StateLockedError(place_.stateFolder + ": " + status.message);
  if (status.isOk()) return true;
  logEvent(unavailableEvent, status.message);
  store_.reset();
  return false;
}

/// The highest incarnation that earlier processes reserved; 0 where none is known.
std::uint64_t IncarnationStore::readReservedIncarnation() {
  const auto stored = store_->get(storeKey(incarnationKey));
  const auto reserved = stored.value ? parseIncarnation(*stored.value) : std::optional<std::uint64_t>(0);
  if (!reserved || !stored.status.isOk())
    logEvent(unavailableEvent, "the reserved incarnation can't be read: " + stored.status.message);
  return reserved.value_or(0);
}

IncarnationStore::KnownMembers IncarnationStore::readKnownMembers() const {
  KnownMembers out;
  const auto stored = store_->get(storeKey(knownMembersKey));
  if (!stored.value) return out;
  std::istringstream lines(*stored.value);
  std::string name;
  std::string address;
  while (out.size() < membership::PersistedIdentity::maxKnownMembers && lines >> name >> address)
    if (membershipTransport::parseAddress(address) && address != place_.advertise.text)
      out.push_back({{name}, {address}});
  return out;
}

void IncarnationStore::reserveUpTo(std::uint64_t incarnation) {
  isReserving_ = true;
  const auto onWritten = [this, incarnation](const store::StoreStatus& status) {
    onReservationWritten(incarnation, status);
  };
  const auto accepted =
      store_->put(storeKey(incarnationKey), std::to_string(incarnation), store::neverExpires, onWritten);
  if (!accepted.isOk()) onWritten(accepted);
}

void IncarnationStore::onReservationWritten(std::uint64_t incarnation, const store::StoreStatus& status) {
  isReserving_ = false;
  const bool hadFailed = std::exchange(hasFailed_, !status.isOk());
  // Logged where it changes, not at each attempt.
  if (hadFailed != hasFailed_) logEvent(hadFailed ? recoveredEvent : unavailableEvent, status.message);
  if (hasFailed_) return;
  reservedIncarnation_ = incarnation;
  if (members_) members_->reserveUpTo(Incarnation{incarnation});
}

void IncarnationStore::startPersisting(membershipTransport::MembershipTransport& members) {
  members_ = &members;
  if (store_) update();
}

void IncarnationStore::update() {
  const auto interval = std::max<net::Reactor::Wait>(place_.probeInterval, minUpdateInterval);
  updateTimer_ = reactor_.after(interval, [this] { update(); });
  store_->dispatchCompletions();
  // What others know of this member may be far beyond, where the disk has lost an earlier reservation.
  const auto required = static_cast<std::uint64_t>(members_->membership().requiredIncarnation());
  const bool isNearlyUsedUp = required + reservationStep / 2 > reservedIncarnation_;
  if (!isReserving_ && isNearlyUsedUp)
    reserveUpTo(std::max(reservedIncarnation_, required) + reservationStep);
  writeKnownMembers();
}

void IncarnationStore::writeKnownMembers() {
  const auto now = net::Reactor::Clock::now().time_since_epoch();
  const bool hasWritten = knownMembersWrittenAt_ != std::chrono::nanoseconds{};
  if (hasWritten && now - knownMembersWrittenAt_ < place_.probeInterval * knownMembersInterval) return;
  const std::string text = describeKnownMembers();
  // A member that is alone keeps those it knew.
  if (text.empty() || text == writtenKnownMembers_) return;
  // Where this fails on the disk it waits for the next change; nothing depends on it.
  const auto accepted =
      store_->put(storeKey(knownMembersKey), text, store::neverExpires, [](const store::StoreStatus&) {});
  if (!accepted.isOk()) return;
  writtenKnownMembers_ = text;
  knownMembersWrittenAt_ = now;
}

/// A line "NAME ADDRESS" for some members that are alive, of as many zones as possible.
std::string IncarnationStore::describeKnownMembers() const {
  std::map<membership::ZoneName, std::vector<const membership::MemberRecord*>> byZone;
  for (const auto& [name, member] : members_->membership().members())
    if (member.state == membership::MemberState::alive) byZone[member.record.zone].push_back(&member.record);
  std::string out;
  std::size_t count = 0;
  bool hasMore = true;
  // One of each zone, then a second one of each zone, and so on.
  for (std::size_t rank = 0; hasMore && count < membership::PersistedIdentity::maxKnownMembers; ++rank) {
    hasMore = false;
    for (const auto& [zone, cards] : byZone) {
      if (rank >= cards.size() || count >= membership::PersistedIdentity::maxKnownMembers) continue;
      out += cards[rank]->name.text + " " + cards[rank]->address.text + "\n";
      ++count;
      hasMore = true;
    }
  }
  return out;
}

}  // namespace rainhook::server
