/// @file
/// Queries a running instance through its membership port, authenticated with the key that members share.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "membership/membership_settings.h"
#include "membership_transport/message_authenticator.h"

namespace rainhook::commands {

/// Generates a random number that identifies a process as the sender of messages.
[[nodiscard]] std::uint64_t generateProcessId();

/// Sends queries and blocks until the answer has arrived. Each query uses its own connection; connecting and
/// each receive time out after 3 seconds.
class MembershipClient {
 public:
  /// Does not connect yet.
  /// @param settings the settings that contain the keys
  /// @param address the address of the instance to query
  /// @throws UsageError if the address is not of the form 127.0.0.1:7101.
  MembershipClient(const membership::MembershipSettings& settings, const std::string& address);

  /// The members as that instance sees them: an object with `members`, `doubtful` and `asked`.
  [[nodiscard]] nlohmann::json queryMembers() { return query({{"what", "table"}}); }
  /// The zones: an array with one object per zone.
  [[nodiscard]] nlohmann::json queryZones() { return query({{"what", "zones"}}).at("zones"); }
  /// Why a member is in its state, as an array of lines; empty if the name is unknown.
  [[nodiscard]] nlohmann::json queryExplanation(const std::string& memberName) {
    return query({{"what", "explain"}, {"name", memberName}}).at("lines");
  }

 private:
  /// @throws Poco::Exception if no answer arrives that is signed with a shared key.
  /// @throws nlohmann::json::exception if the answer is not valid JSON.
  [[nodiscard]] nlohmann::json query(const nlohmann::json& question);
  [[nodiscard]] std::string receiveFrame(Poco::Net::StreamSocket& socket) const;

  membershipTransport::MessageAuthenticator authenticator_;
  Poco::Net::SocketAddress address_;
};

}  // namespace rainhook::commands
