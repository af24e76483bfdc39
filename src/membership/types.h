/// @file
/// The value types of membership: identifiers, the status that a member publishes about itself, and the
/// messages that members exchange. They are plain values without behaviour; message_codec.h encodes messages.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace rainhook::membership {

/// A duration, or a point in time as the duration since the epoch of a steady clock. A negative point in time
/// means "never".
using Duration = std::chrono::nanoseconds;

/// A text that identifies an object; the tag makes identifiers of different kinds distinct types.
template <typename Tag>
struct Identifier {
  std::string text;  ///< the identifier's text
  /// Compares the texts.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive for a defaulted comparison, which contains a zero
  auto operator<=>(const Identifier&) const = default;
};
/// The name of a member, unique in the fleet.
using MemberName = Identifier<struct MemberTag>;
/// The name of a zone.
using ZoneName = Identifier<struct ZoneTag>;
/// The name of a region.
using RegionName = Identifier<struct RegionTag>;
/// An address `host:port`; UDP and TCP use the same port.
using Address = Identifier<struct AddressTag>;

/// SWIM's incarnation number. Only the member itself raises it, and it never decreases.
enum class Incarnation : std::uint64_t {};
/// Distinguishes two processes with the same member name; each process draws it at random when it starts.
enum class ProcessId : std::uint64_t {};
/// Matches an acknowledgement to its probe. Zero means that the sender expects no acknowledgement.
enum class Nonce : std::uint64_t {};

/// Returns the incarnation that follows `current`.
inline Incarnation nextIncarnation(Incarnation current) {
  return Incarnation{static_cast<std::uint64_t>(current) + 1};
}

/// The state of a member in the view of another one.
enum class MemberState : std::uint8_t { alive, suspect, dead, left };
/// Returns the name that logs, `--json` and the output of `explain` use.
const char* nameOf(MemberState state);

/// The operating phase of a member. An observer serves no requests.
enum class Phase : std::uint8_t { observer, warmingUp, serving, draining, unhealthy };
/// Returns the name that `--json` uses, which keeps the values "cold" and "unfit" of earlier releases.
const char* nameOf(Phase phase);

/// The status that a member publishes about itself (its application state). Within one incarnation, the
/// highest version replaces the others.
struct MemberStatus {
  std::uint64_t version = 0;       ///< 0 if the member has not published a status yet
  Phase phase = Phase::observer;   ///< the operating phase
  double warmUpProgress = 1;       ///< from 0 to 1
  double concurrencyLimit = 0;     ///< number of requests that may execute at the same time
  double running = 0;              ///< number of requests that are executing
  double receivedPerSecond = 0;    ///< requests received per second
  double completedPerSecond = 0;   ///< requests completed per second
  double queueingRatio = 0;        ///< share of recent samples with queued requests, 0 to 1
  double advertisedFleetSize = 0;  ///< the fleet size on which it bases its quota, see dependency_quota.h
  /// Compares the versions, then the other fields in order.
  auto operator<=>(const MemberStatus&) const = default;
};

/// The identity of a member.
struct MemberRecord {
  MemberName name;            ///< unique in the fleet
  Address address;            ///< the address at which others reach it
  ZoneName zone;              ///< the zone it runs in
  RegionName region;          ///< the region of the zone
  ProcessId processId{};      ///< identifies the process that runs the member
  Incarnation incarnation{};  ///< SWIM's incarnation number of the member
  /// Compares all fields.
  bool operator==(const MemberRecord&) const = default;
};

/// A member that reported the content of an update: an accuser in a suspicion, or a member that received a
/// message from the subject in a `receivedFrom` update.
struct Reporter {
  MemberName name;  ///< the reporter's name
  ZoneName zone;    ///< the reporter's zone
  /// Compares the names, then the zones.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive for a defaulted comparison, which contains a zero
  auto operator<=>(const Reporter&) const = default;
};
/// The maximum number of reporters that an update names and that a suspicion counts.
inline constexpr std::size_t maxReporters = 6;

/// A gossip update about one member or one zone.
struct GossipUpdate {
  /// What the update states about its subject.
  enum class Kind : std::uint8_t {
    alive,
    suspect,
    dead,
    left,
    receivedFrom,     ///< the reporter received a message from a member that others suspect
    zoneUnreachable,  ///< all members of `subject.zone` are suspected; `subject` names no member
    zoneDead          ///< all suspected members of `subject.zone` are dead; `subject` names no member
  };
  Kind kind = Kind::alive;          ///< what the update states
  MemberRecord subject;             ///< the member or zone that the update is about
  std::vector<Reporter> reporters;  ///< at most maxReporters
  /// Used by `receivedFrom` only. A queued update holds the time of the observation; a sent update holds its
  /// age, so that a forwarded update does not count as a new observation.
  Duration observed{};
  /// Compares all fields.
  bool operator==(const GossipUpdate&) const = default;
};

/// A member's status in a message.
struct StatusEntry {
  MemberName name;            ///< the member that published the status
  Incarnation incarnation{};  ///< the member's incarnation when it published the status
  MemberStatus status;        ///< the published status
};

/// A message from one instance to another.
struct Message {
  /// The type of a request or of its answer.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    pingRequest,    ///< SWIM's ping-req: asks the recipient to probe `subject`
    nack,           ///< Lifeguard's nack: the helper received no answer from the subject
    stateRequest,   ///< asks for the full state
    stateResponse,  ///< the full state
  };
  Kind kind = Kind::ping;        ///< the type of the message
  MemberRecord sender;           ///< the member that sends it
  bool hasSenderJoined = false;  ///< whether the sender was admitted under its name
  MemberName recipient;          ///< empty if the sender knows only the address
  Nonce nonce{};                 ///< matches an answer to its request
  MemberRecord subject;  ///< pingRequest: the member to probe; forwarded ack: the member that answered
  std::vector<GossipUpdate> updates;  ///< the gossip that the message carries
  std::vector<StatusEntry> statuses;  ///< statuses of the sender and of other members
  /// Some of the members that are alive but do not answer the sender.
  std::vector<MemberName> unreachable;
};

}  // namespace rainhook::membership
