/// @file
/// The connection to the execution engine, the agent that owns the cores and executes requests.
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

/// Sends commands to the engine and takes its notifications, each once, by their numbers. The connection is
/// made again whenever it breaks. Used on the reactor's thread only; the reactor, the pool, the log and the
/// listener must outlive it.
class ExecutionEngineClient {
 public:
  /// Is told what the engine says.
  struct Listener {
    virtual ~Listener() = default;
    /// After each handshake: the engine started `sinceStart` ago, with cold caches or not.
    virtual void onEngineConnected(bool isColdStart, Duration sinceStart) = 0;
    /// After each onEngineConnected(): every notification that had been missed has been taken.
    virtual void onNotificationsCaughtUp() = 0;
    /// An execution has ended; `duration` is the engine's own measure.
    virtual void onExecutionEnded(const std::string& name, Outcome outcome, Duration duration,
                                  std::string&& result) = 0;
    /// An execution waits for the reply to a downstream call; `notification` is the number to give to
    /// continueWithoutReply().
    virtual void onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                           std::string&& body) = 0;
    /// The answer to requestGauges() of the same id; the values are in the order that the settings state.
    virtual void onGauges(std::uint64_t requestId, const std::vector<double>& values) = 0;
    /// A command for this request was not carried out: the engine knows no such request, or does not allow
    /// it.
    virtual void onCommandRejected(const std::string& name, EngineCommandKind command) = 0;
  };

  /// Does not connect yet.
  ExecutionEngineClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& listener,
                        const net::Connection::Address& address);

  /// Begins to connect; to be called once.
  void connect();
  /// The engine is reached there from now on; its executions and notifications go on.
  void setAddress(const net::Connection::Address& address);

  /// @name Commands
  /// They return false where there is no connection to send them on; whoever gave them gives them again after
  /// onNotificationsCaughtUp() where they still hold.
  /// @{

  /// The engine executes the request with the body as input.
  [[nodiscard]] bool startExecution(const std::string& name, const std::string& handler,
                                    std::string_view body);
  /// Continues an execution that waits for this reply.
  [[nodiscard]] bool deliverReply(const std::string& name, std::string_view reply);
  /// Continues an execution without the reply that it asked for by this notification.
  [[nodiscard]] bool continueWithoutReply(const std::string& name, std::uint64_t notification);

  /// @}

  /// The answer comes by Listener::onGauges(), or never.
  void requestGauges(std::uint64_t requestId);
  /// Whether the handshake is done and no gauge request has gone unanswered for a second: an engine that
  /// hangs keeps its connection.
  [[nodiscard]] bool isResponsive() const;
  /// Whether what was sent at that time may never have been read: it went to a connection that is gone, and
  /// no gauge request made later has been answered.
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
  bool holdsAfterReading(const std::function<bool()>& condition);

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
  /// What was sent before this time has been read by the engine.
  net::Reactor::Clock::time_point readByEngineUntil_{};
  net::Reactor::Clock::time_point connectedAt_{};
  /// When the first gauge request was made after the engine last sent anything.
  std::optional<net::Reactor::Clock::time_point> unansweredSince_;
  net::Reactor::Timer reconnectTimer_;
  net::Reactor::Timer handshakeTimer_;
};

}  // namespace rainhook::peers
