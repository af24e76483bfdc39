/// @file
/// Accepts client connections, passes their requests to a listener and sends the responses. The protocol is
/// framed Thrift; request_protocol.h contains its names.
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

/// The id of an admitted request, or the reason why it was not admitted.
using AdmitResult = std::variant<RequestId, FailureReason>;

/// Accepts connections and requests. Must be used on the event-loop thread only. The reactor, the pool, the
/// log and the listener must outlive this object.
class RequestListener : private ClientConnections::Listener {
 public:
  /// Receives requests and notifications of clients that no longer wait for a response.
  struct Listener {
    virtual ~Listener() = default;
    /// Called when a valid request has arrived. The listener may send the response during this call. If it
    /// returns a reason, RequestListener sends a failure with that reason to the client.
    virtual AdmitResult onRequest(IncomingRequest&& request) = 0;
    /// Called when the client has cancelled the request or its connection has ended. A response to the
    /// request would be dropped.
    virtual void onClientDisconnected(RequestId id) = 0;
  };
  /// The limits of all connections together.
  using Limits = ClientConnections::Limits;

  /// Does not listen; see listen().
  RequestListener(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                  RequestRules rules, Limits limits);

  /// Binds the address and starts to accept connections.
  /// @throws Poco::Exception if the address cannot be bound.
  void listen(const Poco::Net::SocketAddress& address);
  /// Returns the bound address, including the port that the system chose if port 0 was requested.
  Poco::Net::SocketAddress address() const { return serverSocket_.address(); }

  /// @name Responses
  /// Only the first response to a request is sent. Further responses, and those for a connection that has
  /// ended, are dropped.
  /// @{

  /// Sends the result of a completed request.
  void sendResult(ResponseHandle handle, std::string_view result);
  /// Reports that the request was shed. The client should send nothing for `retryAfter`, and should make no
  /// further attempt for this request if `discourageRetry` is set.
  void sendShed(ResponseHandle handle, Duration retryAfter, bool discourageRetry);
  /// Reports that the request failed.
  void sendFailure(ResponseHandle handle, FailureReason reason);

  /// @}

  /// Sets the health that responses and health checks report.
  void setHealth(bool isHealthy) { status_.isHealthy = isHealthy; }
  /// Returns the health that was set last; initially true.
  bool isHealthy() const { return status_.isHealthy; }
  /// Sets the load signal that is sent with every response.
  void setLoadSignal(double value) { status_.loadSignal = value; }
  /// Sets the idle time after which a client is asked to close its connection.
  void setIdleTimeout(Duration timeout) { connections_.setIdleTimeout(timeout); }

  /// Starts connection draining: asks every client to close its connection after its last response. New
  /// connections are still accepted, because a client may already be connecting.
  void startDraining() { connections_.startDraining(); }
  /// Accepts the connections that are in the operating system's accept queue and closes the listening socket
  /// when the queue is empty.
  /// @return false if the queue may not be empty; the function must then be called again.
  [[nodiscard]] bool stopListening();
  /// Starts to close all connections without open requests or pending output, even if their clients have not
  /// been asked to close them.
  void closeIdleConnections() { connections_.closeIdle(); }
  /// Returns the number of open client connections.
  std::size_t openConnections() const { return connections_.size(); }
  /// Returns how many connections have been visited so far to find idle ones to evict.
  std::uint64_t connectionsScanned() const { return connections_.connectionsScanned(); }

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
  ReportedStatus status_;
  std::uint32_t lastConnectionId_ = 0;
  net::Reactor::Timer sweepTimer_;
};

}  // namespace rainhook::peers
