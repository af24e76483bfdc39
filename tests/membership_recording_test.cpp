/// @file
/// Compares membership with recordings: the same seeds have to produce the same messages, events, views
/// and quotas, bit for bit. A change of names or structure must not alter the recordings. After a deliberate
/// change of behaviour, update them: run these tests with RAINHOOK_UPDATE_RECORDINGS=1 and state this in the
/// commit.
#include <gtest/gtest.h>

#include <bit>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/dependency_quota.h"
#include "membership/explain.h"
#include "membership/zone_aggregate.h"
#include "simulated_fleet.h"

namespace rainhook::membership {
namespace {

using namespace std::chrono_literals;

const std::string dataFolder = RAINHOOK_SOURCES "/tests/data/";

/// FNV-1a, 64 bits (http://www.isthe.com/chongo/tech/comp/fnv/): stable across releases and machines.
class Fingerprint {
 public:
  void add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) addByte(static_cast<unsigned char>(value >> shift & 0xff));
  }
  void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
  void add(std::string_view text) {
    add(std::uint64_t{text.size()});
    for (const char byte : text) addByte(static_cast<unsigned char>(byte));
  }
  std::string hex() const {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value_));
    return text;
  }

 private:
  void addByte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3; }
  std::uint64_t value_ = 0xcbf29ce484222325;
};

/// Returns a stable number for each event type, because the names in logs may change while the meaning may
/// not.
std::uint64_t numberOf(MembershipEvent::Type type) {
  static const std::map<MembershipEvent::Type, std::uint64_t> numbers{
      {MembershipEvent::Type::joined, 1},           {MembershipEvent::Type::nameRejected, 2},
      {MembershipEvent::Type::regionMismatch, 3},   {MembershipEvent::Type::stateChanged, 4},
      {MembershipEvent::Type::unreachable, 5},      {MembershipEvent::Type::reachable, 6},
      {MembershipEvent::Type::refuted, 7},          {MembershipEvent::Type::pauseDetected, 8},
      {MembershipEvent::Type::viewUncertain, 9},    {MembershipEvent::Type::viewCertain, 10},
      {MembershipEvent::Type::zoneUnreachable, 11}, {MembershipEvent::Type::zoneReachable, 12},
      {MembershipEvent::Type::addressChanged, 13},  {MembershipEvent::Type::nameConflict, 14}};
  return numbers.at(type);
}

void addOutput(Fingerprint& print, Duration now, std::size_t node, const Effects& effects) {
  print.add(static_cast<std::uint64_t>(now.count()));
  print.add(std::uint64_t{node});
  for (const auto& sent : effects.messages) {
    print.add(static_cast<std::uint64_t>(sent.channel));
    print.add(sent.recipient.text);
    print.add(sent.address.text);
    print.add(sent.bytes);
  }
  for (const auto& event : effects.events) {
    print.add(numberOf(event.type));
    print.add(static_cast<std::uint64_t>(event.state));
    print.add(event.member.name.text);
    print.add(event.member.address.text);
    print.add(event.member.zone.text);
    print.add(static_cast<std::uint64_t>(event.member.incarnation));
  }
}

void addZones(Fingerprint& print, const Membership& member, Duration now) {
  for (const auto& sum : aggregateByZone(member, now)) {
    print.add(sum.zone.text);
    print.add(std::uint64_t{sum.isUnreachable});
    for (const std::size_t count : {sum.members, sum.suspected, sum.unreachableMembers, sum.withoutStatus,
                                    sum.serving, sum.warmingUp, sum.draining, sum.unhealthy, sum.observers})
      print.add(std::uint64_t{count});
    for (const double figure : {sum.concurrencyLimit, sum.running, sum.receivedPerSecond,
                                sum.completedPerSecond, sum.warmUpProgress, sum.queueingRatio})
      print.add(figure);
    print.add(static_cast<std::uint64_t>(sum.oldestStatusAge.count()));
  }
}

