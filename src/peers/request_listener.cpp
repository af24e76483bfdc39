#include "peers/request_listener.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "codec/protocol_error.h"
#include "codec/thrift.h"

namespace rainhook::peers {
namespace {

constexpr std::size_t maxFrameBytes = 8 * 1024;
constexpr std::size_t maxOpenRequestsPerConnection = 32;
constexpr int listenBacklog = 512;
constexpr int maxAcceptsPerIteration = 64;
/// The size of the operating system's buffer for each direction of a connection.
constexpr int socketBufferBytes = 64 * 1024;

std::optional<Duration> longestClientTimeout(const RequestRules& rules) {
  if (rules.clientTimeouts.empty()) return std::nullopt;
  return *std::ranges::max_element(rules.clientTimeouts);
}

}  // namespace

RequestListener::RequestListener(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                 Listener& listener, RequestRules rules, Limits limits)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      listener_(listener),
      connections_(log, *this, limits, longestClientTimeout(rules)),
      decoder_(std::move(rules)) {}

void RequestListener::listen(const Poco::Net::SocketAddress& address) {
  serverSocket_.bind(address, true);
  serverSocket_.listen(listenBacklog);
  serverSocket_.setBlocking(false);
  isListening_ = true;
  setAccepting(true);
  sweepTimer_ = reactor_.after(ClientConnections::sweepInterval, [this] { sweep(); });
}

void RequestListener::setAccepting(bool shouldAccept) {
  if (std::exchange(isAccepting_, shouldAccept) == shouldAccept) return;
  if (shouldAccept)
    reactor_.addEventHandler(serverSocket_, acceptObserver_);
  else
    reactor_.removeEventHandler(serverSocket_, acceptObserver_);
}

// Evicts an idle connection when the connection limit is reached or an accept fails. If none is idle, pauses
// accepting until a connection ends or a sweep finds an idle one.
void RequestListener::acceptPending() {
  try {
    for (int i = 0; i < maxAcceptsPerIteration; ++i) {
      if (!serverSocket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      if (connections_.isFull() && !connections_.evictIdle()) {
        log_.message(logging::LogCategory::listener,
                     "{} client connections are open and none is idle: accepting connections is paused",
                     connections_.size());
        return setAccepting(false);
      }
      openConnection(serverSocket_.acceptConnection());
    }
  } catch (const Poco::Exception& error) {
    log_.message(logging::LogCategory::listener, "accepting a client connection failed: {}",
                 error.displayText());
    if (!connections_.evictIdle()) setAccepting(false);
  }
}

// Configures the socket before it adds the connection, so that nothing remains if the operating system
// rejects the configuration.
void RequestListener::openConnection(Poco::Net::StreamSocket socket) {
  const ConnectionId id{++lastConnectionId_};
  socket.setSendBufferSize(socketBufferBytes);
  socket.setReceiveBufferSize(socketBufferBytes);
  connections_.add(id, net::Connection::fromAccepted(reactor_, pool_, socket, callbacksFor(id)));
}

net::ConnectionCallbacks RequestListener::callbacksFor(ConnectionId id) {
  net::ConnectionCallbacks callbacks;
  callbacks.onData = [this, id](std::string_view bytes) { return onData(id, bytes); };
  callbacks.onClosed = [this, id](net::CloseReason reason, const std::string& detail) {
    onConnectionClosed(id, reason, detail);
  };
  callbacks.onSent = [this, id] { connections_.resumeReading(id); };
  callbacks.onHalfClosed = [this, id] { connections_.onHalfClosed(id); };
  return callbacks;
}

void RequestListener::onConnectionClosed(ConnectionId id, net::CloseReason reason,
                                         const std::string& detail) {
  if (reason == net::CloseReason::protocolError && connections_.find(id))
    log_.message(logging::LogCategory::listener, "client connection closed: {}", detail);
  connections_.remove(id);
}

void RequestListener::onConnectionRemoved(const ClientConnection& client) {
  for (const auto& [sequenceNumber, request] : client.openRequests) listener_.onClientDisconnected(request);
  if (isListening_) setAccepting(true);
}

void RequestListener::sweep() {
  sweepTimer_ = reactor_.after(ClientConnections::sweepInterval, [this] { sweep(); });
  connections_.sweep();
  if (isListening_ && (!connections_.isFull() || connections_.hasIdle())) setAccepting(true);
}

bool RequestListener::stopListening() {
  if (!isListening_) return true;
  const auto lastBefore = lastConnectionId_;
  acceptPending();
  if (lastConnectionId_ != lastBefore ||
      serverSocket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    return false;
  setAccepting(false);
  serverSocket_.close();
  isListening_ = false;
  return true;
}

std::size_t RequestListener::onData(ConnectionId id, std::string_view bytes) {
  try {
    return handleFrame(id, bytes);
  } catch (const codec::ProtocolError& error) {
    // Complete requests before the invalid message are still answered; all further input is discarded.
    log_.message(logging::LogCategory::listener,
                 "invalid message from a client: {}; closing its connection after its open requests",
                 error.what());
    ClientConnection& client = connections_.at(id);
    client.hasViolatedProtocol = true;
    client.partialMessageSince.reset();
    client.connection->discardInput();
    return bytes.size();
  }
}

std::size_t RequestListener::handleFrame(ConnectionId id, std::string_view bytes) {
  ClientConnection& client = connections_.at(id);
  // Pauses reading from a client that does not read its responses.
  if (client.hasExcessivePendingOutput()) {
    client.connection->pauseReading();
    return 0;
  }
  const auto frame = codec::thrift::readFrame(bytes, maxFrameBytes);
  if (!frame) {
    const auto now = net::Reactor::Clock::now();
    if (!client.partialMessageSince) client.partialMessageSince = now;
    client.lastPartialBytesAt = now;
    return 0;
  }
  client.partialMessageSince.reset();
  connections_.markUsed(client);
  std::visit([this, id](const auto& message) { handle(id, message); }, decodeClientMessage(frame->content));
  return frame->size;
}

void RequestListener::handle(ConnectionId id, const HealthCheckMessage& message) {
  connections_.at(id).connection->write(encodeHealth(message.sequenceNumber, status_));
}

void RequestListener::handle(ConnectionId id, const CancelMessage& message) {
  auto& openRequests = connections_.at(id).openRequests;
  const auto it = openRequests.find(message.sequenceNumber);
  if (it == openRequests.end()) return;  // the request was answered or never sent
  const RequestId request = it->second;
  openRequests.erase(it);
  listener_.onClientDisconnected(request);
}

void RequestListener::handle(ConnectionId id, const UnknownMethodMessage& message) {
  connections_.at(id).connection->write(encodeUnknownMethod(message));
}

void RequestListener::handle(ConnectionId id, const CallMessage& message) {
  ClientConnection& client = connections_.at(id);
  // The client would interpret any response with this number as the response to the open request, so the
  // connection must be closed without one. Throws another type than ProtocolError, because the connection
  // stays open for the responses to open requests after a ProtocolError.
  if (client.openRequests.contains(message.sequenceNumber))
    throw std::invalid_argument("sequence number " + std::to_string(message.sequenceNumber) +
                                " belongs to a request that is still open");
  if (client.openRequests.size() >= maxOpenRequestsPerConnection)
    return rejectInvalid(id, message.sequenceNumber, {InvalidRequest::Reason::tooManyOpenRequests, {}});
  auto decoded = decoder_.decode(message.body, std::chrono::system_clock::now());
  if (const auto* fault = std::get_if<InvalidRequest>(&decoded))
    return rejectInvalid(id, message.sequenceNumber, *fault);

  auto& request = std::get<IncomingRequest>(decoded);
  const ResponseHandle handle{id, message.sequenceNumber};
  request.response = handle;
  // Registers the request before the listener is called, because the listener may respond during the call.
  client.openRequests.emplace(message.sequenceNumber, RequestId{});
  const AdmitResult result = listener_.onRequest(std::move(request));
  if (const auto* admitted = std::get_if<RequestId>(&result))
    client.openRequests[message.sequenceNumber] = *admitted;
  else
    sendFailure(handle, std::get<FailureReason>(result));
}

void RequestListener::rejectInvalid(ConnectionId id, std::int32_t sequenceNumber,
                                    const InvalidRequest& fault) {
  log_.message(logging::LogCategory::listener, "invalid request rejected: {}", describe(fault));
  connections_.at(id).connection->write(encodeInvalidRequest(sequenceNumber, fault));
}

void RequestListener::respond(ResponseHandle handle, std::string_view message) {
  ClientConnection* client = connections_.find(handle.connection);
  if (!client || client->openRequests.erase(handle.sequenceNumber) == 0) return;
  connections_.markUsed(*client);
  client->connection->write(message);
}

void RequestListener::sendResult(ResponseHandle handle, std::string_view result) {
  respond(handle, encodeResult(handle.sequenceNumber, result, status_));
}

void RequestListener::sendShed(ResponseHandle handle, Duration retryAfter, bool discourageRetry) {
  respond(handle, encodeShed(handle.sequenceNumber, retryAfter, discourageRetry, status_));
}

void RequestListener::sendFailure(ResponseHandle handle, FailureReason reason) {
  respond(handle, encodeFailure(handle.sequenceNumber, reason, status_));
}

}  // namespace rainhook::peers
