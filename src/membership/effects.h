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
  enum class Channel : std::uint8_t {
    datagram,
    connection,  ///< a new one to `address`
    reply        ///< the connection by which the message came that is answered
  };
  Channel channel = Channel::datagram;
  MemberName recipient;  ///< empty: only the address is known
  Address address;
  std::string bytes;
};

/// A change in what this member knows.
struct MembershipEvent {
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
  Type type = Type::stateChanged;
  MemberRecord member;
  MemberState state = MemberState::alive;
  std::string reason;
};
/// The name of the event in logs.
const char* nameOf(MembershipEvent::Type type);

/// What one step leads to, in order.
struct Effects {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;
};

}  // namespace rainhook::membership
