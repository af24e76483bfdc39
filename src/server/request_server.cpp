#include "server/request_server.h"

#include <algorithm>
#include <utility>

#include "server/optional_address.h"

namespace rainhook::server {
namespace {

using namespace std::chrono_literals;
using OriginalState = DeduplicationCache::OriginalState;

peers::RequestRules requestRules(const DeploymentSettings& deployment) {
  peers::RequestRules rules{
      deployment.handlerNames, deployment.tenantNames, {}, deployment.clientsSendTimeRemaining};
  for (const HandlerPolicy& handler : deployment.handlerPolicies)
    rules.clientTimeouts.push_back(handler.clientTimeout);
  return rules;
}

// A duplicate is read at the latest once nobody waits for it any more; older ones are rejected unread.
Duration maxReadDelay(const DeploymentSettings& deployment) {
  Duration longest = peers::expiredRequestGrace;
  for (const HandlerPolicy& handler : deployment.handlerPolicies)
    longest = std::max(longest, handler.clientTimeout + peers::expiredRequestGrace);
  return longest;
}

}  // namespace

RequestServer::RequestServer(net::Reactor& reactor, logging::Log& log, ServerConfiguration configuration)
    : reactor_(reactor),
      log_(log),
      configuration_(std::move(configuration)),
      requestListener_(reactor, bufferPool_, log, *this, requestRules(deployment_),
                       {budget_.maxClientConnections, budget_.maxOutputBytes}),
      downstreamClient_(reactor, bufferPool_, log, *this, optionalAddress(endpoints_.downstream),
                        budget_.maxDownstreamCalls),
      engineClient_(reactor, bufferPool_, log, *this, net::Connection::Address(endpoints_.engine)),
      registration_(reactor, bufferPool_, log, endpoints_.name, jitterSeed(),
                    optionalAddress(endpoints_.registry)),
      deduplicationCache_({.maxResultBytes = budget_.maxResultBytes,
                           .maxReadDelay = maxReadDelay(deployment_),
                           .sharingDuration = deployment_.resultSharing.sharingDuration}),
      engineCommands_(engineClient_, deployment_),
      policyTimers_(reactor, engineClient_, deployment_,
                    [this](const TimerFired& event) { onTimerFired(event); }),
      statistics_(reactor, log,
                  [this] {
                    return RequestStatistics::Snapshot{.inFlight = inFlightCounts(),
                                                       .engineRunnableTasks = engineRunnableTasks_,
                                                       .openConnections = requestListener_.openConnections()};
                  }),
      configurationReload_(log, configuration_, engineClient_, downstreamClient_, registration_),
      shutdown_(reactor, log, requestListener_, registration_, requests_) {}

RequestServer::~RequestServer() {
  reactor_.setIterationEndHandler({});
  reactor_.releaseRetired();  // its connections hold buffers of our pool
}

void RequestServer::open() {
  requestListener_.listen(net::Connection::Address(endpoints_.listen));
  reactor_.setIterationEndHandler([this] { onIterationEnd(); });
  engineClient_.connect();
  registration_.setInService(true);
  statistics_.start();
  log_.message(logging::LogCategory::start, "{} serves at {}", endpoints_.name, endpoints_.listen);
}

void RequestServer::shutDownGracefully() {
  if (shutdown_.isInProgress()) return;
  const Duration policyTime = shutdown_.begin(endpoints_.shutdownTimeout);
  openPolicy(true, 0s);
  notify(ShutdownNotice{policyTime});
}

void RequestServer::setDownstreamQuota(double share) {
  downstreamQuota_ = share;
  if (policy_) notify(DownstreamQuotaChanged{share});
}

InFlightCounts RequestServer::inFlightCounts() const {
  return countInFlight(requests_, downstreamClient_.openCalls());
}

ServerStatus RequestServer::status() const {
  ServerStatus status;
  status.isShuttingDown = shutdown_.isInProgress();
  status.isEngineResponsive = engineClient_.isResponsive();
  if (policy_) status.concurrencyLimit = policy_->concurrencyLimit();
  const Duration warmUpDuration = deployment_.machine.warmUpDuration;
  if (coldStartedAt_ && warmUpDuration > 0s) {
    const std::chrono::duration<double> age = net::Reactor::Clock::now() - *coldStartedAt_;
    status.warmUpProgress = std::min(1.0, age / warmUpDuration);
  }
  const InFlightCounts counts = inFlightCounts();
  status.executing = counts.executing + counts.inDownstreamCalls;
  status.queued = counts.queued;
  status.requestsRead = statistics_.requestsRead();
  status.requestsCompleted = statistics_.requestsCompleted();
  return status;
}

// Differs between servers that were given the same seed.
std::uint64_t RequestServer::jitterSeed() const {
  return static_cast<std::uint64_t>(endpoints_.seed) ^ std::hash<std::string>{}(endpoints_.name);
}

// The policy counts its time from the engine's start, since the engine is what is cold or warm. A request
// that is read before the engine's handshake opens it, too; then a cold start is assumed until the engine
// reports.
void RequestServer::openPolicy(bool isColdStart, Duration engineAge) {
  if (policy_) return;
  policyOrigin_ = net::Reactor::Clock::now() - engineAge;
  MachineProfile machine = deployment_.machine;
  machine.coldStart = isColdStart;
  policy_ = makeAdmissionPolicy({.machine = machine,
                                 .handlers = deployment_.handlerPolicies,
                                 .downstream = deployment_.downstream,
                                 .limits = deployment_.protocolLimits,
                                 .signaling = deployment_.signaling,
                                 .sharing = deployment_.resultSharing,
                                 .fleet = deployment_.fleet});
  isPolicyNew_ = true;
  if (downstreamQuota_ < 1) notify(DownstreamQuotaChanged{downstreamQuota_});
}

// An event that comes after this iteration's batch must not wait for the next socket or timer.
void RequestServer::notify(const Event& event) {
  if (pendingEvents_.empty()) wakeUpTimer_ = reactor_.after(0s, [] {});
  pendingEvents_.push_back(event);
}

void RequestServer::onIterationEnd() {
  if (!policy_) return;
  if (pendingEvents_.empty() && !std::exchange(isPolicyNew_, false)) return;
  deduplicationCache_.onIterationEnd();
  deduplicationCache_.expire(std::chrono::system_clock::now());
  const std::vector<Event> events = std::exchange(pendingEvents_, {});
  const Duration now = net::Reactor::Clock::now() - policyOrigin_;
  for (const Action& action : policy_->onEvents(now, events))
    std::visit([this](const auto& typedAction) { perform(typedAction); }, action);
  neverExecuted_.clear();
}

// Reports of the peers.

peers::AdmitResult RequestServer::onRequest(peers::IncomingRequest&& incoming) {
  if (requests_.size() >= budget_.maxRequestsInFlight) {
    log_.message(logging::LogCategory::listener, "{} requests in flight: no more are accepted",
                 requests_.size());
    return peers::FailureReason::tooManyInFlight;
  }
  if (requests_.findByName(incoming.name)) {
    log_.message(logging::LogCategory::listener, "a request whose name is already in flight: {}",
                 incoming.name);
    return peers::FailureReason::duplicateName;
  }
  const RequestId id{++lastRequestId_};
  const DeduplicationCache::Lookup known = findOriginal(id, incoming);
  if (known.hasConflictingPayload) {
    log_.message(logging::LogCategory::listener, "a duplicate whose original had another payload: {}",
                 incoming.name);
    return peers::FailureReason::conflictingPayload;
  }
  openPolicy(true, 0s);
  statistics_.onRequestRead(incoming.readDelay);
  InFlightRequest& request = requests_.add(id, std::move(incoming));
  request.duplicateOf = known.original;
  notifyArrival(id, request);
  return id;
}

void RequestServer::notifyArrival(RequestId id, const InFlightRequest& request) {
  const peers::IncomingRequest& incoming = request.request;
  RequestArrived event;
  event.id = id;
  event.handler = incoming.handler;
  event.tenant = incoming.tenant;
  event.client = incoming.client;
  event.resourceKey = incoming.resourceKey;
  event.duplicateOf = request.duplicateOf;
  event.clientPriority = incoming.rank;
  event.queuedMemoryKb = incoming.queuedMemoryKb;
  event.estimatedWork = incoming.estimatedWork;
  event.timeRemaining = incoming.timeRemaining;
  event.readDelay = incoming.readDelay;
  event.isWrite = incoming.resourceKey == ResourceKey{};
  notify(event);
}

void RequestServer::onClientDisconnected(RequestId id) {
  InFlightRequest* request = requests_.find(id);
  if (request == nullptr) return;
  statistics_.onClientDisconnected();
  notify(ClientDisconnected{id});
  endResponse(id, *request);
}

void RequestServer::onEngineConnected(bool cold, Duration since) {
  coldStartedAt_ = cold ? std::optional(net::Reactor::Clock::now() - since) : std::nullopt;
  if (policy_) notify(ExecutionEngineStarted{cold, since});
  openPolicy(cold, since);
}

// After a reconnect, commands that the engine may not have read are sent again. An execution that must not
// run twice and may have begun is failed instead: its client learns that it may have run.
void RequestServer::onNotificationsCaughtUp() {
  const std::vector<RequestId> unconfirmed = engineCommands_.findUnconfirmed(requests_);
  for (const RequestId id : unconfirmed) {
    InFlightRequest& request = *requests_.find(id);
    if (!engineCommands_.resend(request)) failExecution(id, request);
  }
  if (!unconfirmed.empty())
    log_.message(logging::LogCategory::engine,
                 "{} requests had unconfirmed engine commands: sent again or failed", unconfirmed.size());
}

void RequestServer::onExecutionEnded(const std::string& name, Outcome outcome, Duration took,
                                     std::string&& result) {
  const auto id = requests_.findByName(name);
  if (id) endExecution(*id, *requests_.find(*id), outcome, took, result);
}

void RequestServer::onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                              std::string&& body) {
  const auto id = requests_.findByName(name);
  if (!id) return;
  InFlightRequest& request = *requests_.find(*id);
  if (!request.isWithEngine()) return;
  request.state = RequestState::wantsDownstreamCall;
  request.lastCommand = EngineCommand::none;
  request.callNotificationId = notification;
  request.downstreamPayload = std::move(body);
  notify(DownstreamCallRequested{*id});
}

