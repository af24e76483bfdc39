/// @file
/// The state that a member persists across restarts in its own store: the highest reserved incarnation and
/// the members that it knew last.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "logging/log.h"
#include "membership/membership.h"
#include "membership/membership_settings.h"
#include "membership_transport/membership_transport.h"
#include "net/reactor.h"
#include "store/store.h"

namespace rainhook::server {

/// Reports that another process has the state folder open.
struct StateLockedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reserves many incarnations with one write, before they are needed and before the first message. An
/// incarnation is therefore durable before it is sent, and sending never waits for a write. Membership
/// respects the reservation; this class makes no decisions. If writing fails, the member continues like one
/// without a state folder: it learns its incarnation from the other members, and the log reports the failure.
///
/// Runs on the reactor's thread.
class IncarnationStore {
 public:
  /// Persists nothing if the settings name no state folder. The reactor and the log must outlive this object.
  IncarnationStore(net::Reactor& reactor, logging::Log& log, const membership::MembershipSettings& settings);
  ~IncarnationStore();
  IncarnationStore(const IncarnationStore&) = delete;
  IncarnationStore& operator=(const IncarnationStore&) = delete;

  /// Reads the state of the previous process and reserves incarnations for this one. It may block on the
  /// disk, so call it before the reactor runs.
  /// @throws StateLockedError if another process has the state folder open
  membership::PersistedIdentity open();
  /// Persists the state of this member from now on; the transport must outlive this object.
  void startPersisting(membershipTransport::MembershipTransport& transport);

 private:
  using KnownMembers = std::vector<membership::KnownMember>;

  bool openStore();
  std::uint64_t readReservedIncarnation();
  KnownMembers readKnownMembers() const;
  void update();
  void reserveUpTo(std::uint64_t incarnation);
  void onReservationWritten(std::uint64_t incarnation, const store::StoreStatus& status);
  void writeKnownMembers();
  std::string describeKnownMembers() const;
  std::string storeKey(const char* prefix) const;
  void logEvent(const char* event, const std::string& reason);

  net::Reactor& reactor_;
  logging::Log& log_;
  const membership::MembershipSettings settings_;
  std::unique_ptr<store::Store> store_;  // null if nothing is persisted
  membershipTransport::MembershipTransport* transport_ = nullptr;
  std::uint64_t reservedIncarnation_ = 0;
  std::string writtenKnownMembers_;
  std::chrono::nanoseconds knownMembersWrittenAt_{};
  bool isReserving_ = false;
  bool hasFailed_ = false;  // whether the last reservation could not be written
  net::Reactor::Timer updateTimer_;
};

}  // namespace rainhook::server
