/// @file
/// Commands to the execution engine, and which of them may have been lost with a connection.
#pragma once

#include <vector>

#include "configuration/deployment_settings.h"
#include "peers/execution_engine_client.h"
#include "server/request_table.h"

namespace rainhook::server {

/// Sends commands to the engine and remembers the last one with its request, so that it can be sent again
/// after a reconnect. Used from the event loop's thread only.
class EngineCommandDispatcher {
 public:
  /// The references must outlive this object.
  EngineCommandDispatcher(peers::ExecutionEngineClient& engine, const DeploymentSettings& deployment)
      : engine_(engine), deployment_(deployment) {}

  /// Sends a command and remembers it. Without a connection it is only remembered.
  void send(InFlightRequest& request, EngineCommand command);

  /// The requests whose last command the engine may not have read: it was not sent, or it went to a
  /// connection that is lost and nothing shows that it was read.
  std::vector<RequestId> findUnconfirmed(const RequestTable& requests) const;

  /// Sends an unconfirmed command again. False, and nothing is sent, for the start of an execution that must
  /// not run twice and may have begun.
  [[nodiscard]] bool resend(InFlightRequest& request);

 private:
  bool transmit(const InFlightRequest& request, EngineCommand command);

  peers::ExecutionEngineClient& engine_;
  const DeploymentSettings& deployment_;
};

}  // namespace rainhook::server
