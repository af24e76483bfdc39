/// @file
/// Holds membership against recordings: the same seeds give the same messages, events and estimates, bit for
/// bit. A change of names or of structure must leave them as they are. A deliberate change of behaviour
/// writes them anew: run these tests with RAINHOOK_UPDATE_RECORDINGS=1 and say so in the commit.
#include <gtest/gtest.h>

#include <bit>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/share.h"
#include "membership/sums.h"
#include "membership_world.h"

namespace rainhook::membership {
namespace {

using namespace std::chrono_literals;

const std::string dataFolder = RAINHOOK_SOURCES "/tests/data/";

/// FNV-1a, 64 bits (http://www.isthe.com/chongo/tech/comp/fnv/): stable over releases and machines.
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

/// Stable numbers of the events: their names in logs may change, what they stand for may not.
std::uint64_t numberOf(Change::What what) {
  static const std::map<Change::What, std::uint64_t> numbers{
      {Change::What::joined, 1},   {Change::What::refused, 2},     {Change::What::astray, 3},
      {Change::What::state, 4},    {Change::What::unreachable, 5}, {Change::What::reachable, 6},
      {Change::What::refuted, 7},  {Change::What::paused, 8},      {Change::What::doubtful, 9},
      {Change::What::settled, 10}, {Change::What::zoneSilent, 11}, {Change::What::zoneHeard, 12},
      {Change::What::moved, 13},   {Change::What::twin, 14}};
  return numbers.at(what);
}

void addOutput(Fingerprint& print, Span now, std::size_t node, const Membership::Out& out) {
  print.add(static_cast<std::uint64_t>(now.count()));
  print.add(std::uint64_t{node});
  for (const auto& send : out.sends) {
    print.add(static_cast<std::uint64_t>(send.way));
    print.add(send.to.text);
    print.add(send.address.text);
    print.add(send.bytes);
  }
  for (const auto& change : out.changes) {
    print.add(numberOf(change.what));
    print.add(static_cast<std::uint64_t>(change.state));
    print.add(change.who.name.text);
    print.add(change.who.address.text);
    print.add(change.who.zone.text);
    print.add(static_cast<std::uint64_t>(change.who.incarnation));
  }
}

void addZones(Fingerprint& print, const Membership& member, Span now) {
  for (const auto& sum : zoneSums(member, now)) {
    print.add(sum.zone.text);
    print.add(std::uint64_t{sum.silent});
    for (const std::size_t count : {sum.members, sum.suspected, sum.unreachable, sum.unsaid, sum.serving,
                                    sum.cold, sum.draining, sum.unfit, sum.observers})
      print.add(std::uint64_t{count});
    for (const double figure : {sum.limit, sum.running, sum.read, sum.done, sum.warmth, sum.heldBack})
      print.add(figure);
    print.add(static_cast<std::uint64_t>(sum.oldest.count()));
  }
}

/// What a member tells its users.
void addView(Fingerprint& print, const Membership& member, Span now) {
  const auto& counts = member.counts();
  for (const std::uint64_t count : {counts.probes, counts.failed, counts.pauses, counts.verdicts, counts.held,
                                    counts.refutations, counts.refusedMembers, counts.unsaid})
    print.add(count);
  print.add(std::uint64_t{member.joined()});
  print.add(std::uint64_t{member.refused()});
  print.add(std::uint64_t{member.doubtful(now)});
  print.add(std::uint64_t{member.living()});
  print.add(std::uint64_t{member.waitingRumours()});
  print.add(static_cast<std::uint64_t>(member.health()));
  print.add(static_cast<std::uint64_t>(member.wake().count()));
  print.add(static_cast<std::uint64_t>(member.wanted()));
  for (const auto& [name, seen] : member.members()) {
    print.add(name.text);
    print.add(static_cast<std::uint64_t>(seen.state));
    print.add(std::uint64_t{seen.reached()});
    print.add(std::uint64_t{member.explain(name, now).size()});
  }
  addZones(print, member, now);
}

/// Runs a fleet through drawn faults and gives a fingerprint after each of them.
class Scenario {
 public:
  explicit Scenario(std::uint64_t seed)
      : random_(seed),
        count_(3 + random_(seed % 8 == 0 ? 30 : 9)),
        world_(count_, 1 + random_(4), seed, termsOf(seed)),
        quotas_(count_, DependencyShare({3, 30s, 5s})) {
    world_.onOutput = [this](std::size_t node, const Membership::Out& out) {
      addOutput(print_, world_.now, node, out);
    };
  }
  std::string run() {
    world_.startAll();
    runFor(12s);
    std::string out = print_.hex();
    for (int step = 0; step < 9; ++step) {
      causeFault();
      runFor(std::chrono::milliseconds(1000 + random_(20000)));
      out += " " + print_.hex();
    }
    world_.link = [](auto, auto) { return World::Link{}; };
    runFor(40s);
    return out + " " + print_.hex();
  }

