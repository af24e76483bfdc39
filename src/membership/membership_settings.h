/// @file
/// The settings of membership: those of an instance, which operators set in the options, and those of the
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

/// The membership settings of one instance.
struct MembershipSettings {
  MemberName name;               ///< unique in the fleet
  Address listen;                ///< the address to bind for UDP and TCP
  Address advertise;             ///< the address at which others reach `listen`
  ZoneName zone;                 ///< the failure domain of the instance
  RegionName region;             ///< the region of the zone
  std::string regionSource;      ///< where the region is configured: file, line and key
  std::vector<Address> seeds;    ///< addresses that the instance asks for the fleet's state when it joins
  std::vector<MessageKey> keys;  ///< the first key signs, all keys verify
  /// The addresses of members that this instance reaches at other addresses than advertised.
  std::map<MemberName, Address> addressOverrides;
  Duration probeInterval = std::chrono::seconds(1);  ///< time between two probes
  std::string stateFolder;  ///< folder of the persisted identity; if empty, nothing is persisted

  /// Compares all settings.
  bool operator==(const MembershipSettings&) const = default;
};

/// The protocol's parameters. A period is one probe interval.
struct ProtocolSettings {
  Duration probeInterval = std::chrono::seconds(1);  ///< time between two probes
  std::size_t indirectProbes = 3;                    ///< helpers to ask when a probe gets no direct answer
  int stateSyncPeriods = 10;                         ///< periods between two exchanges of the full state
  int isolationPeriods = 3;  ///< periods without a message after which this member considers itself isolated
  double maxDeclaredShare = 0.5;  ///< maximum share of the fleet declared dead within the declaration window
  int declarationWindowPeriods = 60;          ///< length of the declaration window in periods
  std::size_t maxDeclarationsPerSecond = 10;  ///< maximum number of declarations of death per second
  /// How long dead and left members stay in the table.
  Duration tombstoneRetention = std::chrono::minutes(10);
  /// The maximum number of other members in the table, including dead and left ones.
  std::size_t maxMembers = 2048;

  // Extensions of SWIM. Instances enable all of them; measurements disable them one by one to determine the
  // effect of each.
  bool useLocalHealth = true;  ///< Lifeguard's local health multiplier
  bool detectPauses = true;    ///< a pause of this process postpones suspicions and declarations
  /// A declaration needs several accusers, and no member may have received a message from the suspect
  /// recently.
  bool requireCorroboration = true;
  bool shortenByConfirmations = true;  ///< Lifeguard's suspicion timeout, which confirmations shorten
};

}  // namespace rainhook::membership
