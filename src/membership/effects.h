/// @file
/// What a step of membership asks its host to do: messages to send and events to report.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// An encoded message that is to be sent.
struct OutgoingMessage {
  /// How the message is sent; a datagram goes by UDP, the others by TCP.
  enum class Channel : std::uint8_t {
    datagram,
    connection,  ///< a new one to `address`
    reply        ///< the connection by which the message came that is answered
  };
  Channel channel = Channel::datagram;  ///< how it is sent
  MemberName recipient;                 ///< empty: only the address is known
  Address address;                      ///< where it is sent; of no use for a reply
  std::string bytes;                    ///< the encoded message, not signed yet
};

/// A change in what this member knows.
struct MembershipEvent {
  /// What happened.
  enum class Type : std::uint8_t {
    joined,          ///< this member was admitted under its name
    nameRejected,    ///< another instance holds our name; this one is to stop
    regionMismatch,  ///< our zone stands in another region for those who are there; this one is to stop
    stateChanged,    ///< of a member
    unreachable,     ///< alive, but does not answer this member
    reachable,
    refuted,        ///< this member was suspected or declared dead, and has refuted it
    pauseDetected,  ///< this process did not run for a while
    viewUncertain,  ///< from now on, see Membership::isViewUncertain
    viewCertain,
    zoneUnreachable,
    zoneReachable,
    addressChanged,  ///< a member came back under another address or in another process
    nameConflict     ///< somebody else sends under our name
  };
  Type type = Type::stateChanged;          ///< what happened
  MemberRecord member;                     ///< whom it is about; of a zone, zone and region only
  MemberState state = MemberState::alive;  ///< the member's state after the event
  std::string reason;                      ///< in words, for the log; may be empty
};
/// The name of the event in logs.
const char* nameOf(MembershipEvent::Type type);

/// What one step leads to, in order.
struct Effects {
  std::vector<OutgoingMessage> messages;  ///< to be sent
  std::vector<MembershipEvent> events;    ///< to be reported
};

}  // namespace rainhook::membership