/// Adds the view of a member as its users see it.
void addView(Fingerprint& print, const Membership& member, Duration now) {
  const auto& counters = member.counters();
  for (const std::uint64_t count :
       {counters.probes, counters.failedProbes, counters.pauses, counters.declaredDead,
        counters.postponedDeclarations, counters.refutations, counters.rejectedMembers,
        counters.postponedRefutations})
    print.add(count);
  print.add(std::uint64_t{member.hasJoined()});
  print.add(std::uint64_t{member.isRejected()});
  print.add(std::uint64_t{member.isViewUncertain(now)});
  print.add(std::uint64_t{member.admittedCount()});
  print.add(std::uint64_t{member.queuedUpdates()});
  print.add(static_cast<std::uint64_t>(member.localHealthMultiplier()));
  print.add(static_cast<std::uint64_t>(member.nextDeadline().count()));
  print.add(static_cast<std::uint64_t>(member.requiredIncarnation()));
  for (const auto& [name, seen] : member.members()) {
    print.add(name.text);
    print.add(static_cast<std::uint64_t>(seen.state));
    print.add(std::uint64_t{seen.isReachable()});
    print.add(std::uint64_t{explainMember(member, name, now).size()});
  }
  addZones(print, member, now);
}

/// Runs a fleet through random faults and returns a fingerprint after each of them.
class Scenario {
 public:
  explicit Scenario(std::uint64_t seed)
      : random_(seed),
        count_(3 + random_(seed % 8 == 0 ? 30 : 9)),
        fleet_(count_, 1 + random_(4), seed, settingsFor(seed)),
        quotas_(count_, DependencyQuota({3, 30s, 5s})) {
    fleet_.onEffects = [this](std::size_t node, const Effects& out) {
      addOutput(print_, fleet_.now, node, out);
    };
  }
  std::string run() {
    fleet_.startAll();
    runFor(12s);
    std::string out = print_.hex();
    for (int step = 0; step < 9; ++step) {
      causeFault();
      runFor(std::chrono::milliseconds(1000 + random_(20000)));
      out += " " + print_.hex();
    }
    fleet_.healAllLinks();
    runFor(40s);
    return out + " " + print_.hex();
  }

 private:
  static ProtocolSettings settingsFor(std::uint64_t seed) {
    ProtocolSettings settings;
    if (seed % 6 == 1) settings.useLocalHealth = false;
    if (seed % 6 == 2) settings.detectPauses = false;
    if (seed % 6 == 3) settings.requireCorroboration = false;
    if (seed % 6 == 4) settings.shortenByConfirmations = false;
    if (seed % 7 == 5) settings.tombstoneRetention = 20s;
    if (seed % 9 == 7) settings.maxMembers = 4;
    return settings;
  }
  void causeFault() {
    const std::size_t a = random_(static_cast<std::uint32_t>(count_));
    const std::size_t b = random_(static_cast<std::uint32_t>(count_));
    switch (random_(9)) {
      case 0:
        if (fleet_.isRunning(a)) fleet_.kill(a);
        break;
      case 1:
        if (!fleet_.isRunning(a)) fleet_.start(a, b);
        break;
      case 2:
        if (!fleet_.isRunning(a))
          fleet_.start(
              a, b,
              {Incarnation{3}, Incarnation{4}, {{SimulatedFleet::name(b), SimulatedFleet::address(b)}}});
        break;
      case 3:
        if (fleet_.isRunning(a)) fleet_.pause(a, std::chrono::milliseconds(random_(20000)));
        break;
      case 4:
        fleet_.link = [a, b](auto from, auto to) {
          return SimulatedFleet::Link{from == a && to == b ? 1.0 : 0.1, {}};
        };
        break;
      case 5:
        fleet_.link = [a](auto from, auto to) {
          return SimulatedFleet::Link{(from < a) == (to < a) ? 0.0 : 1.0, {}};
        };
        break;
      case 6:
        fleet_.link = [a](auto from, auto to) {
          return SimulatedFleet::Link{from == a ? 0.8 : 0.2, to == a ? Duration(700ms) : Duration{}};
        };
        break;
      case 7:  // a whole zone
        for (std::size_t i = 0; i < count_; ++i)
          if (fleet_.isRunning(i) && fleet_.nodes[i].zone == fleet_.nodes[a].zone) fleet_.kill(i);
        break;
      default:
        if (fleet_.isRunning(a)) fleet_.leave(a);
    }
  }
  void runFor(Duration span) {
    for (const Duration end = fleet_.now + span; fleet_.now < end;) {
      fleet_.runFor(1s);
      for (std::size_t i = 0; i < count_; ++i)
        if (fleet_.isRunning(i) && fleet_.now >= fleet_.nodes[i].pausedUntil) publishAndRecord(i);
    }
  }
  void publishAndRecord(std::size_t node) {
    Membership& member = *fleet_.nodes[node].member;
    MemberStatus status;
    status.phase = node % 3 == 0 ? Phase::warmingUp : Phase::serving;
    status.concurrencyLimit = static_cast<double>(node);
    status.receivedPerSecond = 0.1 * static_cast<double>(random_(100));
    status.warmUpProgress = 0.5;
    status.queueingRatio = 0.25;
    status.advertisedFleetSize = static_cast<double>(quotas_[node].fleetSize());
    member.publishStatus(status);
    print_.add(quotas_[node].update(fleet_.now, observeFleet(member, fleet_.now, 30s)));
    print_.add(std::uint64_t{quotas_[node].quotaHolders()});
    addView(print_, member, fleet_.now);
  }

