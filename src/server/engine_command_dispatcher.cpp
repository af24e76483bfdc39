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

bool EngineCommandDispatcher::resend(InFlightRequest& request) {
  const HandlerPolicy& handler =
      deployment_.handlerPolicies[static_cast<std::size_t>(request.incoming.handler)];
  const bool isRepeatable = request.lastCommand != EngineCommand::startExecution ||
                            handler.idempotency == Idempotency::idempotent || !request.wasCommandSent;
  if (isRepeatable) send(request, request.lastCommand);
  return isRepeatable;
}

}  // namespace rainhook::server
