/// @file
/// Asks a running instance over its membership port what it sees, under the key that members share.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "membership/membership_settings.h"
#include "membership_transport/message_authenticator.h"

namespace rainhook::commands {

/// A random number for a process or a sender.
[[nodiscard]] std::uint64_t drawProcessId();

/// Blocks, 3 seconds at most for each step; one connection for each query.
class MembershipClient {
 public:
  /// Opens no connection yet.
  /// @param settings of which the keys are used
  /// @param address of the instance to ask
  /// @throws UsageError where the address has another form
  MembershipClient(const membership::MembershipSettings& settings, const std::string& address);

  /// The members as that instance sees them, with `members`, `doubtful` and `asked`.
  [[nodiscard]] nlohmann::json queryMembers() { return query({{"what", "table"}}); }
  /// A row for each zone.
  [[nodiscard]] nlohmann::json queryZones() { return query({{"what", "zones"}}).at("zones"); }
  /// Why a member is in its state, one text a line; empty where the name is not known.
  [[nodiscard]] nlohmann::json queryExplanation(const std::string& memberName) {
    return query({{"what", "explain"}, {"name", memberName}}).at("lines");
  }

 private:
  /// @throws Poco::Exception where nobody answers under that key
  /// @throws nlohmann::json::exception where the answer is not JSON
  [[nodiscard]] nlohmann::json query(const nlohmann::json& question);
  [[nodiscard]] std::string receiveFrame(Poco::Net::StreamSocket& socket) const;

  membershipTransport::MessageAuthenticator authenticator_;
  Poco::Net::SocketAddress address_;
};

}  // namespace rainhook::commands
