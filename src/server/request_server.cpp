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

// The longest time for which a duplicate can be unread and still be accepted. The request decoder rejects
// requests whose client timeout expired more than `expiredRequestGrace` ago.
Duration maxReadDelay(const DeploymentSettings& deployment) {
  Duration longest = peers::expiredRequestGrace;
  for (const HandlerPolicy& handler : deployment.handlerPolicies)
    longest = std::max(longest, handler.clientTimeout + peers::expiredRequestGrace);
  return longest;
}

// Describes for the log why a request with an idempotency key was rejected.
std::string_view describeKeyRejection(peers::FailureReason reason) {
  if (reason == peers::FailureReason::conflictingPayload)
    return "its idempotency key is in use for a request with another payload";
  return "its idempotency key is new, and as many keys are retained as the memory allows";
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
                           .maxKeys = budget_.maxRetainedKeys,
                           .maxReadDelay = maxReadDelay(deployment_),
                           .sharingDuration = deployment_.resultSharing.sharingDuration}),
      executedNames_(budget_.maxExecutedNames),
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
  reactor_.releaseRetired();  // the retired connections hold buffers of this server's pool
}

void RequestServer::open() {
  requestListener_.listen(net::Connection::Address(endpoints_.listen));
  reactor_.setIterationEndHandler([this] { onIterationEnd(); });
  engineClient_.connect();
  registration_.setInService(true);
  statistics_.start();
  log_.message(logging::LogCategory::start, "server {} accepts requests at {}", endpoints_.name,
               endpoints_.listen);
}

void RequestServer::shutDownGracefully() {
  if (shutdown_.isInProgress()) return;
  const Duration policyTime = shutdown_.begin(endpoints_.shutdownTimeout);
  createPolicyIfAbsent(true, 0s);
  addEvent(ShutdownNotice{policyTime});
}

