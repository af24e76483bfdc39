// The other instances: datagrams for probes and rumours, connections for the full state and for those who ask
// what we see, all under the keys of the seal. What is decided is decided in membership; here it is sent and
// heard.
//
// Bounds: datagrams of 1,400 bytes, incoming connections mostAsked, outgoing mostAsking, each within
// connectionLasts and mostState bytes. What does not verify is dropped and counted, never answered.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "logging/log.h"
#include "membership/membership.h"
#include "membership/place.h"
#include "membership_transport/message_authenticator.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::membershipTransport {

class MembershipTransport {
 public:
  using Changed = std::function<void(const membership::Change&)>;
  // `chance` is a number drawn at the start of this process.
  MembershipTransport(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                      membership::MembersPlace place, const membership::Earlier& earlier,
                      std::uint64_t chance, Changed changed);
  ~MembershipTransport();

  // Binds its address and joins; throws Poco::Exception where that can't be had.
  void open();
  void say(const membership::Digest& digest) { core_.say(now(), digest); }
  void leave();
  void mayGoTo(membership::Incarnation ceiling) { core_.mayGoTo(ceiling); }
  const membership::Membership& core() const { return core_; }
  bool doubtful() const { return core_.doubtful(now()); }

 private:
  struct Talk {
    std::shared_ptr<net::Connection> connection;
    std::string bytes;  // of a message that is not whole yet
    net::Reactor::Timer late;
  };
  using Talks =
      std::map<std::uint64_t, Talk>;  // a talk leaves when it is answered, breaks or is over its time

  static membership::Span now();
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void heard(std::string_view bytes, std::uint64_t talk);
  void asked(std::string_view bytes, std::uint64_t talk);
  void carry(const membership::Membership::Out& out, std::uint64_t talk);
  void turn();
  void figures();
  void set();
  net::ConnectionCallbacks talking(std::uint64_t number);
  Talk& enter(std::uint64_t number);
  std::size_t came(std::uint64_t number, std::string_view bytes);
  void end(std::uint64_t number);
  std::optional<net::Connection::Address> whereIs(const membership::MemberName& to,
                                                  const membership::Address& address) const;
  std::string told(const std::string& what, const std::string& name) const;

  static constexpr std::size_t mostTalks = 24, readsATurn = 256;
  static constexpr net::Reactor::Wait connectionLasts = std::chrono::seconds(5);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  const membership::MembersPlace place_;
  membership::Membership core_;
  MessageAuthenticator seal_;
  const Changed changed_;
  Poco::Net::DatagramSocket datagrams_;
  Poco::Net::ServerSocket listener_;
  Poco::NObserver<MembershipTransport, Poco::Net::ReadableNotification> onRead_{
      *this, &MembershipTransport::readable},
      onAccept_{*this, &MembershipTransport::acceptable};
  Talks talks_;
  std::uint64_t numbered_ = 0;
  net::Reactor::Timer next_;
  bool open_ = false;
  struct Counts {
    std::uint64_t datagrams = 0, spoilt = 0, sent = 0, sentBytes = 0, stateBytes = 0, unsent = 0,
                  turnedAway = 0;
  } counts_;
  Counts before_;  // at the last figures
  membership::Span figuresAt_{};
};

// An address without a name look-up; nothing where it is none.
std::optional<Poco::Net::SocketAddress> literal(const std::string& text);

// What a message between instances begins with, behind the seal.
inline constexpr char forMembers = 'M', question = 'Q', answerTo = 'R';
// The bytes of a message on a connection: its length, then itself.
std::string framed(std::string_view sealed);

}  // namespace rainhook::membershipTransport
