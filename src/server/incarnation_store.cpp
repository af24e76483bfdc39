#include "server/incarnation_store.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <sstream>

#include "store/posix_disk.h"

namespace rainhook::server {

using membership::Incarnation;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t step = 1024;  // of the ceiling; as many words on ourselves need no write
constexpr int keepEach = 10;          // periods between two writings of whom we know
constexpr store::StoreSettings small{.maxDiskBytes = 1 << 20,
                                     .maxIndexBytes = 64 << 10,
                                     .maxQueueBytes = 64 << 10,
                                     .maxSegmentBytes = 64 << 10,
                                     .maxKeyBytes = 256,
                                     .maxValueBytes = 8 << 10,
                                     .maxOpenFiles = 4};

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
                                   const membership::MembersPlace& place)
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

membership::Earlier IncarnationStore::open() {
  membership::Earlier out;
  if (place_.state.empty()) return out;
  store_ = std::make_unique<store::Store>(
      std::make_unique<store::PosixDisk>(place_.state), small, wall,
      [this](const std::string& line) { log_.message(logging::LogCategory::start, "state: {}", line); });
  const auto opened = store_->open(std::random_device{}());
  if (opened.code == store::StoreErrorCode::locked)
    throw StateLockedError(place_.state + ": " + opened.message);
  if (!opened.isOk()) {
    say("not-kept", opened.message);
    store_.reset();
    return out;
  }
  const auto said = store_->get(key("incarnation"));
  const auto before = said.value ? number(*said.value) : std::optional<std::uint64_t>(0);
  if (!before || !said.status.isOk())
    say("not-kept", "what was said earlier can't be read: " + said.status.message);
  out.from = Incarnation{before.value_or(0) + 1};
  if (const auto known = store_->get(key("known")); known.value) {
    std::istringstream lines(*known.value);
    for (std::string name, address;
         out.known.size() < membership::Earlier::mostKnown && lines >> name >> address;)
      if (membershipTransport::literal(address) && address != place_.advertise.text)
        out.known.push_back({{name}, {address}});
  }
  keepCeiling(before.value_or(0) + step);
  store_->waitUntilIdle();
  if (!failed_) out.ceiling = Incarnation{ceiling_};
  say("kept", "from " + std::to_string(before.value_or(0) + 1) + ", " + std::to_string(out.known.size()) +
                  " known from earlier");
  return out;
}

void IncarnationStore::keepCeiling(std::uint64_t ceiling) {
  writing_ = true;
  const auto done = [this, ceiling](const store::StoreStatus& outcome) {
    writing_ = false;
    if (outcome.isOk() == failed_)
      say(failed_ ? "kept-again" : "not-kept", outcome.message);  // once each way
    failed_ = !outcome.isOk();
    if (failed_) return;
    ceiling_ = ceiling;
    if (members_) members_->mayGoTo(Incarnation{ceiling});
  };
  const auto taken = store_->put(key("incarnation"), std::to_string(ceiling), store::neverExpires, done);
  if (!taken.isOk()) done(taken);
}

void IncarnationStore::follow(membershipTransport::MembershipTransport& members) {
  members_ = &members;
  if (store_) look();
}

void IncarnationStore::look() {
  next_ = reactor_.after(std::max<net::Reactor::Wait>(place_.probeEvery, 1s), [this] { look(); });
  store_->dispatchCompletions();
  // What others know of us may be far beyond, where the disk has lost what we said earlier.
  const auto said = static_cast<std::uint64_t>(members_->core().wanted());
  if (!writing_ && said + step / 2 > ceiling_) keepCeiling(std::max(ceiling_, said) + step);
  keepKnown();
}

// Some that live, of as many zones as there are.
void IncarnationStore::keepKnown() {
  const auto now = net::Reactor::Clock::now().time_since_epoch();
  if (knownAt_ != membership::Span{} && now - knownAt_ < place_.probeEvery * keepEach) return;
  std::map<membership::ZoneName, std::vector<const membership::Card*>> zones;
  for (const auto& [name, member] : members_->core().members())
    if (member.state == membership::State::alive) zones[member.card.zone].push_back(&member.card);
  std::string text;
  std::size_t kept = 0;
  for (std::size_t row = 0, before = 1; kept < membership::Earlier::mostKnown && kept != before; ++row) {
    before = kept;
    for (const auto& [zone, cards] : zones)
      if (row < cards.size() && kept < membership::Earlier::mostKnown) {
        text += cards[row]->name.text + " " + cards[row]->address.text + "\n";
        ++kept;
      }
  }
  if (text.empty() || text == known_) return;  // whoever is alone keeps whom it knew
  // One that fails on the disk waits for the next change of whom we know; nothing rests on it.
  if (store_->put(key("known"), text, store::neverExpires, [](const store::StoreStatus&) {}).isOk())
    known_ = text, knownAt_ = now;
}

}  // namespace rainhook::server