void RequestServer::setDownstreamQuota(double share) {
  downstreamQuota_ = share;
  if (policy_) addEvent(DownstreamQuotaChanged{share});
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

// Includes the server's name, so that servers with the same seed get different values.
std::uint64_t RequestServer::jitterSeed() const {
  return static_cast<std::uint64_t>(endpoints_.seed) ^ std::hash<std::string>{}(endpoints_.name);
}

// The time of the policy starts at the engine's start, because the caches that can be cold are the engine's.
// A request that is read before the engine's handshake also creates the policy; in that case a cold start is
// assumed until the engine reports how it started.
void RequestServer::createPolicyIfAbsent(bool isColdStart, Duration engineAge) {
  if (policy_) return;
  policyEpoch_ = net::Reactor::Clock::now() - engineAge;
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
  if (downstreamQuota_ < 1) addEvent(DownstreamQuotaChanged{downstreamQuota_});
}

// The timer wakes the event loop. Without it, an event that is added after the policy received the batch of
// this iteration would wait for the next socket event or timer.
void RequestServer::addEvent(const Event& event) {
  if (pendingEvents_.empty()) wakeUpTimer_ = reactor_.after(0s, [] {});
  pendingEvents_.push_back(event);
}

// The registrations of the deduplication cache last until all actions have been performed, when each keyed
// request of this iteration is retained or has ended. Only then are duplicates readmitted.
void RequestServer::onIterationEnd() {
  if (!policy_) return;
  if (pendingEvents_.empty() && !std::exchange(isPolicyNew_, false)) return;
  deduplicationCache_.expire(std::chrono::system_clock::now());
  executedNames_.expire(std::chrono::system_clock::now());
  const std::vector<Event> events = std::exchange(pendingEvents_, {});
  const Duration now = net::Reactor::Clock::now() - policyEpoch_;
  for (const Action& action : policy_->onEvents(now, events))
    std::visit([this](const auto& typedAction) { perform(typedAction); }, action);
  deduplicationCache_.onIterationEnd();
  neverExecuted_.clear();
  readmitDuplicates();
}

// Callbacks of the peers.

peers::AdmitResult RequestServer::onRequest(peers::IncomingRequest&& incoming) {
  if (requests_.size() >= budget_.maxRequestsInFlight) {
    log_.message(logging::LogCategory::listener,
                 "request {} rejected: {} requests in flight, the limit is {}", incoming.name,
                 requests_.size(), budget_.maxRequestsInFlight);
    return peers::FailureReason::tooManyInFlight;
  }
  if (requests_.findByName(incoming.name)) {
    log_.message(logging::LogCategory::listener,
                 "request {} rejected: a request with this name is already in flight", incoming.name);
    return peers::FailureReason::duplicateName;
  }
  if (executedNames_.contains(incoming.name, incoming.readAt)) {
    log_.message(logging::LogCategory::listener,
                 "request {} rejected: a request with this name was executed and may not be repeated",
                 incoming.name);
    return peers::FailureReason::duplicateName;
  }
  const RequestId id{++lastRequestId_};
  const DeduplicationCache::Lookup lookup = findOriginalOrRegister(id, incoming);
  if (lookup.rejection) {
    log_.message(logging::LogCategory::listener, "request {} rejected: {}", incoming.name,
                 describeKeyRejection(*lookup.rejection));
    return *lookup.rejection;
  }
  createPolicyIfAbsent(true, 0s);
  statistics_.onRequestRead(incoming.readDelay);
  InFlightRequest& request = requests_.add(id, std::move(incoming));
  request.duplicateOf = lookup.original;
  addArrivalEvent(id, request);
  return id;
}

void RequestServer::addArrivalEvent(RequestId id, const InFlightRequest& request) {
  const peers::IncomingRequest& incoming = request.incoming;
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
  addEvent(event);
}

void RequestServer::onClientDisconnected(RequestId id) {
  InFlightRequest* request = requests_.find(id);
  if (request == nullptr) return;
  statistics_.onClientDisconnected();
  addEvent(ClientDisconnected{id});
  endResponse(id, *request);
}

void RequestServer::onEngineConnected(bool isColdStart, Duration sinceStart) {
  coldStartedAt_ = isColdStart ? std::optional(net::Reactor::Clock::now() - sinceStart) : std::nullopt;
  if (policy_) addEvent(ExecutionEngineStarted{isColdStart, sinceStart});
  createPolicyIfAbsent(isColdStart, sinceStart);
}

// After a reconnect, sends the commands again that the engine may not have read. An execution that must not
// run twice and may have started is failed instead; for its client, this failure means that it may have run.
// The policy decides about an execution that may not have received a downstream reply.
void RequestServer::onNotificationsCaughtUp() {
  int sentAgain = 0;
  int failed = 0;
  int uncertainReplies = 0;
  for (const RequestId id : engineCommands_.findUnconfirmed(requests_)) {
    InFlightRequest& request = *requests_.find(id);
    switch (engineCommands_.recover(request)) {
      case CommandRecovery::sentAgain:
        ++sentAgain;
        break;
      case CommandRecovery::executionUncertain:
        ++failed;
        failExecution(id, request);
        break;
      case CommandRecovery::replyUncertain:
        ++uncertainReplies;
        addEvent(ReplyDeliveryUncertain{id});
        break;
    }
  }
  if (sentAgain + failed + uncertainReplies > 0)
    log_.message(
        logging::LogCategory::engine,
        "engine connection restored: of the commands that the engine may not have read, {} were sent "
        "again, {} failed their requests, and {} downstream replies are not sent again",
        sentAgain, failed, uncertainReplies);
}

void RequestServer::onExecutionEnded(const std::string& name, Outcome outcome, Duration duration,
                                     std::string&& result) {
  const auto id = requests_.findByName(name);
  if (id) endExecution(*id, *requests_.find(*id), outcome, duration, result);
}

void RequestServer::onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                              std::string&& body) {
  const auto id = requests_.findByName(name);
  if (!id) return;
  InFlightRequest& request = *requests_.find(*id);
  if (!request.hasOpenExecution()) return;
  request.state = RequestState::downstreamCallRequested;
  request.lastCommand = EngineCommand::none;
  request.isReplyUncertain = false;
  request.callNotification = notification;
  request.downstreamPayload = std::move(body);
  addEvent(DownstreamCallRequested{*id});
}

