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

/// The number of incarnations that one write reserves.
constexpr std::uint64_t reservationStep = 1024;
/// The minimum number of probe intervals between two writes of the known members.
constexpr int knownMembersPeriods = 10;
constexpr std::chrono::nanoseconds minUpdateInterval = 1s;

/// Each key of the store consists of one of these prefixes, a slash and the member's name.
constexpr const char* incarnationKey = "incarnation";
constexpr const char* knownMembersKey = "known";

/// The names of the log events.
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

/// Returns nothing if the text is not a number, or if the number is too high to reserve more incarnations.
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
                                   const membership::MembershipSettings& settings)
    : reactor_(reactor), log_(log), settings_(settings) {}

IncarnationStore::~IncarnationStore() {
  updateTimer_.cancel();
  if (store_) store_->close();
}

std::string IncarnationStore::storeKey(const char* prefix) const {
  return std::string(prefix) + "/" + settings_.name.text;
}

void IncarnationStore::logEvent(const char* event, const std::string& reason) {
  log_.event(logging::LogCategory::membership, event, {{"about", settings_.name.text}, {"why", reason}});
}

membership::PersistedIdentity IncarnationStore::open() {
  membership::PersistedIdentity out;
  if (settings_.stateFolder.empty() || !openStore()) return out;
  const std::uint64_t reservedBefore = readReservedIncarnation();
  out.firstIncarnation = Incarnation{reservedBefore + 1};
  out.knownMembers = readKnownMembers();
  reserveUpTo(reservedBefore + reservationStep);
  store_->waitUntilIdle();
  if (!hasFailed_) out.reservedIncarnation = Incarnation{reservedIncarnation_};
  logEvent(restoredEvent, "from " + std::to_string(reservedBefore + 1) + ", " +
                              std::to_string(out.knownMembers.size()) + " known members restored");
  return out;
}

/// Returns false if the folder cannot be used.
/// @throws StateLockedError if another process has the folder open
bool IncarnationStore::openStore() {
  store_ = std::make_unique<store::Store>(std::make_unique<store::PosixDisk>(settings_.stateFolder),
                                          stateSettings, systemTime, [this](const std::string& line) {
                                            log_.message(logging::LogCategory::start, "state folder {}: {}",
                                                         settings_.stateFolder, line);
                                          });
  const auto status = store_->open(std::random_device{}());
  if (status.code == store::StoreErrorCode::locked)
    throw StateLockedError("cannot open state folder " + settings_.stateFolder + ": " + status.message);
  if (status.isOk()) return true;
  logEvent(unavailableEvent, status.message);
  store_.reset();
  return false;
}

/// Returns the highest incarnation that earlier processes reserved, or 0 if none is known.
std::uint64_t IncarnationStore::readReservedIncarnation() {
  const auto stored = store_->get(storeKey(incarnationKey));
  const auto reserved = stored.value ? parseIncarnation(*stored.value) : std::optional<std::uint64_t>(0);
  if (!reserved || !stored.status.isOk())
    logEvent(unavailableEvent, "cannot read the reserved incarnation from state folder " +
                                   settings_.stateFolder + ": " + stored.status.message);
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
    if (membershipTransport::parseAddress(address) && address != settings_.advertise.text)
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
  // Only a change between success and failure is logged, not each attempt.
  if (hadFailed != hasFailed_) logEvent(hadFailed ? recoveredEvent : unavailableEvent, status.message);
  if (hasFailed_) return;
  reservedIncarnation_ = incarnation;
  if (transport_) transport_->reserveUpTo(Incarnation{incarnation});
}

void IncarnationStore::startPersisting(membershipTransport::MembershipTransport& transport) {
  transport_ = &transport;
  if (store_) update();
}

void IncarnationStore::update() {
  const auto interval = std::max<net::Reactor::Wait>(settings_.probeInterval, minUpdateInterval);
  updateTimer_ = reactor_.after(interval, [this] { update(); });
  store_->dispatchCompletions();
  // If the disk lost an earlier reservation, the others may know a much higher incarnation of this member.
  const auto required = static_cast<std::uint64_t>(transport_->membership().requiredIncarnation());
  const bool isNearlyUsedUp = required + reservationStep / 2 > reservedIncarnation_;
  if (!isReserving_ && isNearlyUsedUp)
    reserveUpTo(std::max(reservedIncarnation_, required) + reservationStep);
  writeKnownMembers();
}

void IncarnationStore::writeKnownMembers() {
  const auto now = net::Reactor::Clock::now().time_since_epoch();
  const bool hasWritten = knownMembersWrittenAt_ != std::chrono::nanoseconds{};
  if (hasWritten && now - knownMembersWrittenAt_ < settings_.probeInterval * knownMembersPeriods) return;
  const std::string text = describeKnownMembers();
  // A member that is alone keeps the members that it knew before.
  if (text.empty() || text == writtenKnownMembers_) return;
  // A failed write is repeated at the next change at the earliest. No guarantee depends on this record.
  const auto accepted =
      store_->put(storeKey(knownMembersKey), text, store::neverExpires, [](const store::StoreStatus&) {});
  if (!accepted.isOk()) return;
  writtenKnownMembers_ = text;
  knownMembersWrittenAt_ = now;
}

/// Returns a line "NAME ADDRESS" for each of at most maxKnownMembers living members, from as many
/// zones as possible.
std::string IncarnationStore::describeKnownMembers() const {
  std::map<membership::ZoneName, std::vector<const membership::MemberRecord*>> byZone;
  for (const auto& [name, member] : transport_->membership().members())
    if (member.state == membership::MemberState::alive) byZone[member.record.zone].push_back(&member.record);
  std::string out;
  std::size_t count = 0;
  bool hasMore = true;
  // Takes one member of each zone, then a second one of each zone, and so on.
  for (std::size_t rank = 0; hasMore && count < membership::PersistedIdentity::maxKnownMembers; ++rank) {
    hasMore = false;
    for (const auto& [zone, records] : byZone) {
      if (rank >= records.size() || count >= membership::PersistedIdentity::maxKnownMembers) continue;
      out += records[rank]->name.text + " " + records[rank]->address.text + "\n";
      ++count;
      hasMore = true;
    }
  }
  return out;
}

}  // namespace rainhook::server
