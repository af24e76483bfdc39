/// @file
/// The connection to the execution engine, the process that owns the cores and executes requests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"
#include "peers/execution_engine_protocol.h"

namespace rainhook::peers {

/// Sends commands to the engine and processes its notifications, each of them once, identified by their
/// numbers. Reconnects whenever the connection is lost. Must be used on the event-loop thread only. The
/// reactor, the pool, the log and the listener must outlive this object.
class ExecutionEngineClient {
 public:
  /// Receives the messages of the engine.
  struct Listener {
    virtual ~Listener() = default;
    /// Called after each handshake. The engine started `sinceStart` ago; `isColdStart` states whether its
    /// caches were cold then.
    virtual void onEngineConnected(bool isColdStart, Duration sinceStart) = 0;
    /// Called after each onEngineConnected(), when all missed notifications have been processed.
    virtual void onNotificationsCaughtUp() = 0;
    /// Called when an execution has ended. The engine measured `duration`.
    virtual void onExecutionEnded(const std::string& name, Outcome outcome, Duration duration,
                                  std::string&& result) = 0;
    /// Called when an execution waits for the reply to a downstream call. `notification` is the number to
    /// pass to continueWithoutReply().
    virtual void onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                           std::string&& body) = 0;
    /// Called with the response to the requestGauges() call of the same id. The values are in the order of
    /// the gauges in the settings.
    virtual void onGauges(std::uint64_t requestId, const std::vector<double>& values) = 0;
    /// Called when the engine did not execute a command, because it does not know the request or does not
    /// allow the command. Also called, with the kind `unknown`, when an execution requested a downstream call
    /// with an unreadable body.
    virtual void onCommandRejected(const std::string& name, EngineCommandKind command) = 0;
  };

  /// Does not connect; see connect().
  ExecutionEngineClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                        const net::Connection::Address& address);

  /// Starts to connect. Must be called once.
  void connect();
  /// Changes the address of the engine and reconnects if it differs. Executions and notifications continue.
  void setAddress(const net::Connection::Address& address);

  /// @name Commands
  /// Each returns false if it could not be sent because there is no connection or too much output is pending.
  /// The caller sends it again after onNotificationsCaughtUp() if it is still needed.
  /// @{

  /// Starts the execution of the request with the body as input.
  [[nodiscard]] bool startExecution(const std::string& name, const std::string& handler,
                                    std::string_view body);
  /// Continues an execution that waits for this reply.
  [[nodiscard]] bool deliverReply(const std::string& name, std::string_view reply);
  /// Continues an execution without the reply that it requested by the notification of this number.
  [[nodiscard]] bool continueWithoutReply(const std::string& name, std::uint64_t notification);

  /// @}

  /// Requests the engine's gauges. Listener::onGauges() receives the response, if one arrives.
  void requestGauges(std::uint64_t requestId);
  /// Returns whether the handshake is done and no gauge request has been unanswered for more than a second.
  /// The state of the connection is not sufficient, because an engine that hangs keeps its connection.
  [[nodiscard]] bool isResponsive() const;
  /// Returns whether the engine may not have read a message that was sent at that time: the connection has
  /// been lost since, and no gauge request that was sent after the message has been answered.
  [[nodiscard]] bool mayBeLost(net::Reactor::Clock::time_point sentAt) const {
    return sentAt < connectedAt_ && sentAt >= readByEngineUntil_;
  }

 private:
  std::size_t onData(std::string_view bytes);
  void handle(const EngineHandshake& message);
  void handle(EngineExecutionEnded& message);
  void handle(EngineDownstreamCallRequested& message);
  void handle(const EngineInformation& message);
  void handle(const EngineCaughtUp& message);
  void handle(const EngineGauges& message);
  void handle(const EngineCommandRejected& message);
  void handle(const EngineUnknownMessage& message);
  bool acknowledge(NotificationNumber number);
  bool send(std::string_view message);
  void onConnectionLost(const std::string& detail);
  void reconnect(const std::string& reason);
  bool isTrueAfterReading(const std::function<bool()>& condition);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& listener_;
  net::Connection::Address address_;
  std::shared_ptr<net::Connection> connection_;
  bool isHandshakeDone_ = false;
  bool isCatchingUp_ = false;
  bool isLossLogged_ = false;
  std::uint64_t lastNotification_ = 0;
  std::uint64_t lastGaugeRequest_ = 0;
  net::Reactor::Clock::time_point lastGaugeRequestAt_{};
  /// The engine has read all messages that were sent before this time.
  net::Reactor::Clock::time_point readByEngineUntil_{};
  net::Reactor::Clock::time_point connectedAt_{};
  /// The time of the first gauge request after the last message from the engine; none if there was no such
  /// request.
  std::optional<net::Reactor::Clock::time_point> unansweredSince_;
  net::Reactor::Timer reconnectTimer_;
  net::Reactor::Timer handshakeTimer_;
};

}  // namespace rainhook::peers