void RequestServer::onDownstreamCallEnded(RequestId id, Outcome outcome, Duration duration,
                                          std::string&& reply) {
  InFlightRequest* request = requests_.find(id);
  if (request == nullptr || request->state != RequestState::callingDownstream) return;
  const bool isCompleted = outcome == Outcome::completed;
  if (isCompleted) statistics_.onDownstreamCallCompleted();
  addEvent(DownstreamCallEnded{id, outcome, duration});
  if (!isCompleted) {
    request->state = RequestState::downstreamCallRequested;
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
  addEvent(event);
}

// After a rejected command the engine no longer executes the request. If its start was rejected, the
// execution never began, so its duplicates must not wait for a result.
void RequestServer::onCommandRejected(const std::string& name, peers::EngineCommandKind command) {
  const auto id = requests_.findByName(name);
  if (!id) return;
  InFlightRequest& request = *requests_.find(*id);
  if (!request.hasOpenExecution()) return;
  if (command == peers::EngineCommandKind::startExecution) releaseDuplicates(*id);
  failExecution(*id, request);
}

// End of executions and responses.

// Sends the response and removes the request. If the execution was cancelled by the engine while its response
// is pending, the request returns to the admission queue instead.
void RequestServer::endExecution(RequestId id, InFlightRequest& request, Outcome outcome, Duration duration,
                                 const std::string& result) {
  if (!request.hasOpenExecution()) return;
  downstreamClient_.cancel(id);
  const bool wasResponsePending = request.isResponsePending;
  const bool isCancelled = outcome == Outcome::cancelled;
  if (!isCancelled) respond(request, outcome, result);
  addEvent(ExecutionEnded{id, outcome, duration});
  if (outcome == Outcome::superseded) {
    request.wasStarted = false;
    releaseDuplicates(id);
  }
  if (!isCancelled || !wasResponsePending) {
    const bool isCompleted = outcome == Outcome::completed;
    endOriginal(id, isCompleted ? OriginalState::completed : OriginalState::failed, result);
  }
  if (isCancelled && request.isResponsePending) {
    request.state = RequestState::queued;
    request.lastCommand = EngineCommand::none;
    request.isReplyUncertain = false;
    return;
  }
  remove(id, request);
}

void RequestServer::failExecution(RequestId id, InFlightRequest& request) {
  endExecution(id, request, Outcome::failed, net::Reactor::Clock::now() - request.stateSince, {});
}

// Sends the response of an execution that has ended, if one is pending. The outcome `superseded` means that
// the execution never ran and that the engine considers its request finished; the failure that is then sent
// to the client does no harm.
void RequestServer::respond(InFlightRequest& request, Outcome outcome, const std::string& result) {
  if (!std::exchange(request.isResponsePending, false)) return;
  if (outcome == Outcome::completed) {
    statistics_.onRequestCompleted();
    requestListener_.sendResult(request.incoming.response, result);
  } else {
    statistics_.onRequestFailed();
    requestListener_.sendFailure(request.incoming.response, peers::FailureReason::executionFailed);
  }
}

// Called after the response was sent or the client disconnected. Removes a request without an open execution.
// Cancels an open downstream call, so that the execution that waits for it does not continue.
void RequestServer::endResponse(RequestId id, InFlightRequest& request) {
  request.isResponsePending = false;
  downstreamClient_.cancel(id);
  if (request.hasOpenExecution()) return;
  if (!request.wasStarted) releaseDuplicates(id);
  endOriginal(id, OriginalState::failed, {});
  remove(id, request);
}

// Removes a request that has been answered and whose execution has ended. Remembers the name of one that was
// executed, has no idempotency key and may not be repeated, until a copy of it would be too old to be
// accepted.
void RequestServer::remove(RequestId id, const InFlightRequest& request) {
  const peers::IncomingRequest& incoming = request.incoming;
  const HandlerPolicy& handler = deployment_.handlerPolicies[static_cast<std::size_t>(incoming.handler)];
  const bool mayBeRepeated = handler.idempotency == Idempotency::idempotent ||
                             DeduplicationCache::keyOf(incoming, deployment_.handlerPolicies).has_value();
  if (request.wasStarted && !mayBeRepeated)
    executedNames_.add(incoming.name, incoming.readAt +
                                          incoming.timeRemaining.value_or(handler.clientTimeout) +
                                          peers::expiredRequestGrace);
  requests_.remove(id);
}

}  // namespace rainhook::server
