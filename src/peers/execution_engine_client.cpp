#include "peers/execution_engine_client.h"

#include <fmt/format.h>

#include <utility>

#include "codec/json_lines.h"
#include "codec/protocol_error.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;

constexpr net::Reactor::Wait reconnectDelay = 50ms;
/// How long the client waits for the handshake, or for any message after a gauge request, before it
/// reconnects.
constexpr net::Reactor::Wait responseTimeout = 3s;
/// How long a gauge request may be unanswered while the engine still counts as responsive.
constexpr net::Reactor::Wait responsiveTimeout = 1s;
/// The amount of pending output above which commands are not sent.
constexpr std::size_t maxPendingBytes = 1 << 20;
/// The maximum length of an unknown message's kind in the log.
constexpr std::size_t loggedKindLength = 40;

std::int64_t milliseconds(net::Reactor::Wait wait) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
}

}  // namespace

ExecutionEngineClient::ExecutionEngineClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                             Listener& listener, const net::Connection::Address& address)
    : reactor_(reactor), pool_(pool), log_(log), listener_(listener), address_(address) {}

void ExecutionEngineClient::connect() {
  net::ConnectionCallbacks callbacks;
  callbacks.onData = [this](std::string_view bytes) { return onData(bytes); };
  callbacks.onClosed = [this](net::CloseReason, const std::string& detail) { onConnectionLost(detail); };
  isHandshakeDone_ = false;
  unansweredSince_.reset();
  // The process at the other end may have ended although the connection was established. In that case no
  // handshake arrives, and a new connection replaces this one.
  handshakeTimer_ = reactor_.after(responseTimeout, [this] {
    if (isTrueAfterReading([this] { return !isHandshakeDone_; }))
      reconnect(fmt::format("no handshake within {} ms", milliseconds(responseTimeout)));
  });
  connection_ = net::Connection::connectTo(address_, reactor_, pool_, std::move(callbacks));
  connection_->write(encodeSubscription(lastNotification_));
}

void ExecutionEngineClient::setAddress(const net::Connection::Address& address) {
  if (address == std::exchange(address_, address)) return;
  reconnectTimer_.cancel();
  if (connection_) connection_->close();
  connect();
}

void ExecutionEngineClient::reconnect(const std::string& reason) {
  connection_->close();
  onConnectionLost(reason);
}

void ExecutionEngineClient::onConnectionLost(const std::string& detail) {
  handshakeTimer_.cancel();
  if (!std::exchange(isLossLogged_, true))
    log_.message(logging::LogCategory::engine, "connection to the execution engine lost: {}; reconnecting",
                 detail);
  isHandshakeDone_ = false;
  connection_.reset();
  reconnectTimer_ = reactor_.after(reconnectDelay, [this] { connect(); });
}

bool ExecutionEngineClient::send(std::string_view message) {
  if (!isHandshakeDone_ || connection_->pendingBytes() > maxPendingBytes) return false;
  connection_->write(message);
  return true;
}

bool ExecutionEngineClient::startExecution(const std::string& name, const std::string& handler,
                                           std::string_view body) {
  return send(encodeStartExecution(name, handler, body));
}

bool ExecutionEngineClient::deliverReply(const std::string& name, std::string_view reply) {
  return send(encodeDeliverReply(name, reply));
}

bool ExecutionEngineClient::continueWithoutReply(const std::string& name, std::uint64_t notification) {
  return send(encodeContinueWithoutReply(name, notification));
}

void ExecutionEngineClient::requestGauges(std::uint64_t requestId) {
  const auto now = net::Reactor::Clock::now();
  const auto isOverdue = [&] {
    return isHandshakeDone_ && unansweredSince_ && now - *unansweredSince_ > responseTimeout;
  };
  if (isOverdue() && isTrueAfterReading(isOverdue))
    return reconnect(
        fmt::format("no response to gauge requests within {} ms", milliseconds(responseTimeout)));
  lastGaugeRequest_ = requestId;
  lastGaugeRequestAt_ = now;
  if (!unansweredSince_) unansweredSince_ = now;
  send(encodeGaugeRequest(requestId));
}

