/// @file
/// Calls the downstream service over HTTP.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

/// Opens a separate connection for each call and closes it when the call ends. On a reused connection, late
/// bytes of the previous reply could arrive. The peer could also have dropped it while it was idle, which
/// cannot be distinguished from a connection that is lost after the peer executed the call. Neither can
/// happen on a new connection. Must be used on the event-loop thread only. The reactor, the pool, the log and
/// the listener must outlive this object.
class DownstreamClient {
 public:
  /// Receives the outcomes of calls.
  struct Listener {
    virtual ~Listener() = default;
    /// Called when a call has ended, `duration` after its start. `reply` is empty if the service sent none.
    virtual void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration duration,
                                       std::string&& reply) = 0;
  };

  /// If there is no address, because the deployment has no downstream service, every call ends with the
  /// outcome `unreachable`. So does every call beyond `maxOpenCalls`.
  DownstreamClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                   std::optional<net::Connection::Address> address, std::size_t maxOpenCalls);

  /// Starts a call after cancelling the previous call of the request. The listener receives the outcome
  /// later, never during this function.
  void call(RequestId id, const std::string& requestName, Duration timeout, std::string_view body);
  /// Ends the open call of the request, if any, without notifying the listener.
  void cancel(RequestId id);
  /// Sets the address for subsequent calls. Open calls keep their connections.
  void setAddress(std::optional<net::Connection::Address> address) { address_ = std::move(address); }
  /// Returns the number of open calls.
  std::size_t openCalls() const { return calls_.size(); }

 private:
  struct Call {
    /// The connection, or null if the call could not be made.
    std::shared_ptr<net::Connection> connection;
    net::Reactor::Clock::time_point startedAt;
    net::Reactor::Timer timeoutTimer;
  };

  void connect(Call& call, RequestId id, const net::Connection::Address& address);
  std::size_t onData(RequestId id, std::string_view bytes);
  void onConnectionClosed(RequestId id, net::CloseReason reason, const std::string& detail);
  void onTimeout(RequestId id);
  void finish(RequestId id, Outcome outcome, std::string&& reply);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& listener_;
  std::optional<net::Connection::Address> address_;
  const std::size_t maxOpenCalls_;
  /// The open calls. A call is removed when it ends or is cancelled.
  std::map<RequestId, Call> calls_;
};

}  // namespace rainhook::peers
