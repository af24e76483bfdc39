#include "server/engine_command_dispatcher.h"

namespace rainhook::server {

void EngineCommandDispatcher::send(InFlightRequest& request, EngineCommand command) {
  request.lastCommand = command;
  request.lastCommandAt = net::Reactor::Clock::now();
  request.wasCommandSent = transmit(request, command);
}

bool EngineCommandDispatcher::transmit(const InFlightRequest& request, EngineCommand command) {
  const std::string& name = request.incoming.name;
  switch (command) {
    case EngineCommand::startExecution:
      return engine_.startExecution(
          name, deployment_.handlerNames[static_cast<std::size_t>(request.incoming.handler)],
          request.incoming.body);
    case EngineCommand::deliverReply:
      return engine_.deliverReply(name, request.downstreamPayload);
    case EngineCommand::continueWithoutReply:
      return engine_.continueWithoutReply(name, request.callNotification);
    case EngineCommand::none:
      break;
  }
  return false;
}

std::vector<RequestId> EngineCommandDispatcher::findUnconfirmed(const RequestTable& requests) const {
  std::vector<RequestId> unconfirmed;
  for (const auto& [id, request] : requests.all()) {
    if (request.lastCommand == EngineCommand::none) continue;
    if (!request.wasCommandSent || engine_.mayBeLost(request.lastCommandAt)) unconfirmed.push_back(id);
  }
  return unconfirmed;
}

CommandRecovery EngineCommandDispatcher::recover(InFlightRequest& request) {
  const EngineCommand command = request.lastCommand;
  if (request.wasCommandSent && command == EngineCommand::deliverReply) {
    request.lastCommand = EngineCommand::none;
    request.isReplyUncertain = true;
    return CommandRecovery::replyUncertain;
  }
  if (request.wasCommandSent && command == EngineCommand::startExecution && !isIdempotent(request))
    return CommandRecovery::executionUncertain;
  send(request, command);
  return CommandRecovery::sentAgain;
}

bool EngineCommandDispatcher::isIdempotent(const InFlightRequest& request) const {
  const auto handler = static_cast<std::size_t>(request.incoming.handler);
  return deployment_.handlerPolicies[handler].idempotency == Idempotency::idempotent;
}

}  // namespace rainhook::server