bool ExecutionEngineClient::isResponsive() const {
  const bool isOverdue =
      unansweredSince_ && net::Reactor::Clock::now() - *unansweredSince_ > responsiveTimeout;
  return isHandshakeDone_ && !isOverdue;
}

// Reads all available input before it evaluates the condition, because messages that arrived in time may be
// unread after the machine was paused. Returns false if the connection was replaced meanwhile.
bool ExecutionEngineClient::isTrueAfterReading(const std::function<bool()>& condition) {
  const auto connection = connection_;
  connection->readNow();
  return connection == connection_ && condition();
}

/// Records the notification as processed; the next subscription acknowledges it to the engine.
/// @return false if the notification has been processed before.
bool ExecutionEngineClient::acknowledge(NotificationNumber number) {
  if (!number) throw codec::ProtocolError("notification of the execution engine without a valid number");
  if (*number <= lastNotification_) return false;
  if (*number > lastNotification_ + 1)
    log_.message(logging::LogCategory::engine,
                 "notifications {} to {} of the execution engine were not received; continuing with {}",
                 lastNotification_ + 1, *number - 1, *number);
  lastNotification_ = *number;
  return true;
}

std::size_t ExecutionEngineClient::onData(std::string_view bytes) {
  const auto line = codec::jsonLines::readLine(bytes);
  if (!line) return 0;
  unansweredSince_.reset();
  auto message = decodeEngineMessage(line->object);
  std::visit([this](auto& typed) { handle(typed); }, message);
  return line->size;
}

void ExecutionEngineClient::handle(const EngineHandshake& message) {
  isHandshakeDone_ = true;
  isCatchingUp_ = true;
  handshakeTimer_.cancel();
  isLossLogged_ = false;
  connectedAt_ = net::Reactor::Clock::now();
  log_.message(logging::LogCategory::engine,
               "connected to the execution engine, whose state at its start was {}", message.startState);
  listener_.onEngineConnected(message.wasColdStart, message.sinceStart);
  send(encodeCatchUpRequest());
}

void ExecutionEngineClient::handle(EngineExecutionEnded& message) {
  if (message.unknownOutcome)
    log_.message(logging::LogCategory::engine,
                 "execution of request {} ended with the unknown outcome {}; treated as failed",
                 message.requestName, *message.unknownOutcome);
  if (acknowledge(message.number))
    listener_.onExecutionEnded(message.requestName, message.outcome, message.duration,
                               std::move(message.result));
}

void ExecutionEngineClient::handle(EngineDownstreamCallRequested& message) {
  if (!acknowledge(message.number)) return;
  // A call with an unreadable body cannot be made, so its request ends like one with a rejected command.
  if (message.body)
    listener_.onDownstreamCallRequested(message.requestName, lastNotification_, std::move(*message.body));
  else
    listener_.onCommandRejected(message.requestName, EngineCommandKind::unknown);
}

void ExecutionEngineClient::handle(const EngineInformation& message) { acknowledge(message.number); }

void ExecutionEngineClient::handle(const EngineCaughtUp&) {
  if (std::exchange(isCatchingUp_, false)) listener_.onNotificationsCaughtUp();
}

void ExecutionEngineClient::handle(const EngineGauges& message) {
  if (message.requestId == lastGaugeRequest_) readByEngineUntil_ = lastGaugeRequestAt_;
  listener_.onGauges(message.requestId, message.values);
}

void ExecutionEngineClient::handle(const EngineCommandRejected& message) {
  log_.message(logging::LogCategory::engine, "execution engine rejected command {} for request {}",
               message.command, message.requestName);
  listener_.onCommandRejected(message.requestName, message.kind);
}

void ExecutionEngineClient::handle(const EngineUnknownMessage& message) {
  log_.message(logging::LogCategory::engine, "message of unknown kind {} from the execution engine ignored",
               message.kind.substr(0, loggedKindLength));
  if (message.isNotification) acknowledge(message.number);
}

}  // namespace rainhook::peers