void RequestServer::onDownstreamCallEnded(RequestId id, Outcome outcome, Duration took, std::string&& reply) {
  InFlightRequest* request = requests_.find(id);
  if (request == nullptr || request->state != RequestState::callingDownstream) return;
  const bool isCompleted = outcome == Outcome::completed;
  if (isCompleted) statistics_.onDownstreamCallCompleted();
  notify(DownstreamCallEnded{id, outcome, took});
  if (!isCompleted) {
    request->state = RequestState::wantsDownstreamCall;
    return;
  }
  request->state = RequestState::executing;
  request->downstreamPayload = std::move(reply);
  engineCommands_.send(*request, EngineCommand::deliverReply);
}

void RequestServer::onGauges(std::uint64_t gaugeRequest, const std::vector<double>& values) {
  policyTimers_.onGauges(gaugeRequest, values);
}

void RequestServer::onTimerFired(const TimerFired& event) {
  if (event.runnableTasks) engineRunnableTasks_ = event.runnableTasks;
  notify(event);
}

// Nothing of this request is executed there any more. One whose start was rejected never began: no duplicate
// must wait for what it never did.
void RequestServer::onCommandRejected(const std::string& name, peers::EngineCommandKind command) {
  const auto id = requests_.findByName(name);
  if (!id) return;
  InFlightRequest& request = *requests_.find(*id);
  if (!request.isWithEngine()) return;
  if (command == peers::EngineCommandKind::startExecution) releaseDuplicates(*id);
  failExecution(*id, request);
}