 private:
  static ProbeTerms termsOf(std::uint64_t seed) {
    ProbeTerms terms;
    if (seed % 6 == 1) terms.ownHealth = false;
    if (seed % 6 == 2) terms.ownPause = false;
    if (seed % 6 == 3) terms.witnesses = false;
    if (seed % 6 == 4) terms.confirms = false;
    if (seed % 7 == 5) terms.forgetAfter = 20s;
    if (seed % 9 == 7) terms.mostMembers = 4;
    return terms;
  }
  void causeFault() {
    const std::size_t a = random_(static_cast<std::uint32_t>(count_));
    const std::size_t b = random_(static_cast<std::uint32_t>(count_));
    switch (random_(9)) {
      case 0:
        if (world_.up(a)) world_.kill(a);
        break;
      case 1:
        if (!world_.up(a)) world_.start(a, b);
        break;
      case 2:
        if (!world_.up(a))
          world_.start(a, b, {Incarnation{3}, Incarnation{4}, {{World::name(b), World::address(b)}}});
        break;
      case 3:
        if (world_.up(a)) world_.pause(a, std::chrono::milliseconds(random_(20000)));
        break;
      case 4:
        world_.link = [a, b](auto from, auto to) {
          return World::Link{from == a && to == b ? 1.0 : 0.1, {}};
        };
        break;
      case 5:
        world_.link = [a](auto from, auto to) { return World::Link{(from < a) == (to < a) ? 0.0 : 1.0, {}}; };
        break;
      case 6:
        world_.link = [a](auto from, auto to) {
          return World::Link{from == a ? 0.8 : 0.2, to == a ? Span(700ms) : Span{}};
        };
        break;
      case 7:  // a whole zone
        for (std::size_t i = 0; i < count_; ++i)
          if (world_.up(i) && world_.nodes[i].zone == world_.nodes[a].zone) world_.kill(i);
        break;
      default:
        if (world_.up(a)) world_.leave(a);
    }
  }
  void runFor(Span span) {
    for (const Span end = world_.now + span; world_.now < end;) {
      world_.run(1s);
      for (std::size_t i = 0; i < count_; ++i)
        if (world_.up(i) && world_.now >= world_.nodes[i].pausedUntil) lookAt(i);
    }
  }
  void lookAt(std::size_t node) {
    Membership& member = *world_.nodes[node].member;
    Digest digest;
    digest.phase = node % 3 == 0 ? Phase::cold : Phase::serving;
    digest.limit = static_cast<double>(node);
    digest.read = 0.1 * static_cast<double>(random_(100));
    digest.warmth = 0.5;
    digest.heldBack = 0.25;
    digest.fleet = static_cast<double>(quotas_[node].fleet());
    member.say(world_.now, digest);
    print_.add(quotas_[node].look(world_.now, fleetSeen(member, world_.now, 30s)));
    print_.add(std::uint64_t{quotas_[node].counted()});
    addView(print_, member, world_.now);
  }

  pcg32 random_;
  std::size_t count_;
  World world_;
  std::vector<DependencyShare> quotas_;
  Fingerprint print_;
};

std::vector<std::string> linesOf(const std::string& file) {
  std::ifstream in(dataFolder + file);
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line);) out.push_back(line);
  return out;
}
void holdAgainst(const std::string& file, const std::vector<std::string>& actual) {
  if (std::getenv("RAINHOOK_UPDATE_RECORDINGS")) {
    std::ofstream out(dataFolder + file);
    for (const auto& line : actual) out << line << '\n';
  }
  EXPECT_EQ(linesOf(file), actual) << file;
}

TEST(MembershipRecording, BehavesAsRecordedWhateverTheFaults) {
  std::vector<std::string> actual;
  for (std::uint64_t seed = 1; seed <= 48; ++seed)
    actual.push_back(std::to_string(seed) + " " + Scenario(seed).run());
  holdAgainst("membership_behaviour.txt", actual);
}

/// One who comes to a fleet of four from outside of it.
struct Newcomer {
  const char* name;
  const char* zone;
  const char* region;
  std::uint64_t boot;
  bool joinsAlone;  ///< is in before it hears of the fleet
};

/// Lets a newcomer and the fleet's members answer each other, message by message.
void exchange(Fingerprint& print, World& world, Membership& newcomer, Membership::Out out) {
  for (int round = 0; round < 6 && !out.sends.empty(); ++round) {
    addOutput(print, world.now, 9, out);
    Membership::Out answers;
    for (const auto& send : out.sends) {
      const auto to = std::stoul(send.address.text.substr(1));
      if (to < world.nodes.size() && world.up(to))
        world.nodes[to].member->hear(world.now, *unpacked(send.bytes), answers);
    }
    addOutput(print, world.now, 0, answers);
    out = {};
    for (const auto& send : answers.sends)
      if (send.address.text == "n9:1") newcomer.hear(world.now, *unpacked(send.bytes), out);
  }
  addOutput(print, world.now, 9, out);
}

