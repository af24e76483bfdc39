// The part of RequestServer that handles duplicates and their originals.
#include <algorithm>
#include <utility>

#include "server/request_server.h"

namespace rainhook::server {
namespace {

using namespace std::chrono_literals;
using OriginalState = DeduplicationCache::OriginalState;

}  // namespace

DeduplicationCache::Lookup RequestServer::findOriginalOrRegister(RequestId id,
                                                                 const peers::IncomingRequest& request) {
  const auto key = DeduplicationCache::keyOf(request, deployment_.handlerPolicies);
  if (!key) return {};
  return deduplicationCache_.findOriginalOrRegister(
      *key, DeduplicationCache::fingerprintOf(request),
      {.id = id, .arrivedAt = request.readAt - request.readDelay, .readAt = request.readAt});
}

// A request that was never executed cannot be an original: its key becomes free, and the duplicates that
// awaited it go through admission again. The first of them that is executed becomes the original of the
// others.
void RequestServer::releaseDuplicates(RequestId original) {
  if (!neverExecuted_.insert(original).second) return;
  deduplicationCache_.drop(original);
  for (const RequestId id : requests_.duplicatesAwaiting(original)) {
    requests_.stopAwaitingOriginal(id, *requests_.find(id));
    duplicatesToReadmit_.insert(id);
  }
}

// Readmits the duplicates that lost their original in this iteration. The policy's actions have been
// performed by now: a duplicate that was given up is not in flight any more, and the others find the request
// that has become the original of their key meanwhile.
void RequestServer::readmitDuplicates() {
  for (const RequestId id : std::exchange(duplicatesToReadmit_, {}))
    if (InFlightRequest* request = requests_.find(id)) readmit(id, *request);
}

// Submits the request to the policy again as a new arrival with the time that remains to its client.
void RequestServer::readmit(RequestId id, InFlightRequest& request) {
  addEvent(ExecutionEnded{id, Outcome::failed, net::Reactor::Clock::now() - request.stateSince});
  peers::IncomingRequest& incoming = request.incoming;
  const auto now = std::chrono::system_clock::now();
  const Duration waited = std::max<Duration>(now - incoming.readAt, 0s);
  incoming.readAt = now;
  incoming.readDelay += waited;
  if (incoming.timeRemaining)
    incoming.timeRemaining = std::max<Duration>(*incoming.timeRemaining - waited, 0s);

  const DeduplicationCache::Lookup lookup = findOriginalOrRegister(id, incoming);
  request.duplicateOf = lookup.original;
  if (!lookup.rejection) {
    addArrivalEvent(id, request);
    return;
  }
  statistics_.onRequestFailed();
  requestListener_.sendFailure(incoming.response, *lookup.rejection);
  requests_.remove(id);
}

// Records the end of a request and answers the duplicates that await it.
void RequestServer::endOriginal(RequestId original, OriginalState state, const std::string& result) {
  deduplicationCache_.onOriginalEnded(original, state, std::chrono::system_clock::now(), result);
  for (const RequestId id : requests_.duplicatesAwaiting(original))
    answerDuplicate(id, *requests_.find(id), state, result);
}

void RequestServer::answerDuplicate(RequestId id, InFlightRequest& request, OriginalState state,
                                    const std::string& result) {
  const bool isCompleted = state == OriginalState::completed;
  if (request.isResponsePending && isCompleted) {
    requestListener_.sendResult(request.incoming.response, result);
    statistics_.onRequestCompleted();
  } else if (request.isResponsePending) {
    requestListener_.sendFailure(request.incoming.response, peers::FailureReason::originalFailed);
    statistics_.onRequestFailed();
  }
  addEvent(ExecutionEnded{id, isCompleted ? Outcome::completed : Outcome::failed,
                          net::Reactor::Clock::now() - request.stateSince});
  requests_.remove(id);
}

}  // namespace rainhook::server
