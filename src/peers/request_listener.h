/// @file
/// The server's front: accepts the clients' connections, hands their requests to a listener, and sends the
/// responses. Framed Thrift; the protocol's names are in request_protocol.h.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/buffer_pool.h"
#include "net/connection.h"
#include "net/reactor.h"
#include "peers/client_connections.h"
#include "peers/incoming_request.h"
#include "peers/request_decoder.h"
#include "peers/response_encoder.h"

namespace rainhook::peers {

/// The id under which a request was admitted to the server, or why it was not.
using AdmitResult = std::variant<RequestId, FailureReason>;

/// Accepts connections and requests. Used on the reactor's thread only. The reactor, the pool, the log and
/// the listener must outlive it.
class RequestListener : private ClientConnections::Listener {
 public:
  /// Is told of requests and of clients that no longer wait for them.
  struct Listener {
    virtual ~Listener() = default;
    /// A valid request came. May send its response at once. Where a reason is returned, the request is
    /// answered as failed for that reason.
    virtual AdmitResult onRequest(IncomingRequest&& request) = 0;
    /// The client has cancelled the request or its connection has ended; a response would go nowhere.
    virtual void onClientDisconnected(RequestId id) = 0;
  };
  /// What all connections together may use.
  using Limits = ClientConnections::Limits;

  /// Does not listen yet.
  RequestListener(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                  RequestRules rules, Limits limits);

  /// Binds the address and accepts from now on.
  /// @throws Poco::Exception where the address can't be bound.
  void listen(const Poco::Net::SocketAddress& address);
  /// Where it listens; the port is the real one where 0 was asked for.
  Poco::Net::SocketAddress address() const { return serverSocket_.address(); }

  /// @name Responses
  /// The first for a request is sent, further ones are dropped, as are those for a connection that has ended.
  /// @{

  /// The request has completed.
  void sendResult(ResponseHandle handle, std::string_view result);
  /// The request was shed: the client is to send nothing for `retryAfter`, and to make no further attempt for
  /// this request where `discourageRetry` is set.
  void sendShed(ResponseHandle handle, Duration retryAfter, bool discourageRetry);
  /// The request has failed.
  void sendFailure(ResponseHandle handle, FailureReason reason);

  /// @}

  /// What responses and health checks tell from now on.
  void setHealth(bool isHealthy) { status_.isHealthy = isHealthy; }
  /// As set last; true from the start.
  bool isHealthy() const { return status_.isHealthy; }
  /// Sent with every response from now on.
  void setLoadSignal(double value) { status_.loadSignal = value; }
  /// Clients are asked to close connections that were idle for this long.
  void setIdleTimeout(Duration timeout) { connections_.setIdleTimeout(timeout); }

  /// Connection draining: every client is asked to close its connection once it has its responses. New
  /// connections are still accepted, since a client may be on its way.
  void startDraining() { connections_.startDraining(); }
  /// Closes the listening socket once all that the system accepted has been taken.
  /// @return false while there is more to take; to be called again then.
  [[nodiscard]] bool stopListening();
  /// Closes connections on which nothing is open, without waiting for the clients to do it.
  void closeIdleConnections() { connections_.closeIdle(); }
  /// How many clients are connected.
  std::size_t openConnections() const { return connections_.size(); }
  /// How many connections were looked at so far to make room for others.
  std::uint64_t entriesScanned() const { return connections_.entriesScanned(); }

 private:
  void onAcceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { acceptPending(); }
  void acceptPending();
  void setAccepting(bool shouldAccept);
  void openConnection(Poco::Net::StreamSocket socket);
  net::ConnectionCallbacks callbacksFor(ConnectionId id);
  void onConnectionClosed(ConnectionId id, net::CloseReason reason, const std::string& detail);
  void onConnectionRemoved(const ClientConnection& client) override;
  void sweep();

  std::size_t onData(ConnectionId id, std::string_view bytes);
  std::size_t handleFrame(ConnectionId id, std::string_view bytes);
  void handle(ConnectionId id, const CallMessage& message);
  void handle(ConnectionId id, const HealthCheckMessage& message);
  void handle(ConnectionId id, const CancelMessage& message);
  void handle(ConnectionId id, const UnknownMethodMessage& message);
  void rejectInvalid(ConnectionId id, std::int32_t sequenceNumber, const InvalidRequest& fault);
  void respond(ResponseHandle handle, std::string_view message);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& listener_;
  Poco::Net::ServerSocket serverSocket_;
  Poco::NObserver<RequestListener, Poco::Net::ReadableNotification> acceptObserver_{
      *this, &RequestListener::onAcceptable};
  bool isListening_ = false;
  bool isAccepting_ = false;
  ClientConnections connections_;
  const RequestDecoder decoder_;
  ServerStatus status_;
  std::uint32_t lastConnectionId_ = 0;
  net::Reactor::Timer sweepTimer_;
};

}  // namespace rainhook::peers
