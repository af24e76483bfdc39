/// @file
/// What a member persists over its restarts, in a store of its own: up to which incarnation it may go, and
/// which members it knew last.
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

/// Another process has the state folder open.
struct StateLockedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reserves incarnations in steps of many, ahead of need and before the first message, so that an incarnation
/// that is sent is durable already and sending waits for no write. Membership holds to the reservation; this
/// class decides nothing. Where nothing can be written the member goes on like one without a state folder: it
/// learns its incarnation from the others, and the log says so.
///
/// Belongs to the reactor's thread.
class IncarnationStore {
 public:
  /// Nothing is persisted where the place names no state folder. Reactor and log must outlive this.
  IncarnationStore(net::Reactor& reactor, logging::Log& log, const membership::MembershipSettings& place);
  ~IncarnationStore();
  IncarnationStore(const IncarnationStore&) = delete;
  IncarnationStore& operator=(const IncarnationStore&) = delete;

  /// Reads what the earlier process left and reserves incarnations for this one. May wait for the disk, so
  /// call it before the reactor runs. Throws StateLockedError.
  membership::PersistedIdentity open();
  /// Persists the state of this member from now on; it must outlive this.
  void startPersisting(membershipTransport::MembershipTransport& members);

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
  const membership::MembershipSettings place_;
  std::unique_ptr<store::Store> store_;  // null where nothing is persisted
  membershipTransport::MembershipTransport* members_ = nullptr;
  std::uint64_t reservedIncarnation_ = 0;
  std::string writtenKnownMembers_;
  std::chrono::nanoseconds knownMembersWrittenAt_{};
  bool isReserving_ = false;
  bool hasFailed_ = false;  // the last reservation could not be written
  net::Reactor::Timer updateTimer_;
};

}  // namespace rainhook::server
