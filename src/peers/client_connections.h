/// @file
/// The open client connections: tracks which of them are idle, slow or in violation of the protocol, and
/// selects those to close or evict.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"
#include "peers/incoming_request.h"

namespace rainhook::peers {

/// One accepted connection and the requests that are open on it.
struct ClientConnection {
  /// A point in time on the steady clock.
  using TimePoint = net::Reactor::Clock::time_point;

  /// The connection; never null.
  std::shared_ptr<net::Connection> connection;
  /// The open requests by sequence number. A request is removed when it is answered or cancelled, or when the
  /// connection ends.
  std::map<std::int32_t, RequestId> openRequests;
  /// The time of the accept, the last received message or the last response, whichever is latest.
  TimePoint lastUsedAt;
  /// The time at which the client was asked to close the connection.
  std::optional<TimePoint> closeRequestedAt;
  /// The time since which a message has been received only in part.
  std::optional<TimePoint> partialMessageSince;
  /// The time at which the last bytes of a partial message arrived.
  std::optional<TimePoint> lastPartialBytesAt;
  /// The time at which the server shut down its sending side; the client's side may still be open.
  std::optional<TimePoint> shutdownAt;
  /// Whether the client has shut down its sending side. It may still read responses.
  bool isHalfClosed = false;
  /// Whether the client has sent a complete message.
  bool hasSentMessage = false;
  /// Whether the client has violated the protocol. Its open requests are answered, but no more input is read.
  bool hasViolatedProtocol = false;
  /// The position of the connection in its list of least recently used connections.
  std::list<ConnectionId>::iterator leastRecentlyUsedPosition;

  /// Returns whether no request is open and no output is pending.
  [[nodiscard]] bool isIdle() const;
  /// Returns whether so much output is pending that the server does not read from the connection until the
  /// client has read some of the output.
  [[nodiscard]] bool hasExcessivePendingOutput() const;
};

/// Owns the client connections and decides which of them are asked to close, closed or evicted. Must be used
/// on the event-loop thread only.
class ClientConnections {
 public:
  /// Receives a notification of every connection that ends, whatever the reason.
  struct Listener {
    virtual ~Listener() = default;
    /// Called after the connection was closed and removed.
    virtual void onConnectionRemoved(const ClientConnection& client) = 0;
  };

  /// The limits of all connections together.
  struct Limits {
    /// The number of connections that may be open at the same time.
    std::size_t connections = 0;
    /// The number of bytes of output that may be pending, over all connections.
    std::size_t pendingOutputBytes = 0;
  };

  /// `longestClientTimeout` is none if no handler is known. A message may take only slightly longer than this
  /// time to arrive, because its client then no longer waits for a response. The log and the listener must
  /// outlive this object.
  ClientConnections(logging::Log& log, Listener& listener, Limits limits,
                    std::optional<Duration> longestClientTimeout);

  /// Adds a newly accepted connection, whose id must not have been used before.
  void add(ConnectionId id, std::shared_ptr<net::Connection> connection);
  /// @return the connection, or null if it has ended.
  [[nodiscard]] ClientConnection* find(ConnectionId id);
  /// @return the connection.
  /// @throws std::out_of_range if the connection has ended.
  [[nodiscard]] ClientConnection& at(ConnectionId id) { return connections_.at(id); }
  /// @return the number of open connections.
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  /// @return whether the limit of connections is reached.
  [[nodiscard]] bool isFull() const { return connections_.size() >= limits_.connections; }
  /// @return whether a connection is idle, so that evictIdle() may succeed.
  [[nodiscard]] bool hasIdle() const;

  /// Records that a message was received or a response was sent.
  void markUsed(ClientConnection& client);
  /// Records that the client has shut down its sending side. An idle connection is closed; on any other the
  /// client may still read responses.
  void onHalfClosed(ConnectionId id);
  /// Resumes reading if it was paused because of pending output, enough of which has been sent since.
  void resumeReading(ConnectionId id);
  /// Closes the connection and notifies the listener. Does nothing if the connection has ended.
  void remove(ConnectionId id);

  /// Closes the least recently used idle connection. Connections that never sent a message are evicted before
  /// all others.
  /// @return false if no connection is idle.
  bool evictIdle();
  /// Asks every client, including those that connect later, to close its connection after its last response.
  void startDraining();
  /// Starts to close all idle connections gracefully, even if their clients have not been asked to close
  /// them.
  void closeIdle();
  /// Sets how long a connection may be idle; without a timeout, idle connections stay open.
  void setIdleTimeout(std::optional<Duration> timeout) { idleTimeout_ = timeout; }
  /// Closes connections that have exceeded a time limit, asks idle clients to close theirs, enforces the
  /// output limit and resumes reading. Must be called every `sweepInterval`.
  void sweep();
  /// The time between two calls of sweep().
  static constexpr Duration sweepInterval = std::chrono::milliseconds(100);

  /// @return how many connections evictIdle() has visited so far.
  [[nodiscard]] std::uint64_t connectionsScanned() const { return connectionsScanned_; }

 private:
  using LeastRecentlyUsedList = std::list<ConnectionId>;
  enum class SweepAction { none, requestClose, closeGracefully, remove };

  [[nodiscard]] SweepAction sweepActionFor(const ClientConnection& client,
                                           ClientConnection::TimePoint now) const;
  [[nodiscard]] std::vector<ConnectionId> allIds() const;
  bool evictIdleFrom(LeastRecentlyUsedList& candidates);
  void closeGracefully(ConnectionId id);
  void limitPendingOutput();
  static void requestClose(ClientConnection& client);

  logging::Log& log_;
  Listener& listener_;
  const Limits limits_;
  const Duration maxMessageDuration_;
  std::map<ConnectionId, ClientConnection> connections_;
  /// The connections in order of their last use, least recent first. Each connection is in one of the two
  /// lists.
  LeastRecentlyUsedList neverUsed_, used_;
  bool isDraining_ = false;
  std::optional<Duration> idleTimeout_;
  std::uint64_t connectionsScanned_ = 0;
};

}  // namespace rainhook::peers
