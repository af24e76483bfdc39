/// @file
/// The value types of membership: identifiers, what a member states about itself, and what members tell each
/// other. Plain values without behaviour; message_codec.h turns messages into bytes.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rainhook::membership {

/// A duration, and a moment as the duration since the epoch of a steady clock. A negative moment means
/// "never".
using Duration = std::chrono::nanoseconds;

/// A text that identifies something; the tag keeps identifiers of different things apart.
template <typename Tag>
struct Identifier {
  std::string text;
  // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
  auto operator<=>(const Identifier&) const = default;
};
using MemberName = Identifier<struct MemberTag>;
using ZoneName = Identifier<struct ZoneTag>;
using RegionName = Identifier<struct RegionTag>;
/// `host:port`, the same port for UDP and TCP.
using Address = Identifier<struct AddressTag>;

/// SWIM's incarnation number: only the member itself raises it, and it never goes back.
enum class Incarnation : std::uint64_t {};
/// Tells two processes under one name apart; drawn at the start of each process.
enum class ProcessId : std::uint64_t {};
/// Ties an acknowledgement to its probe. Zero: no acknowledgement is wanted.
enum class Nonce : std::uint64_t {};

inline Incarnation nextIncarnation(Incarnation of) { return Incarnation{static_cast<std::uint64_t>(of) + 1}; }

enum class MemberState : std::uint8_t { alive, suspect, dead, left };
/// The name in logs, in `--json` and in the text of `explain`.
const char* nameOf(MemberState state);

/// What a member does at present. An observer serves no requests.
enum class Phase : std::uint8_t { observer, warmingUp, serving, draining, unhealthy };
/// The name in `--json`, which keeps the values "cold" and "unfit" of earlier releases.
const char* nameOf(Phase phase);

/// What a member states about itself (its application state); the highest version of an incarnation wins.
struct MemberStatus {
  std::uint64_t version = 0;  ///< 0: nothing was published yet
  Phase phase = Phase::observer;
  double warmUpProgress = 1;  ///< 0 to 1
  double concurrencyLimit = 0;
  double running = 0;              ///< requests that are executing
  double receivedPerSecond = 0;    ///< requests
  double completedPerSecond = 0;   ///< requests
  double queueingRatio = 0;        ///< share of recent samples in which requests were queued, 0 to 1
  double advertisedFleetSize = 0;  ///< by which it divides the dependency's capacity; see dependency_quota.h
  auto operator<=>(const MemberStatus&) const = default;
};

/// Who a member is.
struct MemberRecord {
  MemberName name;
  Address address;
  ZoneName zone;
  RegionName region;
  ProcessId processId{};
  Incarnation incarnation{};
  bool operator==(const MemberRecord&) const = default;
};

/// The member on whose word an update rests: an accuser in a suspicion, a corroborator in a proof of life.
struct Reporter {
  MemberName name;
  ZoneName zone;
  // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
  auto operator<=>(const Reporter&) const = default;
};
/// Reporters that an update names, and that a suspicion counts, at most.
inline constexpr std::size_t maxReporters = 6;

/// One piece of gossip about a member or a zone.
struct GossipUpdate {
  enum class Kind : std::uint8_t {
    alive,
    suspect,
    dead,
    left,
    receivedFrom,     ///< the reporter receives messages from a member that others suspect
    zoneUnreachable,  ///< all members of `subject.zone` are suspected; `subject` names no member
    zoneDead          ///< all suspected members of `subject.zone` are dead; `subject` names no member
  };
  Kind kind = Kind::alive;
  MemberRecord subject;
  std::vector<Reporter> reporters;  ///< maxReporters at most
  /// Only of `receivedFrom`: in a message the age of the observation, in the queue its moment. The age keeps
  /// an update that is passed on from counting as a new observation.
  Duration observed{};
  bool operator==(const GossipUpdate&) const = default;
};

/// A status as a message carries it.
struct StatusEntry {
  MemberName name;
  Incarnation incarnation{};
  MemberStatus status;
};

/// What one instance sends to another.
struct Message {
  enum class Kind : std::uint8_t {
    ping,
    ack,
    pingRequest,    ///< SWIM's ping-req: probe `subject` for me
    nack,           ///< Lifeguard's nack: the helper got no answer from the subject
    stateRequest,   ///< asks for the full state
    stateResponse,  ///< the full state
  };
  Kind kind = Kind::ping;
  MemberRecord sender;
  bool hasSenderJoined = false;  ///< the sender was admitted under its name
  MemberName recipient;          ///< empty where only an address is known
  Nonce nonce{};
  MemberRecord subject;  ///< of a pingRequest: whom to probe; of a forwarded ack: who answered
  std::vector<GossipUpdate> updates;
  std::vector<StatusEntry> statuses;
  /// Some of those that are alive but do not answer the sender.
  std::vector<MemberName> unreachable;
};

}  // namespace rainhook::membership
