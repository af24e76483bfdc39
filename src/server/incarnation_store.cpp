#include "server/incarnation_store.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <sstream>

#include "membership_transport/address.h"
#include "store/posix_disk.h"

namespace rainhook::server {

using membership::Incarnation;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t step = 1024;  // of the ceiling; as many words on ourselves need no write
constexpr int keepEach = 10;          // periods between two writings of whom we know
constexpr store::StoreBounds small{.diskBytes = 1 << 20,
                                   .indexBytes = 64 << 10,
                                   .queueBytes = 64 << 10,
                                   .segmentBytes = 64 << 10,
                                   .longestKey = 256,
                                   .longestValue = 8 << 10,
                                   .openFiles = 4};

store::UnixTime wall() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::optional<std::uint64_t> number(const std::string& text) {
  std::uint64_t out = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (fault != std::errc{} || end != text.data() + text.size() || out > ~std::uint64_t{0} - 2 * step)
    return {};
  return out;
}

}  // namespace

IncarnationStore::IncarnationStore(net::Reactor& reactor, logging::Log& log,
                                   const membership::MembershipSettings& place)
    : reactor_(reactor), log_(log), place_(place) {}

IncarnationStore::~IncarnationStore() {
  next_.cancel();
  if (store_) store_->close();
}

std::string IncarnationStore::key(const char* what) const {
  return std::string(what) + "/" + place_.name.text;
}

void IncarnationStore::say(const char* what, const std::string& why) {
  log_.event(logging::LogCategory::membership, what, {{"about", place_.name.text}, {"why", why}});
}

membership::PersistedIdentity IncarnationStore::open() {
  membership::PersistedIdentity out;
  if (place_.stateFolder.empty()) return out;
  store_ = std::make_unique<store::Store>(
      std::make_unique<store::PosixDisk>(place_.stateFolder), small, wall,
      [this](const std::string& line) { log_.message(logging::LogCategory::start, "state: {}", line); });
  const auto opened = store_->open(std::random_device{}());
  if (opened.code == store::Outcome::Code::locked)
    throw StateLockedError(place_.stateFolder + ": " + opened.what);
  if (!opened.ok()) {
    say("not-kept", opened.what);
    store_.reset();
    return out;
  }
  const auto said = store_->get(key("incarnation"));
  const auto before = said.value ? number(*said.value) : std::optional<std::uint64_t>(0);
  if (!before || !said.outcome.ok())
    say("not-kept", "what was said earlier can't be read: " + said.outcome.what);
  out.firstIncarnation = Incarnation{before.value_or(0) + 1};
  if (const auto known = store_->get(key("known")); known.value) {
    std::istringstream lines(*known.value);
    for (std::string name, address;
         out.knownMembers.size() < membership::PersistedIdentity::maxKnownMembers &&
         lines >> name >> address;)
      if (membershipTransport::parseAddress(address) && address != place_.advertise.text)
        out.knownMembers.push_back({{name}, {address}});
  }
  keepCeiling(before.value_or(0) + step);
  store_->settle();
  if (!failed_) out.reservedIncarnation = Incarnation{ceiling_};
  say("kept", "from " + std::to_string(before.value_or(0) + 1) + ", " +
                  std::to_string(out.knownMembers.size()) + " known from earlier");
  return out;
}

void IncarnationStore::keepCeiling(std::uint64_t ceiling) {
  writing_ = true;
  const auto done = [this, ceiling](const store::Outcome& outcome) {
    writing_ = false;
    if (outcome.ok() == failed_) say(failed_ ? "kept-again" : "not-kept", outcome.what);  // once each way
    failed_ = !outcome.ok();
    if (failed_) return;
    ceiling_ = ceiling;
    if (members_) members_->reserveUpTo(Incarnation{ceiling});
  };
  const auto taken = store_->put(key("incarnation"), std::to_string(ceiling), store::forever, done);
  if (!taken.ok()) done(taken);
}

void IncarnationStore::follow(membershipTransport::MembershipTransport& members) {
  members_ = &members;
  if (store_) look();
}

void IncarnationStore::look() {
  next_ = reactor_.after(std::max<net::Reactor::Wait>(place_.probeInterval, 1s), [this] { look(); });
  store_->deliver();
  // What others know of us may be far beyond, where the disk has lost what we said earlier.
  const auto said = static_cast<std::uint64_t>(members_->membership().requiredIncarnation());
  if (!writing_ && said + step / 2 > ceiling_) keepCeiling(std::max(ceiling_, said) + step);
  keepKnown();
}

// Some that live, of as many zones as there are.
void IncarnationStore::keepKnown() {
  const auto now = net::Reactor::Clock::now().time_since_epoch();
  if (knownAt_ != membership::Duration{} && now - knownAt_ < place_.probeInterval * keepEach) return;
  std::map<membership::ZoneName, std::vector<const membership::MemberRecord*>> zones;
  for (const auto& [name, member] : members_->membership().members())
    if (member.state == membership::MemberState::alive) zones[member.record.zone].push_back(&member.record);
  std::string text;
  std::size_t kept = 0;
  for (std::size_t row = 0, before = 1;
       kept < membership::PersistedIdentity::maxKnownMembers && kept != before; ++row) {
    before = kept;
    for (const auto& [zone, cards] : zones)
      if (row < cards.size() && kept < membership::PersistedIdentity::maxKnownMembers) {
        text += cards[row]->name.text + " " + cards[row]->address.text + "\n";
        ++kept;
      }
  }
  if (text.empty() || text == known_) return;  // whoever is alone keeps whom it knew
  // One that fails on the disk waits for the next change of whom we know; nothing rests on it.
  if (store_->put(key("known"), text, store::forever, [](const store::Outcome&) {}).ok())
    known_ = text, knownAt_ = now;
}

}  // namespace rainhook::server