// The life of a request.

void RequestServer::endExecution(RequestId id, InFlightRequest& request, Outcome outcome, Duration took,
                                 const std::string& result) {
  if (!request.isWithEngine()) return;
  downstreamClient_.cancel(id);
  const bool wasResponsePending = request.isResponsePending;
  const bool isCancelled = outcome == Outcome::cancelled;
  if (!isCancelled) respond(request, outcome, result);
  notify(ExecutionEnded{id, outcome, took});
  if (outcome == Outcome::superseded) releaseDuplicates(id);
  if (!isCancelled || !wasResponsePending) {
    const bool isCompleted = outcome == Outcome::completed;
    originalEnded(id, isCompleted ? OriginalState::completed : OriginalState::failed, result);
  }
  if (isCancelled && request.isResponsePending) {  // back in the admission queue
    request.state = RequestState::queued;
    request.lastCommand = EngineCommand::none;
    return;
  }
  requests_.remove(id);
}

void RequestServer::failExecution(RequestId id, InFlightRequest& request) {
  endExecution(id, request, Outcome::failed, net::Reactor::Clock::now() - request.stateSince, {});
}

// An execution that never was ends a request that the engine takes for over; one response more does no harm.
void RequestServer::respond(InFlightRequest& request, Outcome outcome, const std::string& result) {
  if (!std::exchange(request.isResponsePending, false)) return;
  if (outcome == Outcome::completed) {
    statistics_.onRequestCompleted();
    requestListener_.sendResult(request.request.response, result);
  } else {
    statistics_.onRequestFailed();
    requestListener_.sendFailure(request.request.response, peers::FailureReason::executionFailed);
  }
}

