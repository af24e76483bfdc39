#include "peers/client_connections.h"

#include <algorithm>
#include <utility>

#include "peers/response_encoder.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;

/// The amount of pending output above which the server does not read from the connection.
constexpr std::size_t maxPendingBytes = 32 * 1024;
/// How long a client may keep an idle connection open after it was asked to close it.
constexpr Duration closeRequestTimeout = 1s;
/// How long a client may do so if it never sent a message. The protocol requires such a client to react
/// within 50 ms.
constexpr Duration closeRequestTimeoutWhenNeverUsed = 150ms;
/// How long the server waits for the client to close its side after it has shut down its own.
constexpr Duration peerCloseTimeout = 500ms;
/// How long a client may send no message after it has connected, and no further bytes of a partial message.
constexpr Duration inactivityTimeout = 2s;

}  // namespace

bool ClientConnection::isIdle() const { return openRequests.empty() && connection->pendingBytes() == 0; }

bool ClientConnection::hasExcessivePendingOutput() const {
  return connection->pendingBytes() > maxPendingBytes;
}

ClientConnections::ClientConnections(logging::Log& log, Listener& listener, Limits limits,
                                     std::optional<Duration> longestClientTimeout)
    : log_(log),
      listener_(listener),
      limits_(limits),
      maxMessageDuration_(inactivityTimeout + longestClientTimeout.value_or(inactivityTimeout)) {}

void ClientConnections::add(ConnectionId id, std::shared_ptr<net::Connection> connection) {
  ClientConnection& client = connections_[id];
  client.connection = std::move(connection);
  client.lastUsedAt = net::Reactor::Clock::now();
  client.leastRecentlyUsedPosition = neverUsed_.insert(neverUsed_.end(), id);
}

ClientConnection* ClientConnections::find(ConnectionId id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

bool ClientConnections::hasIdle() const {
  return std::ranges::any_of(connections_, [](const auto& entry) { return entry.second.isIdle(); });
}

std::vector<ConnectionId> ClientConnections::allIds() const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, client] : connections_) ids.push_back(id);
  return ids;
}

void ClientConnections::markUsed(ClientConnection& client) {
  client.lastUsedAt = net::Reactor::Clock::now();
  used_.splice(used_.end(), client.hasSentMessage ? used_ : neverUsed_, client.leastRecentlyUsedPosition);
  client.hasSentMessage = true;
}

void ClientConnections::onHalfClosed(ConnectionId id) {
  ClientConnection& client = connections_.at(id);
  client.isHalfClosed = true;
  if (client.isIdle()) remove(id);
}

void ClientConnections::resumeReading(ConnectionId id) {
  const ClientConnection* client = find(id);
  if (client && !client->hasExcessivePendingOutput() && !client->hasViolatedProtocol)
    client->connection->resumeReading();
}

void ClientConnections::remove(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const ClientConnection client = std::move(it->second);
  connections_.erase(it);
  (client.hasSentMessage ? used_ : neverUsed_).erase(client.leastRecentlyUsedPosition);
  client.connection->close();
  listener_.onConnectionRemoved(client);
}

bool ClientConnections::evictIdle() { return evictIdleFrom(neverUsed_) || evictIdleFrom(used_); }

// A connection that is in use is moved to the end of the list, so that many simultaneous new connections do
// not each scan all open connections.
bool ClientConnections::evictIdleFrom(LeastRecentlyUsedList& candidates) {
  for (std::size_t remaining = candidates.size(); remaining > 0 && !candidates.empty(); --remaining) {
    const ConnectionId id = candidates.front();
    ++connectionsScanned_;
    // Before the decision, reads what the client has already sent. The eviction does not wait for the client
    // to close its side, because a new connection needs the descriptor now.
    if (const auto& client = connections_.at(id); client.isIdle()) client.connection->readNow();
    const ClientConnection* client = find(id);
    if (!client) return true;  // the connection ended during the read
    if (client->isIdle()) {
      remove(id);
      return true;
    }
    if (!candidates.empty() && candidates.front() == id)
      candidates.splice(candidates.end(), candidates, candidates.begin());
  }
  return false;
}

void ClientConnections::requestClose(ClientConnection& client) {
  if (client.closeRequestedAt) return;
  client.closeRequestedAt = net::Reactor::Clock::now();
  client.connection->write(encodeCloseRequest());
}

