// The part of RequestServer that performs the actions of the admission policy.
#include <utility>

#include "server/request_server.h"

namespace rainhook::server {
namespace {

using OriginalState = DeduplicationCache::OriginalState;

}  // namespace

void RequestServer::perform(const StartExecution& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr || request->state != RequestState::queued) return;
  request->state = RequestState::executing;
  request->wasStarted = true;
  request->stateSince = net::Reactor::Clock::now();
  engineCommands_.send(*request, EngineCommand::startExecution);
}

void RequestServer::perform(const ShedRequest& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr || !request->isResponsePending) return;
  statistics_.onRequestShed();
  requestListener_.sendShed(request->incoming.response, action.retryAfter, action.discourageRetry);
  endResponse(action.id, *request);
}

void RequestServer::perform(const FailRequest& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr || !request->isResponsePending) return;
  statistics_.onRequestFailed();
  requestListener_.sendFailure(request->incoming.response, peers::FailureReason::failedByPolicy);
  endResponse(action.id, *request);
}

// The engine's protocol cannot cancel an execution, so a cancelled one continues until it ends or reaches its
// next downstream call. If the engine itself cancels an execution, it reports the outcome `cancelled`.
void RequestServer::perform(const CancelExecution&) {}

void RequestServer::perform(const CallDownstream& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr || request->state != RequestState::downstreamCallRequested) return;
  request->state = RequestState::callingDownstream;
  statistics_.onDownstreamCallStarted();
  downstreamClient_.call(action.id, request->incoming.name, action.timeout, request->downstreamPayload);
}

void RequestServer::perform(const SkipDownstreamCall& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr) return;
  const bool isReplyUncertain = std::exchange(request->isReplyUncertain, false);
  if (request->state != RequestState::downstreamCallRequested && !isReplyUncertain) return;
  request->state = RequestState::executing;
  engineCommands_.send(*request, EngineCommand::continueWithoutReply);
}

void RequestServer::perform(const RetainResult& action) {
  const InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr) return;
  const peers::IncomingRequest& incoming = request->incoming;
  const auto key = DeduplicationCache::keyOf(incoming, deployment_.handlerPolicies);
  if (!key) return;
  deduplicationCache_.retain(*key, DeduplicationCache::fingerprintOf(incoming), action.id,
                             incoming.readAt + action.retention);
}

void RequestServer::perform(const DropResult& action) { releaseDuplicates(action.id); }

void RequestServer::perform(const AnswerFromOriginal& action) {
  InFlightRequest* request = requests_.find(action.id);
  if (request == nullptr) return;
  request->stateSince = net::Reactor::Clock::now();
  const std::optional<RequestId> original = request->duplicateOf;
  if (original && neverExecuted_.contains(*original)) {
    duplicatesToReadmit_.insert(action.id);
    return;
  }
  const auto* cached = original ? deduplicationCache_.find(*original) : nullptr;
  if (cached == nullptr) {
    answerDuplicate(action.id, *request, OriginalState::failed, {});
  } else if (cached->state != OriginalState::pending) {
    answerDuplicate(action.id, *request, cached->state, cached->result);
  } else {
    request->state = RequestState::awaitingOriginal;
    requests_.awaitOriginal(*original, action.id);
  }
}

void RequestServer::perform(const PublishHealth& action) {
  requestListener_.setHealth(action.healthy);
  registration_.setInService(action.healthy);
}

void RequestServer::perform(const PublishLoadSignal& action) { requestListener_.setLoadSignal(action.value); }

void RequestServer::perform(const SetIdleConnectionTimeout& action) {
  requestListener_.setIdleTimeout(action.timeout);
}

void RequestServer::perform(const SetTimer& action) { policyTimers_.start(action.timer, action.delay); }

void RequestServer::perform(const DiagnosticMessage& action) {
  log_.message(logging::LogCategory::drain, "{}", action.text);
}

}  // namespace rainhook::server