/// The state of the fleet as its first member sends it to a stranger.
std::string stateOf(World& world) {
  Message question;
  question.kind = Message::Kind::state;
  question.from = {{"stranger"}, {"n9:1"}, {"z1"}, {"r"}, Boot{1}, Incarnation{1}};
  Membership::Out answers;
  world.nodes[0].member->hear(world.now, question, answers);
  return answers.sends.at(0).bytes;
}

std::string courseOf(const Newcomer& of) {
  Fingerprint print;
  World world(4, 2, 5);
  world.startAll();
  world.run(20s);
  world.kill(3);
  std::vector<Address> seeds;
  if (!of.joinsAlone) seeds.push_back(World::address(0));
  Membership newcomer({{of.name}, {"n9:1"}, {of.zone}, {of.region}, Boot{of.boot}, {}}, seeds, {}, 1,
                      {Incarnation{1}, Incarnation{3}, {}});
  Membership::Out out;
  newcomer.open(world.now, out);
  if (of.joinsAlone) newcomer.hear(world.now, *unpacked(stateOf(world)), out);
  exchange(print, world, newcomer, std::move(out));
  Membership::Out later;
  for (Span ahead = 100ms; ahead < 6s; ahead += 100ms) newcomer.turn(world.now + ahead, later);
  addOutput(print, world.now, 9, later);
  addView(print, newcomer, world.now + 6s);
  world.run(5s);
  addView(print, *world.nodes[1].member, world.now);
  return print.hex();
}

// A name that is held, by one with a lower or a higher boot; one whose holder is gone; a zone that stands in
// another region; and one that is new.
TEST(MembershipRecording, NewcomersBehaveAsRecorded) {
  constexpr std::uint64_t highest = ~std::uint64_t{0};
  std::vector<std::string> actual;
  for (const bool joinsAlone : {false, true})
    for (const Newcomer& of : {Newcomer{"n1", "z1", "r", 7, joinsAlone},
                               {"n1", "z1", "r", highest, joinsAlone},
                               {"n3", "z1", "r", 7, joinsAlone},
                               {"n9", "z1", "elsewhere", 7, joinsAlone},
                               {"n9", "z1", "r", 7, joinsAlone}})
      actual.push_back(courseOf(of));
  holdAgainst("membership_newcomers.txt", actual);
}

/// One message of each kind, with all that a message can hold.
Message messageOf(Message::Kind kind) {
  Message out;
  const auto number = static_cast<std::uint64_t>(kind);
  out.kind = kind;
  out.from = {{"member-a"}, {"127.0.0.11:7101"},      {"zone-1"},
              {"region-1"}, Boot{0x0123456789abcdef}, Incarnation{300 + number}};
  out.joined = number % 2 == 0;
  out.to = {"member-b"};
  out.nonce = Nonce{0xfedcba9876543210 + number};
  out.about = {{"member-c"}, {"127.0.0.13:7101"}, {"zone-2"}, {"region-2"}, Boot{number}, Incarnation{70000}};
  const std::vector<Witness> witnesses{{{"member-d"}, {"zone-3"}}, {{"member-e"}, {""}}};
  for (const auto says : {Rumour::Says::alive, Rumour::Says::suspect, Rumour::Says::dead, Rumour::Says::left,
                          Rumour::Says::heard, Rumour::Says::zoneSilent, Rumour::Says::zoneDead})
    out.rumours.push_back({says, out.about, witnesses, says == Rumour::Says::heard ? Span(1234ms) : Span{}});
  Digest digest;
  digest.version = 17;
  digest.phase = Phase::draining;
  digest.warmth = 0.25;
  digest.limit = 12;
  digest.running = 7;
  digest.read = 103.5;
  digest.done = 99.125;
  digest.heldBack = 0.75;
  digest.fleet = 9;
  out.digests.push_back({out.from.name, out.from.incarnation, digest});
  out.digests.push_back({out.about.name, out.about.incarnation, {}});
  out.unheard = {{"member-f"}, {"member-g"}};
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

TEST(MembershipRecording, MessagesOfEachKindHaveTheBytesRecorded) {
  using Kind = Message::Kind;
  std::vector<std::string> actual;
  for (const auto kind : {Kind::ping, Kind::ack, Kind::ask, Kind::nack, Kind::state, Kind::stateBack}) {
    const auto bytes = packed(messageOf(kind), mostDatagram);
    actual.push_back(hexOf(bytes));
    const auto back = unpacked(bytes);
    ASSERT_TRUE(back);
    EXPECT_EQ(hexOf(packed(*back, mostDatagram)), actual.back());
  }
  std::size_t updates = 0;
  std::size_t statuses = 0;
  actual.push_back(hexOf(packed(messageOf(Kind::ping), 400, &updates, &statuses)));  // cut to its room
  actual.push_back(std::to_string(updates) + " " + std::to_string(statuses));
  holdAgainst("membership_messages.txt", actual);
}

}  // namespace
}  // namespace rainhook::membership