void ClientConnections::startDraining() {
  isDraining_ = true;
  for (auto& [id, client] : connections_) requestClose(client);
}

void ClientConnections::closeIdle() {
  for (const ConnectionId id : allIds()) closeGracefully(id);
}

// Connections that the client has not closed and that are not broken are closed in this way; only an eviction
// and the output limit close such a connection immediately. The server first reads everything that the
// client has sent, because closing a socket with unread input resets the connection and drops responses that
// are in transit. If this input contains a request, the request is served and the connection stays open.
// Otherwise the server shuts down its sending side and serves no further requests. The socket is closed when
// the client closes its side or after `peerCloseTimeout`.
void ClientConnections::closeGracefully(ConnectionId id) {
  const ClientConnection* before = find(id);
  if (!before || before->shutdownAt) return;
  const auto lastPartialBytesAt = before->lastPartialBytesAt;
  before->connection->readNow();
  ClientConnection* client = find(id);
  if (!client || !client->isIdle() || client->lastPartialBytesAt != lastPartialBytesAt) return;
  if (client->isHalfClosed) return remove(id);
  client->shutdownAt = net::Reactor::Clock::now();
  client->connection->shutdownSend();
}

// Closes the connections with the most pending output until the total is within its limit.
void ClientConnections::limitPendingOutput() {
  std::size_t pendingBytes = 0;
  for (const auto& [id, client] : connections_) pendingBytes += client.connection->pendingBytes();
  while (pendingBytes > limits_.pendingOutputBytes) {
    const auto slowest =
        std::max_element(connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
          return left.second.connection->pendingBytes() < right.second.connection->pendingBytes();
        });
    const std::size_t connectionBytes = slowest->second.connection->pendingBytes();
    pendingBytes -= connectionBytes;
    log_.message(logging::LogCategory::listener,
                 "client connection closed: the client does not read its responses, {} bytes of output are "
                 "pending; the limit for all clients is {} bytes",
                 connectionBytes, limits_.pendingOutputBytes);
    remove(slowest->first);
  }
}

ClientConnections::SweepAction ClientConnections::sweepActionFor(const ClientConnection& client,
                                                                 ClientConnection::TimePoint now) const {
  if (client.shutdownAt)
    return now - *client.shutdownAt > peerCloseTimeout ? SweepAction::remove : SweepAction::none;
  if (!client.isIdle()) return SweepAction::none;
  // A slow message is allowed: as long as bytes arrive, it may take as long as its client waits for the
  // response.
  const bool isMessageStuck =
      client.partialMessageSince && (now - *client.lastPartialBytesAt > inactivityTimeout ||
                                     now - *client.partialMessageSince > maxMessageDuration_);
  const bool ignoresCloseRequest =
      client.closeRequestedAt && !client.partialMessageSince &&
      now - std::max(*client.closeRequestedAt, client.lastUsedAt) >
          (client.hasSentMessage ? closeRequestTimeout : closeRequestTimeoutWhenNeverUsed);
  if (isMessageStuck || client.isHalfClosed || client.hasViolatedProtocol || ignoresCloseRequest)
    return SweepAction::closeGracefully;
  const auto idleFor = now - client.lastUsedAt;
  const bool isInactive =
      !client.hasSentMessage && !client.partialMessageSince && idleFor > inactivityTimeout;
  const bool isIdleTooLong = idleTimeout_ && idleFor > *idleTimeout_;
  return isInactive || isIdleTooLong || isDraining_ ? SweepAction::requestClose : SweepAction::none;
}

void ClientConnections::sweep() {
  const auto now = net::Reactor::Clock::now();
  const auto all = allIds();
  std::vector<ConnectionId> toClose;
  std::vector<ConnectionId> toRemove;
  for (auto& [id, client] : connections_) {
    const SweepAction action = sweepActionFor(client, now);
    if (action == SweepAction::requestClose) requestClose(client);
    if (action == SweepAction::closeGracefully) toClose.push_back(id);
    if (action == SweepAction::remove) toRemove.push_back(id);
  }
  for (const ConnectionId id : toClose) closeGracefully(id);
  for (const ConnectionId id : toRemove) remove(id);
  limitPendingOutput();
  for (const ConnectionId id : all) resumeReading(id);
}

}  // namespace rainhook::peers
