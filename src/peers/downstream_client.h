/// @file
/// Calls of the downstream service over HTTP.
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

/// Makes each call on a connection of its own, which is closed with it. A kept connection may bring late
/// bytes of the previous reply, or may have been forgotten by the peer while idle, which can't be told from a
/// call that was executed; a new one can't. Used on the reactor's thread only; the reactor, the pool, the log
/// and the listener must outlive it.
class DownstreamClient {
 public:
  /// Is told how calls end.
  struct Listener {
    virtual ~Listener() = default;
    /// The call has ended, `duration` after it began; `reply` is empty where the service did not answer.
    virtual void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration duration,
                                       std::string&& reply) = 0;
  };

  /// Without an address, where there is no downstream service, every call is unreachable; so are calls beyond
  /// `maxOpenCalls`.
  DownstreamClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                   std::optional<net::Connection::Address> address, std::size_t maxOpenCalls);

  /// Begins a call; its end comes to the listener, never from within this function. Cancels the request's
  /// previous call.
  void call(RequestId id, const std::string& requestName, Duration timeout, std::string_view body);
  /// The call, if there is one, ends without the listener being told.
  void cancel(RequestId id);
  /// Calls from now on go there; open ones end where they are.
  void setAddress(std::optional<net::Connection::Address> address) { address_ = std::move(address); }
  /// How many calls have not ended.
  std::size_t openCalls() const { return calls_.size(); }

 private:
  struct Call {
    /// Null where the call could not be made.
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
  /// A call leaves when it ends or is cancelled.
  std::map<RequestId, Call> calls_;
};

}  // namespace rainhook::peers