// No response is pending any more. A request that has not been started is over; one that waits for a
// downstream call ends there.
void RequestServer::endResponse(RequestId id, InFlightRequest& request) {
  request.isResponsePending = false;
  downstreamClient_.cancel(id);
  if (request.isWithEngine()) return;
  if (!request.wasStarted) releaseDuplicates(id);
  originalEnded(id, OriginalState::failed, {});
  requests_.remove(id);
}

// Duplicates and their originals.

DeduplicationCache::Lookup RequestServer::findOriginal(RequestId id, const peers::IncomingRequest& request) {
  const auto key = DeduplicationCache::keyOf(request, deployment_.handlerPolicies);
  if (!key) return {};
  return deduplicationCache_.findOriginalOrRegister(
      *key, DeduplicationCache::fingerprintOf(request),
      {.id = id, .arrivedAt = request.readAt - request.readDelay, .readAt = request.readAt});
}

// What provably had no effect is nobody's original: its key is free, and the duplicates that waited for it
// are admitted anew. The next of them that is executed is the original of the others.
void RequestServer::releaseDuplicates(RequestId original) {
  if (!neverExecuted_.insert(original).second) return;
  deduplicationCache_.drop(original);
  for (const RequestId id : requests_.duplicatesAwaiting(original)) readmit(id);
}

// The policy decides on the request as on a new one, with what is left of its client's time.
void RequestServer::readmit(RequestId id) {
  InFlightRequest& request = *requests_.find(id);
  notify(ExecutionEnded{id, Outcome::failed, net::Reactor::Clock::now() - request.stateSince});
  requests_.stopAwaitingOriginal(id, request);

  peers::IncomingRequest& incoming = request.request;
  const auto now = std::chrono::system_clock::now();
  const Duration waited = std::max<Duration>(now - incoming.readAt, 0s);
  incoming.readAt = now;
  incoming.readDelay += waited;
  if (incoming.timeRemaining)
    incoming.timeRemaining = std::max<Duration>(*incoming.timeRemaining - waited, 0s);

  const DeduplicationCache::Lookup known = findOriginal(id, incoming);
  request.duplicateOf = known.original;
  if (!known.hasConflictingPayload) {
    notifyArrival(id, request);
    return;
  }
  statistics_.onRequestFailed();
  requestListener_.sendFailure(incoming.response, peers::FailureReason::conflictingPayload);
  requests_.remove(id);
}

void RequestServer::originalEnded(RequestId original, OriginalState state, const std::string& result) {
  deduplicationCache_.onOriginalEnded(original, state, std::chrono::system_clock::now(), result);
  for (const RequestId id : requests_.duplicatesAwaiting(original))
    answerDuplicate(id, *requests_.find(id), state, result);
}

void RequestServer::answerDuplicate(RequestId id, InFlightRequest& request, OriginalState state,
                                    const std::string& result) {
  const bool isCompleted = state == OriginalState::completed;
  if (request.isResponsePending && isCompleted) {
    requestListener_.sendResult(request.request.response, result);
    statistics_.onRequestCompleted();
  } else if (request.isResponsePending) {
    requestListener_.sendFailure(request.request.response, peers::FailureReason::originalFailed);
    statistics_.onRequestFailed();
  }
  notify(ExecutionEnded{id, isCompleted ? Outcome::completed : Outcome::failed,
                        net::Reactor::Clock::now() - request.stateSince});
  requests_.remove(id);
}

}  // namespace rainhook::server
