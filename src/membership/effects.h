/// @file
/// The effects of one protocol step, which the host carries out: messages to send and events to report.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// An encoded message for the host to send.
struct OutgoingMessage {
  /// How the message is sent: a datagram by UDP, the others by TCP.
  enum class Channel : std::uint8_t {
    datagram,
    connection,  ///< a new connection to `address`
    reply        ///< the connection on which the request arrived
  };
  Channel channel = Channel::datagram;  ///< how the message is sent
  MemberName recipient;                 ///< empty if only the address is known
  Address address;                      ///< the destination; unused for a reply
  std::string bytes;                    ///< the encoded message without its signature
};

/// A change in the view of this member.
struct MembershipEvent {
  /// The type of the change.
  enum class Type : std::uint8_t {
    joined,           ///< this member was admitted under its name
    nameRejected,     ///< another instance holds this member's name; this instance has to stop
    regionMismatch,   ///< members of this zone are configured with another region; this instance has to stop
    stateChanged,     ///< the state of another member changed
    unreachable,      ///< another member is alive but does not answer this one
    reachable,        ///< an unreachable member answers again
    refuted,          ///< this member refuted a suspicion or a declaration of its death
    pauseDetected,    ///< this process did not run for some time
    viewUncertain,    ///< Membership::isViewUncertain has become true
    viewCertain,      ///< Membership::isViewUncertain has become false
    zoneUnreachable,  ///< a zone is unreachable as a whole
    zoneReachable,    ///< an unreachable zone is reachable again
    addressChanged,   ///< a member runs at another address or in another process
    nameConflict      ///< another process sends messages under this member's name
  };
  Type type = Type::stateChanged;  ///< the type of the change
  MemberRecord member;             ///< the member concerned; for a zone only `zone` and `region` are set
  MemberState state = MemberState::alive;  ///< the member's state after the event
  std::string reason;                      ///< an explanation for the log; may be empty
};
/// Returns the name of the event in logs.
const char* nameOf(MembershipEvent::Type type);

/// The messages and events that one step produced, each in order.
struct Effects {
  std::vector<OutgoingMessage> messages;  ///< messages to send
  std::vector<MembershipEvent> events;    ///< events to report
};

}  // namespace rainhook::membership