  pcg32 random_;
  std::size_t count_;
  SimulatedFleet fleet_;
  std::vector<DependencyQuota> quotas_;
  Fingerprint print_;
};

std::vector<std::string> linesOf(const std::string& file) {
  std::ifstream in(dataFolder + file);
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line);) out.push_back(line);
  return out;
}
void expectRecording(const std::string& file, const std::vector<std::string>& actual) {
  if (std::getenv("RAINHOOK_UPDATE_RECORDINGS")) {
    std::ofstream out(dataFolder + file);
    for (const auto& line : actual) out << line << '\n';
  }
  EXPECT_EQ(linesOf(file), actual) << file;
}

/// Guards against unintended changes of messages, events, views or quotas under random faults.
TEST(MembershipRecording, MatchesTheRecordingWhenFaultsAreRandom) {
  std::vector<std::string> actual;
  for (std::uint64_t seed = 1; seed <= 48; ++seed)
    actual.push_back(std::to_string(seed) + " " + Scenario(seed).run());
  expectRecording("membership_behaviour.txt", actual);
}

/// An instance that joins a fleet of four.
struct Newcomer {
  const char* name;
  const char* zone;
  const char* region;
  std::uint64_t processId;
  bool joinsAlone;  ///< whether it has joined alone before it learns of the fleet
};

/// Exchanges messages between a newcomer and the members of the fleet.
void exchange(Fingerprint& print, SimulatedFleet& fleet, Membership& newcomer, Effects effects) {
  for (int round = 0; round < 6 && !effects.messages.empty(); ++round) {
    addOutput(print, fleet.now, 9, effects);
    Effects answers;
    for (const auto& sent : effects.messages) {
      const auto to = std::stoul(sent.address.text.substr(1));
      if (to < fleet.nodes.size() && fleet.isRunning(to))
        fleet.nodes[to].member->onMessage(fleet.now, *decodeMessage(sent.bytes), answers);
    }
    addOutput(print, fleet.now, 0, answers);
    effects = {};
    for (const auto& sent : answers.messages)
      if (sent.address.text == "n9:1") newcomer.onMessage(fleet.now, *decodeMessage(sent.bytes), effects);
  }
  addOutput(print, fleet.now, 9, effects);
}

/// Returns the state of the fleet that its first member sends to an unknown instance.
std::string stateOf(SimulatedFleet& fleet) {
  Message request;
  request.kind = Message::Kind::stateRequest;
  request.sender = {{"stranger"}, {"n9:1"}, {"z1"}, {"r"}, ProcessId{1}, Incarnation{1}};
  Effects answers;
  fleet.nodes[0].member->onMessage(fleet.now, request, answers);
  return answers.messages.at(0).bytes;
}

std::string fingerprintOfJoin(const Newcomer& setup) {
  Fingerprint print;
  SimulatedFleet fleet(4, 2, 5);
  fleet.startAll();
  fleet.runFor(20s);
  fleet.kill(3);
  std::vector<Address> seeds;
  if (!setup.joinsAlone) seeds.push_back(SimulatedFleet::address(0));
  Membership newcomer({{setup.name}, {"n9:1"}, {setup.zone}, {setup.region}, ProcessId{setup.processId}, {}},
                      seeds, {}, 1, {Incarnation{1}, Incarnation{3}, {}});
  Effects effects;
  newcomer.open(fleet.now, effects);
  if (setup.joinsAlone) newcomer.onMessage(fleet.now, *decodeMessage(stateOf(fleet)), effects);
  exchange(print, fleet, newcomer, std::move(effects));
  Effects later;
  for (Duration ahead = 100ms; ahead < 6s; ahead += 100ms) newcomer.onTimer(fleet.now + ahead, later);
  addOutput(print, fleet.now, 9, later);
  addView(print, newcomer, fleet.now + 6s);
  fleet.runFor(5s);
  addView(print, *fleet.nodes[1].member, fleet.now);
  return print.hex();
}

