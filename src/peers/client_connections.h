/// @file
/// The open connections of the clients: which of them are idle, slow or misbehaving, and which gives way.
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
  /// A steady time.
  using TimePoint = net::Reactor::Clock::time_point;

  /// Never null.
  std::shared_ptr<net::Connection> connection;
  /// By sequence number. A request leaves when it is answered, cancelled, or the connection ends.
  std::map<std::int32_t, RequestId> openRequests;
  /// When it was opened, a message came, or a response was given.
  TimePoint lastUsedAt;
  /// When the client was asked to close it.
  std::optional<TimePoint> closeRequestedAt;
  /// Since when the beginning of a message has been there without its end.
  std::optional<TimePoint> partialMessageSince;
  /// When the last bytes of a partial message came.
  std::optional<TimePoint> lastPartialBytesAt;
  /// When our side was shut down; the client's may still be open.
  std::optional<TimePoint> shutdownAt;
  /// The client has shut down its side, and may still read responses.
  bool isHalfClosed = false;
  /// Whether a whole message has come from the client.
  bool hasSentMessage = false;
  /// Its open requests are answered; nothing more is read.
  bool hasViolatedProtocol = false;
  /// Its place in the list of those that were used longest ago.
  std::list<ConnectionId>::iterator leastRecentlyUsedPosition;

  /// Whether no request is open on it and no response waits to be sent.
  [[nodiscard]] bool isIdle() const;
  /// Whether so much output waits that it is not read until the client has read some of it.
  [[nodiscard]] bool hasFullBacklog() const;
};

/// Owns the connections, and decides which is asked to close, closed, or evicted. Used on the reactor's
/// thread only.
class ClientConnections {
 public:
  /// Is told of every connection that ends, for whatever reason.
  struct Listener {
    virtual ~Listener() = default;
    /// The connection is closed and no longer among the others.
    virtual void onConnectionRemoved(const ClientConnection& client) = 0;
  };

  /// What all connections together may use.
  struct Limits {
    /// Open at once.
    std::size_t connections = 0;
    /// Bytes that wait to be sent, over all connections.
    std::size_t pendingOutputBytes = 0;
  };

  /// No message may take much longer to arrive than `longestClientTimeout`, since nobody waits for it any
  /// more; none where no handler is known. The log and the listener must outlive the connections.
  ClientConnections(logging::Log& log, Listener& listener, Limits limits,
                    std::optional<Duration> longestClientTimeout);

  /// Adds a connection that was just accepted; its id must be new.
  void add(ConnectionId id, std::shared_ptr<net::Connection> connection);
  /// @return null where the connection has ended.
  [[nodiscard]] ClientConnection* find(ConnectionId id);
  /// @throws std::out_of_range where the connection has ended.
  [[nodiscard]] ClientConnection& at(ConnectionId id) { return connections_.at(id); }
  /// How many are open.
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  /// Whether no more may be added.
  [[nodiscard]] bool isFull() const { return connections_.size() >= limits_.connections; }
  /// Whether evictIdle() may find one.
  [[nodiscard]] bool hasIdle() const;

  /// A message came, or a response was given.
  void markUsed(ClientConnection& client);
  /// The client has shut down its side. It may still read responses, so only an idle connection ends by it.
  void onHalfClosed(ConnectionId id);
  /// Reads on where reading was paused for a backlog that has been sent since.
  void resumeReading(ConnectionId id);
  /// Closes the connection and tells the listener; does nothing where it has ended already.
  void remove(ConnectionId id);

  /// Closes the idle connection that was used longest ago, first among those that never sent a message.
  /// @return false where none is idle.
  bool evictIdle();
  /// From now on every client is asked to close its connection once it has its responses.
  void startDraining();
  /// Closes idle connections without waiting for the clients to do it.
  void closeIdle();
  /// None: idle connections stay open.
  void setIdleTimeout(std::optional<Duration> timeout) { idleTimeout_ = timeout; }
  /// To be called every `sweepInterval`: closes what is overdue, asks idle clients to close, bounds the
  /// output and resumes paused connections.
  void sweep();
  /// The time between two calls of sweep().
  static constexpr Duration sweepInterval = std::chrono::milliseconds(100);

  /// How many connections were looked at so far by evictIdle().
  [[nodiscard]] std::uint64_t entriesScanned() const { return entriesScanned_; }

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
  /// Least recently used first; each connection is in one of the two.
  LeastRecentlyUsedList neverUsed_, used_;
  bool isDraining_ = false;
  std::optional<Duration> idleTimeout_;
  std::uint64_t entriesScanned_ = 0;
};

}  // namespace rainhook::peers
