/// @file
/// The membership of a server in the fleet. The service publishes the status of the server, and sets the
/// share of the dependency quota that the server may use according to the present members. src/membership
/// makes the decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "membership/dependency_quota.h"
#include "membership_transport/membership_transport.h"
#include "server/incarnation_store.h"
#include "server/request_server.h"

namespace rainhook::server {

/// Returns a line for the operator who configured a zone with a region that differs from that of another
/// member. It starts with file, line and key.
[[nodiscard]] std::string describeRegionMismatch(const membership::MembershipSettings& settings,
                                                 const membership::MemberRecord& other);

/// Runs on the thread of the event loop. Shuts the server down gracefully if it cannot be a member.
class MembershipService {
 public:
  /// Opens the persisted state, which may block on the disk.
  /// @param reactor the event loop; must outlive this object
  /// @param log receives the events of membership; must outlive this object
  /// @param settings the membership settings of this server
  /// @param server the server whose status is published and whose quota is set; must outlive this object
  /// @param servers number of servers that the configured quota per server assumes
  /// @param processId a random number that identifies this process
  /// @throws StateLockedError if another process has the state folder open
  MembershipService(net::Reactor& reactor, logging::Log& log, const membership::MembershipSettings& settings,
                    RequestServer& server, int servers, std::uint64_t processId);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  /// Binds the address and joins the fleet.
  /// @throws Poco::Exception if the address cannot be bound
  void open();
  /// Announces that this member leaves. Call it before the server stops reading requests.
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
  std::optional<double> appliedShare_;
  ServerStatus lastStatus_;
  std::optional<membership::Duration> lastSampleAt_;
  double queueingRatio_ = 0;  ///< exponentially weighted moving average
  net::Reactor::Timer timer_;
};

}  // namespace rainhook::server
