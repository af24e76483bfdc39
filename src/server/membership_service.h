/// @file
/// A server as a member of the fleet: publishes what it does as its status, and takes from the members
/// present which part of its quota of the dependency it may use. Both are decided in src/membership.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "membership/dependency_quota.h"
#include "membership_transport/membership_transport.h"
#include "server/incarnation_store.h"
#include "server/request_server.h"

namespace rainhook::server {

/// For the operator who stated a zone in a region in which it does not stand: one line with file, line and
/// key.
[[nodiscard]] std::string describeRegionMismatch(const membership::MembershipSettings& settings,
                                                 const membership::MemberRecord& other);

/// Runs on the thread of the event loop. Stops the server in good order where it can't be a member.
class MembershipService {
 public:
  /// May wait for the disk.
  /// @param reactor the event loop; must outlive this object
  /// @param log gets the events of membership; must outlive this object
  /// @param settings how this server takes part
  /// @param server whose status is published and whose quota is set; must outlive this object
  /// @param servers for so many is the quota of each configured
  /// @param processId drawn at the start of the process
  /// @throws StateLockedError where another process holds the state folder
  MembershipService(net::Reactor& reactor, logging::Log& log, const membership::MembershipSettings& settings,
                    RequestServer& server, int servers, std::uint64_t processId);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  /// @throws Poco::Exception where the address can't be had
  void open();
  /// Announces that this member leaves; to be called before the server stops reading.
  void leave();

 private:
  void onEvent(const membership::MembershipEvent& event);
  void update();
  [[nodiscard]] membership::MemberStatus sampleStatus(membership::Duration now);
  void applyQuota(membership::Duration now);

  net::Reactor& reactor_;
  logging::Log& log_;
  RequestServer& server_;
  const membership::MembershipSettings settings_;
  const membership::Duration updateInterval_;
  const membership::Duration lease_;
  IncarnationStore incarnations_;
  net::BufferPool pool_;
  membershipTransport::MembershipTransport transport_;
  membership::DependencyQuota quota_;
  std::optional<double> appliedQuota_;
  ServerStatus lastStatus_;
  std::optional<membership::Duration> lastSampleAt_;
  double queueingRatio_ = 0;  ///< exponentially weighted
  net::Reactor::Timer timer_;
};

}  // namespace rainhook::server
