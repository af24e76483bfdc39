// This server among the others: says what it does, as its digest, and takes from who is there what share of
// the dependency it may use. It decides neither: membership does.
#pragma once

#include "membership/share.h"
#include "membership_transport/membership_transport.h"
#include "server/incarnation_store.h"
#include "server/request_server.h"

namespace rainhook::server {

// What to say to whoever stated a zone in a region in which it does not stand: one line with file, line, key.
std::string astray(const membership::MembersPlace& place, const membership::Card& other);

class MembershipService {
 public:
  // `chance` is a number drawn at the start of this process. Throws KeptElsewhere; may wait for the disk.
  MembershipService(net::Reactor& reactor, logging::Log& log, const membership::MembersPlace& place,
                    RequestServer& server, int servers, std::uint64_t chance);
  ~MembershipService();
  // Throws Poco::Exception where the address can't be had.
  void open();
  // The notice to leave: it spreads before the server stops reading.
  void leave();

 private:
  void look();

  net::Reactor& reactor_;
  logging::Log& log_;
  RequestServer& server_;
  const membership::Span every_, lease_;
  const membership::MembersPlace place_;
  IncarnationStore kept_;
  net::BufferPool pool_;
  membershipTransport::MembershipTransport members_;
  membership::DependencyShare share_;
  std::optional<double> said_;
  ServerStatus before_;
  std::optional<membership::Span> lookedAt_;
  double heldBack_ = 0;
  net::Reactor::Timer next_;
};

}  // namespace rainhook::server
