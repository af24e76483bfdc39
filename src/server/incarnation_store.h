// What a member keeps on the disk over its restarts, in a store of its own: how far its incarnation may go,
// and whom it knew last. It decides nothing: membership holds the ceiling.
//
// The ceiling is written in steps of many, ahead of need and before the first word, so that what is said is
// on the disk and saying it waits for none. Where nothing can be written the member goes on as one without a
// disk does, learns from the others what was said of it, and the log says so.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "logging/log.h"
#include "membership/membership.h"
#include "membership/membership_settings.h"
#include "membership_transport/membership_transport.h"
#include "net/reactor.h"
#include "store/store.h"

namespace rainhook::server {

// The folder is another process's.
struct StateLockedError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class IncarnationStore {
 public:
  // Nothing is kept where the place names no folder.
  IncarnationStore(net::Reactor& reactor, logging::Log& log, const membership::MembershipSettings& place);
  ~IncarnationStore();
  IncarnationStore(const IncarnationStore&) = delete;
  IncarnationStore& operator=(const IncarnationStore&) = delete;

  // Reads what the earlier life left and keeps the ceiling of this one. May wait for the disk, so before the
  // reactor runs. Throws KeptElsewhere.
  membership::PersistedIdentity open();
  // Keeps up with this member from now on.
  void follow(membershipTransport::MembershipTransport& members);

 private:
  void look();
  void keepCeiling(std::uint64_t ceiling);
  void keepKnown();
  std::string key(const char* what) const;
  void say(const char* what, const std::string& why);

  net::Reactor& reactor_;
  logging::Log& log_;
  const membership::MembershipSettings place_;
  std::unique_ptr<store::Store> store_;
  membershipTransport::MembershipTransport* members_ = nullptr;
  std::uint64_t ceiling_ = 0;
  std::string known_;
  membership::Duration knownAt_{};
  bool writing_ = false, failed_ = false;
  net::Reactor::Timer next_;
};

}  // namespace rainhook::server
