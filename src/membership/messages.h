// The words of membership: ids, what a member says of itself, and what is said of it. Plain values.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rainhook::membership {

// All times are spans of a steady clock.
using Span = std::chrono::nanoseconds;

template <typename Tag>
struct Word {
  std::string text;
  auto operator<=>(const Word&) const = default;
};
using MemberName = Word<struct MemberTag>;
using ZoneName = Word<struct ZoneTag>;
using RegionName = Word<struct RegionTag>;
using Address = Word<struct AddressTag>;  // host:port, for both UDP and TCP

enum class Incarnation : std::uint64_t {};  // goes up only; said by the member itself alone
enum class Boot : std::uint64_t {};         // drawn at each start of a process
enum class Nonce : std::uint64_t {};        // by which an answer proves that it is one

inline Incarnation beyond(Incarnation of) { return Incarnation{static_cast<std::uint64_t>(of) + 1}; }

enum class State : std::uint8_t { alive, suspect, dead, left };
const char* nameOf(State state);

enum class Phase : std::uint8_t { observer, cold, serving, draining, unfit };
const char* nameOf(Phase phase);

// What a member says of itself; the latest of an incarnation wins. Rates are a second, shares 0 to 1.
struct Digest {
  std::uint64_t version = 0;  // 0: nothing was said yet
  Phase phase = Phase::observer;
  double warmth = 1, limit = 0, running = 0, read = 0, done = 0, heldBack = 0;
  double fleet = 0;  // the fleet by which it divides the dependency; see share.h
  auto operator<=>(const Digest&) const = default;
};

// Who a member is.
struct Card {
  MemberName name;
  Address address;
  ZoneName zone;
  RegionName region;
  Boot boot{};
  Incarnation incarnation{};
  bool operator==(const Card&) const = default;
};

struct Witness {
  MemberName name;
  ZoneName zone;
  auto operator<=>(const Witness&) const = default;
};

// One thing said of a member or of a zone. `heard` is a witness's word that it hears the member although
// others suspect it; the two of a zone have its name in `who.zone` and no member.
struct Rumour {
  enum class Says : std::uint8_t { alive, suspect, dead, left, heard, zoneSilent, zoneDead };
  Says says = Says::alive;
  Card who;
  std::vector<Witness> by;  // who saw it, mostWitnesses at most
  Span heard{};             // heard: in a message how long ago, with us when; so that no echo of it lives on
  bool operator==(const Rumour&) const = default;
};
inline constexpr std::size_t mostWitnesses = 6;

struct DigestOf {
  MemberName name;
  Incarnation incarnation{};
  Digest digest;
};

struct Message {
  enum class Kind : std::uint8_t { ping, ack, ask, nack, state, stateBack };
  Kind kind = Kind::ping;
  Card from;
  bool joined = false;  // the sender has been let in under its name
  MemberName to;        // empty where only an address is known
  Nonce nonce{};
  Card about;  // ask: whom to probe; ack of a helper: whom it reached
  std::vector<Rumour> rumours;
  std::vector<DigestOf> digests;
  std::vector<MemberName> unheard;  // whom the sender does not reach, although they live; some of them
};

}  // namespace rainhook::membership
