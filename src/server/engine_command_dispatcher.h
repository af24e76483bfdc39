/// @file
/// Sends commands to the execution engine and finds those that may have been lost with a connection.
#pragma once

#include <vector>

#include "configuration/deployment_settings.h"
#include "peers/execution_engine_client.h"
#include "server/request_table.h"

namespace rainhook::server {

/// What became of a command that the engine may not have read.
enum class CommandRecovery {
  sentAgain,           ///< It was sent again.
  executionUncertain,  ///< Not sent again: an execution that must not run twice may have started.
  replyUncertain       ///< Not sent again: the execution may have received this downstream reply.
};

/// Sends commands to the engine and records the last command of each request, so that it can be sent again
/// after a reconnect. Must be used on the event-loop thread only.
class EngineCommandDispatcher {
 public:
  /// The referenced objects must outlive this object.
  EngineCommandDispatcher(peers::ExecutionEngineClient& engine, const DeploymentSettings& deployment)
      : engine_(engine), deployment_(deployment) {}

  /// Records a command in the request and sends it if there is a connection to the engine.
  void send(InFlightRequest& request, EngineCommand command);

  /// Returns the requests whose last command the engine may not have read. Such a command was not sent, or it
  /// was sent on a connection that has been lost and no later message shows that the engine read it.
  std::vector<RequestId> findUnconfirmed(const RequestTable& requests) const;

  /// Sends an unconfirmed command again if that is safe even if the engine has read it: the start of an
  /// idempotent execution, and the command to continue without a reply, which names its call. A reply names
  /// no call, so an execution that has received it would take it for the reply to its next call.
  [[nodiscard]] CommandRecovery recover(InFlightRequest& request);

 private:
  bool isIdempotent(const InFlightRequest& request) const;
  bool transmit(const InFlightRequest& request, EngineCommand command);

  peers::ExecutionEngineClient& engine_;
  const DeploymentSettings& deployment_;
};

}  // namespace rainhook::server
