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
  std::string text;  ///< as written
  /// Ordered by the text.
  // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
  auto operator<=>(const Identifier&) const = default;
};
/// The name of a member, unique in the fleet.
using MemberName = Identifier<struct MemberTag>;
/// The name of a zone.
using ZoneName = Identifier<struct ZoneTag>;
/// The name of a region.
using RegionName = Identifier<struct RegionTag>;
/// `host:port`, the same port for UDP and TCP.
using Address = Identifier<struct AddressTag>;

/// SWIM's incarnation number: only the member itself raises it, and it never goes back.
enum class Incarnation : std::uint64_t {};
/// Tells two processes under one name apart; drawn at the start of each process.
enum class ProcessId : std::uint64_t {};
/// Ties an acknowledgement to its probe. Zero: no acknowledgement is wanted.
enum class Nonce : std::uint64_t {};

/// The incarnation that follows this one.
inline Incarnation nextIncarnation(Incarnation of) { return Incarnation{static_cast<std::uint64_t>(of) + 1}; }

/// In which state one member sees another.
enum class MemberState : std::uint8_t { alive, suspect, dead, left };
/// The name in logs, in `--json` and in the text of `explain`.
const char* nameOf(MemberState state);

/// What a member does at present. An observer serves no requests.
enum class Phase : std::uint8_t { observer, warmingUp, serving, draining, unhealthy };
/// The name in `--json`, which keeps the values "cold" and "unfit" of earlier releases.
const char* nameOf(Phase phase);

/// What a member states about itself (its application state); the highest version of an incarnation wins.
struct MemberStatus {
  std::uint64_t version = 0;       ///< 0: nothing was published yet
  Phase phase = Phase::observer;   ///< what it does at present
  double warmUpProgress = 1;       ///< 0 to 1
  double concurrencyLimit = 0;     ///< requests that may execute at a time
  double running = 0;              ///< requests that are executing
  double receivedPerSecond = 0;    ///< requests
  double completedPerSecond = 0;   ///< requests
  double queueingRatio = 0;        ///< share of recent samples in which requests were queued, 0 to 1
  double advertisedFleetSize = 0;  ///< by which it divides the dependency's capacity; see dependency_quota.h
  /// Ordered by version, then by the other fields.
  auto operator<=>(const MemberStatus&) const = default;
};

/// Who a member is.
struct MemberRecord {
  MemberName name;            ///< unique in the fleet
  Address address;            ///< where others reach it
  ZoneName zone;              ///< the zone it runs in
  RegionName region;          ///< the region of the zone
  ProcessId processId{};      ///< tells its processes apart
  Incarnation incarnation{};  ///< SWIM's incarnation number of the member
  /// Equal where all fields are.
  bool operator==(const MemberRecord&) const = default;
};

/// The member on whose word an update rests: an accuser in a suspicion, a corroborator in a proof of life.
struct Reporter {
  MemberName name;  ///< who reports
  ZoneName zone;    ///< the reporter's zone
  /// Ordered by name, then by zone.
  // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
  auto operator<=>(const Reporter&) const = default;
};
/// Reporters that an update names, and that a suspicion counts, at most.
inline constexpr std::size_t maxReporters = 6;

/// One piece of gossip about a member or a zone.
struct GossipUpdate {
  /// What the update says about its subject.
  enum class Kind : std::uint8_t {
    alive,
    suspect,
    dead,
    left,
    receivedFrom,     ///< the reporter receives messages from a member that others suspect
    zoneUnreachable,  ///< all members of `subject.zone` are suspected; `subject` names no member
    zoneDead          ///< all suspected members of `subject.zone` are dead; `subject` names no member
  };
  Kind kind = Kind::alive;          ///< what it says
  MemberRecord subject;             ///< the member or zone it is about
  std::vector<Reporter> reporters;  ///< maxReporters at most
  /// Only of `receivedFrom`: in a message the age of the observation, in the queue its moment. The age keeps
  /// an update that is passed on from counting as a new observation.
  Duration observed{};
  /// Equal where all fields are.
  bool operator==(const GossipUpdate&) const = default;
};

/// A status as a message carries it.
struct StatusEntry {
  MemberName name;            ///< whose status it is
  Incarnation incarnation{};  ///< of the member when it stated this
  MemberStatus status;        ///< what it stated
};

/// What one instance sends to another.
struct Message {
  /// What the message asks for or answers.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    pingRequest,    ///< SWIM's ping-req: probe `subject` for me
    nack,           ///< Lifeguard's nack: the helper got no answer from the subject
    stateRequest,   ///< asks for the full state
    stateResponse,  ///< the full state
  };
  Kind kind = Kind::ping;             ///< what it asks for or answers
  MemberRecord sender;                ///< who sends it
  bool hasSenderJoined = false;       ///< the sender was admitted under its name
  MemberName recipient;               ///< empty where only an address is known
  Nonce nonce{};                      ///< ties answers to what they answer
  MemberRecord subject;               ///< of a pingRequest: whom to probe; of a forwarded ack: who answered
  std::vector<GossipUpdate> updates;  ///< the gossip that rides along
  std::vector<StatusEntry> statuses;  ///< of the sender and of others
  /// Some of those that are alive but do not answer the sender.
  std::vector<MemberName> unreachable;
};

}  // namespace rainhook::membership