/// Guards against unintended changes of the join. The cases: a name in use by a process with a lower or a
/// higher process ID, a name whose holder is dead, a zone with another region, and a new name.
TEST(MembershipRecording, MatchesTheRecordingWhenInstancesJoin) {
  constexpr std::uint64_t highest = ~std::uint64_t{0};
  std::vector<std::string> actual;
  for (const bool joinsAlone : {false, true})
    for (const Newcomer& setup : {Newcomer{"n1", "z1", "r", 7, joinsAlone},
                                  {"n1", "z1", "r", highest, joinsAlone},
                                  {"n3", "z1", "r", 7, joinsAlone},
                                  {"n9", "z1", "elsewhere", 7, joinsAlone},
                                  {"n9", "z1", "r", 7, joinsAlone}})
      actual.push_back(fingerprintOfJoin(setup));
  expectRecording("membership_newcomers.txt", actual);
}

/// Returns a message of the given kind in which all fields are set.
Message messageOf(Message::Kind kind) {
  Message out;
  const auto number = static_cast<std::uint64_t>(kind);
  out.kind = kind;
  out.sender = {{"member-a"}, {"127.0.0.11:7101"},           {"zone-1"},
                {"region-1"}, ProcessId{0x0123456789abcdef}, Incarnation{300 + number}};
  out.hasSenderJoined = number % 2 == 0;
  out.recipient = {"member-b"};
  out.nonce = Nonce{0xfedcba9876543210 + number};
  out.subject = {{"member-c"}, {"127.0.0.13:7101"}, {"zone-2"},
                 {"region-2"}, ProcessId{number},   Incarnation{70000}};
  const std::vector<Reporter> reporters{{{"member-d"}, {"zone-3"}}, {{"member-e"}, {""}}};
  for (const auto kindOfUpdate :
       {GossipUpdate::Kind::alive, GossipUpdate::Kind::suspect, GossipUpdate::Kind::dead,
        GossipUpdate::Kind::left, GossipUpdate::Kind::receivedFrom, GossipUpdate::Kind::zoneUnreachable,
        GossipUpdate::Kind::zoneDead})
    out.updates.push_back({kindOfUpdate, out.subject, reporters,
                           kindOfUpdate == GossipUpdate::Kind::receivedFrom ? Duration(1234ms) : Duration{}});
  MemberStatus status;
  status.version = 17;
  status.phase = Phase::draining;
  status.warmUpProgress = 0.25;
  status.concurrencyLimit = 12;
  status.running = 7;
  status.receivedPerSecond = 103.5;
  status.completedPerSecond = 99.125;
  status.queueingRatio = 0.75;
  status.advertisedFleetSize = 9;
  out.statuses.push_back({out.sender.name, out.sender.incarnation, status});
  out.statuses.push_back({out.subject.name, out.subject.incarnation, {}});
  out.unreachable = {{"member-f"}, {"member-g"}};
  return out;
}
std::string hexOf(std::string_view bytes) {
  std::string out;
  for (const char byte : bytes) {
    constexpr const char* digits = "0123456789abcdef";
    out.push_back(digits[static_cast<unsigned char>(byte) >> 4]);
    out.push_back(digits[static_cast<unsigned char>(byte) & 15]);
  }
  return out;
}

/// Guards against changes of the wire format, which other releases in the fleet could not decode.
TEST(MembershipRecording, EncodesTheRecordedBytesWhenEachKindIsSent) {
  using Kind = Message::Kind;
  std::vector<std::string> actual;
  for (const auto kind :
       {Kind::ping, Kind::ack, Kind::pingRequest, Kind::nack, Kind::stateRequest, Kind::stateResponse}) {
    const auto bytes = encodeMessage(messageOf(kind), maxDatagramBytes).bytes;
    actual.push_back(hexOf(bytes));
    const auto back = decodeMessage(bytes);
    ASSERT_TRUE(back);
    EXPECT_EQ(hexOf(encodeMessage(*back, maxDatagramBytes).bytes), actual.back());
  }
  const auto cut = encodeMessage(messageOf(Kind::ping), 400);
  actual.push_back(hexOf(cut.bytes));
  actual.push_back(std::to_string(cut.updateCount) + " " + std::to_string(cut.statusCount));
  expectRecording("membership_messages.txt", actual);
}

}  // namespace
}  // namespace rainhook::membership
