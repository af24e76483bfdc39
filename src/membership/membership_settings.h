/// @file
/// The settings of membership: those of an instance, as the operators' options state them, and those of the
/// protocol.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// A key that authenticates messages.
using MessageKey = std::array<unsigned char, 32>;

/// How one instance takes part.
struct MembershipSettings {
  MemberName name;               ///< unique in the fleet
  Address listen;                ///< for UDP and TCP
  Address advertise;             ///< how others reach `listen`
  ZoneName zone;                 ///< the failure domain of the instance
  RegionName region;             ///< in which the zone lies
  std::string regionSource;      ///< where the region was stated: file, line and key
  std::vector<Address> seeds;    ///< whom to ask for the fleet's state when it joins
  std::vector<MessageKey> keys;  ///< the first signs, all verify
  std::map<MemberName, Address>
      addressOverrides;  ///< where this instance reaches a member, if not as advertised
  Duration probeInterval = std::chrono::seconds(1);  ///< from one probe to the next
  std::string stateFolder;  ///< of the persisted identity; empty: nothing is persisted

  /// Equal where all settings are.
  bool operator==(const MembershipSettings&) const = default;
};

/// The protocol's parameters. A period is one probe interval.
struct ProtocolSettings {
  Duration probeInterval = std::chrono::seconds(1);  ///< from one probe to the next
  std::size_t indirectProbes = 3;                    ///< helpers asked where a probe gets no answer
  int stateSyncPeriods = 10;                         ///< between two exchanges of the full state
  int isolationPeriods = 3;       ///< without any message, after which this member takes itself for isolated
  double maxDeclaredShare = 0.5;  ///< of the fleet that may be declared dead within the declaration window
  int declarationWindowPeriods = 60;                       ///< length of the declaration window
  std::size_t maxDeclarationsPerSecond = 10;               ///< declarations of death, at most
  Duration tombstoneRetention = std::chrono::minutes(10);  ///< for which the dead and the left are remembered
  std::size_t maxMembers = 2048;  ///< other members that are remembered, the gone among them

  // The defences beyond SWIM. All on in an instance; measurements switch them off to learn what each is
  // worth.
  bool useLocalHealth = true;          ///< Lifeguard's local health multiplier
  bool detectPauses = true;            ///< a pause of this process postpones its judgements
  bool requireCorroboration = true;    ///< a declaration needs several accusers and no proof of life
  bool shortenByConfirmations = true;  ///< Lifeguard's suspicion timeout
};

}  // namespace rainhook::membership
