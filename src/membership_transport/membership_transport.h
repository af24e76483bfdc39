/// @file
/// The sockets of membership: datagrams for probes and gossip, and connections for the full state and for
/// queries of the view of this instance. All messages are authenticated. src/membership decides what to send.
///
/// Bounds: datagrams of 1,400 bytes, and 24 exchanges by connection, each limited to 5 seconds and
/// maxFrameBytes. A message that cannot be verified is dropped and counted, and never answered.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "logging/log.h"
#include "membership/membership.h"
#include "membership/membership_settings.h"
#include "membership_transport/message_authenticator.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::membershipTransport {

/// Runs one member on the thread of the event loop.
class MembershipTransport {
 public:
  /// Receives the events about this member or another one.
  using EventCallback = std::function<void(const membership::MembershipEvent&)>;

  /// Creates the transport without binding an address.
  /// @param reactor the event loop; must outlive this object
  /// @param pool the buffers of the connections; must outlive this object
  /// @param log receives each event, and statistics about every 10 probe intervals; must outlive this object
  /// @param settings the member's name, addresses, zone, seeds and keys
  /// @param identity the identity that earlier processes of this member persisted
  /// @param processId a random number that identifies this process
  /// @param onEvent called for each event after the event was logged
  MembershipTransport(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                      membership::MembershipSettings settings, const membership::PersistedIdentity& identity,
                      std::uint64_t processId, EventCallback onEvent);
  ~MembershipTransport();
  MembershipTransport(const MembershipTransport&) = delete;
  MembershipTransport& operator=(const MembershipTransport&) = delete;

  /// Binds the address and joins.
  /// @throws Poco::Exception if the address cannot be bound
  void open();
  /// Replaces the status that this member publishes.
  void publishStatus(const membership::MemberStatus& status) { membership_.publishStatus(status); }
  /// Announces that this member leaves. The sockets stay open until destruction.
  void leave();
  /// Allows incarnations up to this one, whose reservation must be on disk.
  void reserveUpTo(membership::Incarnation incarnation) { membership_.reserveUpTo(incarnation); }
  /// Returns the fleet in the view of this member; valid for the lifetime of this object.
  [[nodiscard]] const membership::Membership& membership() const { return membership_; }

 private:
  using ExchangeId = std::uint64_t;
  static constexpr ExchangeId noExchange = 0;

  /// A connection for one request and its answer. It ends with the answer, when the connection fails, or at
  /// the timeout.
  struct Exchange {
    std::shared_ptr<net::Connection> connection;
    std::string received;  ///< the received part of an incomplete frame
    net::Reactor::Timer timeout;
  };
  struct Counters {
    std::uint64_t datagramsReceived = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsUnsent = 0;
    std::uint64_t bytesSent = 0;  ///< in datagrams
    std::uint64_t stateBytesSent = 0;
    std::uint64_t invalidMessages = 0;
    std::uint64_t rejectedExchanges = 0;
  };

  static membership::Duration now();

  // Events of the event loop
  void onDatagramsReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void onConnectionsAcceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  std::size_t onExchangeData(ExchangeId id, std::string_view bytes);
  void onTimer();

  // Messages
  void onSignedMessage(std::string_view bytes, ExchangeId exchange);
  void onQuery(std::string_view payload, ExchangeId exchange);
  [[nodiscard]] std::string answerTo(const std::string& query, const std::string& memberName) const;
  void dropInvalid(ExchangeId exchange);

  // Exchanges
  void beginExchange(ExchangeId id, std::shared_ptr<net::Connection> connection);
  void endExchange(ExchangeId id);
  net::ConnectionCallbacks callbacksOf(ExchangeId id);

  // Effects
  void applyEffects(const membership::Effects& effects, ExchangeId exchange);
  void send(const membership::OutgoingMessage& message, ExchangeId exchange);
  void sendReply(const std::string& signedMessage, ExchangeId exchange);
  void sendDatagram(const std::string& signedMessage, const net::Connection::Address& address);
  void sendByConnection(const std::string& signedMessage, const net::Connection::Address& address);
  void report(const membership::MembershipEvent& event);
  void reportStatistics();
  void scheduleTimer();
  [[nodiscard]] std::optional<net::Connection::Address> addressOf(
      const membership::OutgoingMessage& message) const;

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  const membership::MembershipSettings settings_;
  membership::Membership membership_;
  MessageAuthenticator authenticator_;
  const EventCallback onEvent_;
  Poco::Net::DatagramSocket datagrams_;
  Poco::Net::ServerSocket listener_;
  Poco::NObserver<MembershipTransport, Poco::Net::ReadableNotification> datagramObserver_{
      *this, &MembershipTransport::onDatagramsReadable};
  Poco::NObserver<MembershipTransport, Poco::Net::ReadableNotification> acceptObserver_{
      *this, &MembershipTransport::onConnectionsAcceptable};
  std::map<ExchangeId, Exchange> exchanges_;
  ExchangeId lastExchange_ = noExchange;
  net::Reactor::Timer timer_;
  bool isOpen_ = false;
  Counters counters_;
  Counters lastReported_;  ///< the counters at the time of the last statistics
  membership::Duration lastStatisticsAt_{};
};

}  // namespace rainhook::membershipTransport
