#include "decision/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

constexpr TimerId tickTimer{1};
constexpr Duration tickInterval = 25ms;
/// A pending response is sent at the latest this long before its deadline.
constexpr Duration deadlineMargin = 30ms;
/// Covers the protocol's slack and the error of arrival times that are rounded to whole milliseconds, at both
/// ends of the deduplication window.
constexpr Duration retentionMargin = 52ms;
constexpr Duration limitRaiseInterval = 100ms;
constexpr Duration minCallTimeout = 1ms;
/// Cores with a higher utilization than this do not count as idle.
constexpr double idleUtilization = 0.85;
/// If the read delay exceeds the usual delay by more than this, one core is reserved for reading.
constexpr double longReadDelaySeconds = 0.3;
/// At this slowdown or above, calls are not retried, since retries would only add to the load.
constexpr double maxSlowdownForRetry = 2;
constexpr int maxCallFailures = 2;
/// To check whether a call completes in time, it is assumed to take this many times its expected duration.
constexpr double callTimeMargin = 1.5;
/// An execution whose reply may be lost is given up after this many times the expected time of a whole
/// execution, of which only the part after the call remains.
constexpr double uncertainReplyPatience = 2;
/// It is not given up earlier than this, since the engine's notifications may be delayed after a reconnect.
constexpr Duration minUncertainReplyPatience = 250ms;

}  // namespace

AdmissionController::AdmissionController(const PolicySettings& settings)
    : settings_(settings),
      limiter_(settings.machine.cores),
      serviceTimes_(settings_.handlers),
      timing_(settings_.handlers, serviceTimes_),
      memory_(settings.machine),
      executionCeiling_(settings.machine),
      callBudget_(settings.downstream),
      idleConnections_(settings.machine.cores, settings.fleet),
      loadSignal_(settings.signaling, settings.fleet),
      drain_(settings.limits.drainGrace) {}

std::vector<Action> AdmissionController::onEvents(Duration now, std::span<const Event> events) {
  actions_.clear();
  const Duration elapsed = now - now_;
  advanceTime(now);
  entriesScanned_ += events.size();
  if (!hasStarted_) onStart();
  for (const Event& event : events) std::visit([this](const auto& each) { onEvent(each); }, event);
  processRequests(elapsed);
  return std::move(actions_);
}

void AdmissionController::onStart() {
  hasStarted_ = true;
  emit(PublishHealth{.healthy = true, .isCacheable = true});
  emit(SetTimer{.timer = tickTimer, .delay = tickInterval});
}

void AdmissionController::advanceTime(Duration now) {
  const Duration elapsed = now - now_;
  now_ = now;
  serviceTimes_.advance(elapsed, requests_.executingCount(), callBudget_.openCalls());
  callBudget_.advance(elapsed, serviceTimes_.callSlowdown());
  const int expired = deduplication_.removeExpired(now);
  memory_.release(memory_.cachedEntryKb() * expired);
  entriesScanned_ += static_cast<std::size_t>(expired);
}

// Events.

void AdmissionController::onEvent(const RequestArrived& event) {
  const RequestRecord request = timing_.makeRecord(event, now_);
  overload_.recordArrival();
  memory_.reserve(event.queuedMemoryKb);
  requests_.add(request);
  arrivals_.push_back(event.id);
  readDelays_.recordArrival(event.readDelay, policyOf(request).clientTimeout);
}

void AdmissionController::onEvent(const ExecutionEnded& event) {
  RequestRecord* request = requests_.find(event.id);
  if (!request) return;
  if (request->stage == RequestStage::awaitingOriginal || event.outcome == Outcome::superseded) {
    remove(*request);
    return;
  }
  if (request->stage == RequestStage::calling) callBudget_.recordCallEnd(now_, CallEnd::abandoned);
  if (request->stage == RequestStage::executing && event.outcome == Outcome::completed)
    learnFromExecution(*request);
  if (event.outcome == Outcome::cancelled && request->isResponsePending) {
    requeueCancelled(*request);
    return;
  }
  remove(*request);
}

void AdmissionController::learnFromExecution(const RequestRecord& request) {
  const Duration coreTime = now_ - request.startedAt - request.offCoreTime;
  serviceTimes_.recordExecution(request.arrival, coreTime, request.completedCalls);
  // Shed and failed requests must not count as low latency. The limit does not cause the time
  // in calls, so the latency excludes it.
  if (!request.isResponsePending) return;
  const double latencySeconds = toSeconds(now_ - request.arrivedAt - request.offCoreTime);
  limiter_.recordLatency(serviceTimes_.normalizeLatency(request.arrival.handler, latencySeconds));
}

/// Queues the request of a cancelled execution again if it may be repeated; otherwise sheds or fails it.
void AdmissionController::requeueCancelled(RequestRecord& request) {
  requests_.requeue(request, now_);
  uncertainReplies_.remove(request.arrival.id);
  const double queuedKb = request.arrival.queuedMemoryKb;
  memory_.release(memory_.executionKb(queuedKb) - queuedKb);
  if (isIdempotent(request)) {
    queue_.pushFront(request.arrival.id);
  } else {
    shedOrFail(request, ShedCause::localLoad);
  }
}

void AdmissionController::onEvent(const DownstreamCallRequested& event) {
  RequestRecord* request = requests_.find(event.id);
  if (!request || request->stage != RequestStage::executing) return;
  uncertainReplies_.remove(event.id);
  requests_.moveTo(*request, RequestStage::awaitingCall, now_);
  awaitingCall_.push_back(event.id);
}

void AdmissionController::onEvent(const DownstreamCallEnded& event) {
  RequestRecord* request = requests_.find(event.id);
  if (!request || request->stage != RequestStage::calling) return;
  const bool mayStillRun = event.outcome == Outcome::timedOut || event.outcome == Outcome::connectionLost;
  callBudget_.recordCallEnd(now_, mayStillRun ? CallEnd::abandoned : CallEnd::finished);
  serviceTimes_.recordCall(event.duration);
  request->lastCallOutcome = event.outcome;
  if (event.outcome == Outcome::completed) {
    ++request->completedCalls;
    request->consecutiveCallFailures = 0;
    requests_.moveTo(*request, RequestStage::executing, now_);
  } else {
    ++request->consecutiveCallFailures;
    requests_.moveTo(*request, RequestStage::awaitingCall, now_);
    awaitingCall_.push_back(event.id);
  }
}

void AdmissionController::onEvent(const ReplyDeliveryUncertain& event) {
  const RequestRecord* request = requests_.find(event.id);
  if (!request || request->stage != RequestStage::executing) return;
  const bool canSkip = policyOf(*request).degradedWeight > 0;
  const Duration patience =
      std::max(minUncertainReplyPatience,
               fromSeconds(uncertainReplyPatience * serviceTimes_.executionSeconds(request->arrival)));
  uncertainReplies_.add(event.id, canSkip ? now_ : now_ + patience);
}

void AdmissionController::onEvent(const ClientDisconnected& event) {
  if (RequestRecord* request = requests_.find(event.id)) closeRequest(*request);
}

void AdmissionController::onEvent(const ShutdownNotice& event) {
  drain_.onShutdownNotice(now_, event.timeRemaining);
  emit(PublishHealth{.healthy = false, .isCacheable = true});
  emit(DiagnosticMessage{
      "shutdown notice received: published unhealthy and started draining; queued requests: " +
      std::to_string(queue_.size())});
}

void AdmissionController::onEvent(const DownstreamQuotaChanged& event) {
  callBudget_.setQuotaShare(event.share);
}

void AdmissionController::onEvent(const ExecutionEngineStarted& event) {
  executionCeiling_.setEngineStart(event.coldStart, now_ - event.elapsed);
}

void AdmissionController::onEvent(const TimerFired& event) {
  if (event.timer != tickTimer) return;
  emit(SetTimer{.timer = tickTimer, .delay = tickInterval});
  if (event.runnableTasks)
    idleConnections_.recordRunnableTasks(*event.runnableTasks, requests_.executingCount());
  if (event.openConnections) {
    if (const auto timeout = idleConnections_.update(now_, *event.openConnections))
      emit(SetIdleConnectionTimeout{*timeout});
  }
  limitLeavesCoresIdle_ = limitLeavesCoresIdle(event);
}

/// Whether the gauges show that cores are idle now while the limit keeps requests in the queue.
bool AdmissionController::limitLeavesCoresIdle(const TimerFired& gauges) const {
  if (!gauges.cpuUtilization || !gauges.runnableTasks || queue_.isEmpty()) return false;
  return *gauges.cpuUtilization < idleUtilization && *gauges.runnableTasks < settings_.machine.cores &&
         requests_.executingCount() >= limiter_.limit();
}

// Decision stages.

void AdmissionController::processRequests(Duration elapsed) {
  const double ceiling = executionCeiling_.maxExecutions(now_);
  const double tolerableSeconds = timing_.tolerableQueueSeconds();
  limiter_.update(now_);
  limiter_.clampTo(ceiling);

  admitArrivals();
  shedUnservable(tolerableSeconds);
  const bool callsWait = !awaitingCall_.empty();
  startExecutions(ceiling, callsWait);
  const double queueWaitSeconds = trimQueue(tolerableSeconds, callsWait);
  processAwaitedCalls(callsWait);
  resolveUncertainReplies();
  shedOrFailOverdue();

  overload_.update(elapsed, queueWaitSeconds + readDelays_.excessSeconds(), tolerableSeconds);
  readDelays_.advance(elapsed);
  publishLoadSignal();
}

/// Makes duplicates wait for their originals, sheds requests that can't be served and queues all others.
void AdmissionController::admitArrivals() {
  for (const RequestId id : std::exchange(arrivals_, {})) {
    RequestRecord* request = requests_.find(id);
    if (!request || awaitOriginal(*request)) continue;
    if (!drain_.mayExecute(request->arrivedAt) || isTooLate(*request) || !retainForDuplicates(*request)) {
      shedOrFail(*request, ShedCause::localLoad);
      continue;
    }
    request->stage = RequestStage::queued;
    queue_.push(id);
  }
}

/// Sheds queued requests that can't be answered in time or would wait too long for a downstream call.
void AdmissionController::shedUnservable(double tolerableSeconds) {
  removeStaleQueueEntries();
  // The downstream calls that wait or that the queued requests are expected to make.
  auto expectedCalls = static_cast<double>(awaitingCall_.size());
  for (const RequestId id : queue_)
    expectedCalls += serviceTimes_.callsPerExecution(requests_.at(id).arrival.handler);
  for (const RequestId id : queue_.oldestFirst()) {
    RequestRecord& request = requests_.at(id);
    const HandlerId handler = request.arrival.handler;
    const double callWaitSeconds = expectedCalls * serviceTimes_.callSeconds() / callBudget_.callLimit();
    const bool waitsTooLongForCall =
        serviceTimes_.usuallyCallsDownstream(handler) && callWaitSeconds > tolerableSeconds;
    if (!waitsTooLongForCall && !isTooLate(request)) continue;
    expectedCalls -= serviceTimes_.callsPerExecution(handler);
    shedOrFail(request, waitsTooLongForCall ? ShedCause::unservableAnywhere : ShedCause::localLoad);
  }
  removeStaleQueueEntries();
}

/// Starts queued requests while the limit, the ceiling and the memory allow. While downstream calls wait for
/// the call budget, requests whose handlers usually make such calls stay queued, since they would wait too.
void AdmissionController::startExecutions(double ceiling, bool callsWait) {
  const double limit = executionLimit();
  for (const RequestId id : queue_.startOrder(now_)) {
    RequestRecord& request = requests_.at(id);
    if (callsWait && serviceTimes_.usuallyCallsDownstream(request.arrival.handler)) continue;
    if (requests_.executingCount() + 1 > limit) {
      limiter_.recordLimitReached();
      if (!mayRaiseLimit()) break;
      nextLimitRaise_ = now_ + limitRaiseInterval;
      limiter_.raiseByOne(ceiling);
    }
    const double queuedKb = request.arrival.queuedMemoryKb;
    const double additionalKb = memory_.executionKb(queuedKb) - queuedKb;
    if (requests_.startedCount() + 1 > ceiling || !memory_.fits(additionalKb)) break;
    memory_.reserve(additionalKb);
    requests_.start(request, now_);
    emit(StartExecution{id});
  }
  removeStaleQueueEntries();
}

/// Sheds the oldest requests until the memory suffices and the newest request has a tolerable wait for the
/// requests ahead of it. Returns that wait in seconds.
double AdmissionController::trimQueue(double tolerableSeconds, bool callsWait) {
  double secondsAhead = queuedWorkSeconds(callsWait);
  if (!queue_.isEmpty())
    secondsAhead -= serviceTimes_.executionSeconds(requests_.at(queue_.newest()).arrival);
  const double parallelism = std::max(1.0, limiter_.limit());
  bool isFull = false;
  while (!queue_.isEmpty() && (secondsAhead / parallelism > tolerableSeconds || memory_.isExceeded())) {
    RequestRecord& oldest = requests_.at(queue_.popOldest());
    secondsAhead -= serviceTimes_.executionSeconds(oldest.arrival);
    shedOrFail(oldest, ShedCause::localLoad);
    isFull = true;
  }
  queue_.recordFullness(now_, isFull);
  return std::max(0.0, secondsAhead) / parallelism;
}

void AdmissionController::processAwaitedCalls(bool callsWait) {
  for (const RequestId id : std::exchange(awaitingCall_, {})) {
    RequestRecord* request = requests_.find(id);
    if (!request || request->stage != RequestStage::awaitingCall || !request->isResponsePending) continue;
    processAwaitedCall(*request, callsWait);
  }
}

/// Decides about the call that an execution waits for. A call that would be late, or that failed and should
/// not be retried, is skipped if a response without it earns weight. The request is shed or failed if its
/// call must not be repeated, has failed too often, or would be late while calls wait. Otherwise the call is
/// made as soon as the budget has room.
void AdmissionController::processAwaitedCall(RequestRecord& request, bool callsWait) {
  const RequestId id = request.arrival.id;
  const HandlerPolicy& policy = policyOf(request);
  const int failures = request.consecutiveCallFailures;
  const bool isRepeatable = isIdempotent(request) || provesNotExecuted(request.lastCallOutcome);
  const bool isLate = now_ + fromSeconds(serviceTimes_.callSeconds() * callTimeMargin) > request.target;
  // A call that fails or gets no reply may be retried while calls are fast and use no quota, if it is safe to
  // repeat.
  const bool mayRetryCalls =
      !callBudget_.hasQuota() && serviceTimes_.callSlowdown() < maxSlowdownForRetry && isRepeatable;
  const bool shouldRetry =
      mayRetryCalls && failures < maxCallFailures && request.lastCallOutcome != Outcome::rejected;

  if (policy.degradedWeight > 0 && (isLate || (failures > 0 && !shouldRetry))) {
    requests_.moveTo(request, RequestStage::executing, now_);
    emit(SkipDownstreamCall{id});
  } else if ((failures > 0 && !isRepeatable) || failures >= maxCallFailures || (isLate && callsWait)) {
    shedOrFail(request, ShedCause::unservableAnywhere);
  } else if (!callBudget_.hasRoom(now_)) {
    awaitingCall_.push_back(id);
  } else {
    startDownstreamCall(request, mayRetryCalls && failures == 0);
  }
}

/// Makes the call. If `shouldRetryOutlier`, a call that takes far longer than usual times out, so that it can
/// be retried.
void AdmissionController::startDownstreamCall(RequestRecord& request, bool shouldRetryOutlier) {
  requests_.moveTo(request, RequestStage::calling, now_);
  callBudget_.recordCallStart();
  const Duration timeLeft = (now_ < request.target ? request.target : request.deadline) - now_;
  Duration timeout = std::min(timeLeft, callBudget_.maxCallDuration());
  if (shouldRetryOutlier) timeout = std::min(timeout, serviceTimes_.callOutlierTimeout());
  emit(CallDownstream{.id = request.arrival.id, .timeout = std::max(timeout, minCallTimeout)});
}

/// Skips the call of executions that may not have received their reply, if a response without it earns
/// weight: this has no effect on an execution that received the reply. Gives up others that have reported
/// nothing for too long.
void AdmissionController::resolveUncertainReplies() {
  for (const RequestId id : uncertainReplies_.takeOverdue(now_)) {
    RequestRecord* request = requests_.find(id);
    if (!request || !request->isResponsePending) continue;
    if (policyOf(*request).degradedWeight > 0)
      emit(SkipDownstreamCall{id});
    else
      shedOrFail(*request, ShedCause::replyLost);
  }
}

/// Sheds or fails requests shortly before their deadline or the stop of the server, whether executing or not,
/// and requests whose execution should be cancelled.
void AdmissionController::shedOrFailOverdue() {
  std::set<RequestId> overdue;
  for (const auto& [deadline, id] : requests_.deadlines()) {
    if (std::min(deadline, drain_.stopTime() - tickInterval) - now_ > deadlineMargin) break;
    overdue.insert(id);
  }
  if (canCancelExecutions()) {
    for (const RequestId id : requests_.executing())
      if (shouldCancelExecution(requests_.at(id))) overdue.insert(id);
    entriesScanned_ += requests_.executing().size();
  }
  entriesScanned_ += overdue.size();
  for (const RequestId id : overdue) {
    RequestRecord& request = requests_.at(id);
    shedOrFail(request, now_ > request.target ? ShedCause::unservableAnywhere : ShedCause::localLoad);
  }
}

void AdmissionController::publishLoadSignal() {
  const auto value = loadSignal_.update(drain_.isDraining(), overload_.severity(), limiter_.limit());
  if (value) emit(PublishLoadSignal{*value});
}

// Conditions that the decision stages check.

bool AdmissionController::isTooLate(const RequestRecord& request) const {
  return timing_.isTooLate(request, now_, overload_.isUnderPressure());
}

/// Whether the execution only occupies a core: its target has passed and a late response earns no weight.
bool AdmissionController::shouldCancelExecution(const RequestRecord& request) const {
  return request.isResponsePending && now_ > request.target && isCancellable(request) &&
         policyOf(request).lateWeight <= 0;
}

bool AdmissionController::isIdempotent(const RequestRecord& request) const {
  return policyOf(request).idempotency == Idempotency::idempotent;
}

bool AdmissionController::isCancellable(const RequestRecord& request) const {
  return canCancelExecutions() && isIdempotent(request);
}

bool AdmissionController::canCancelExecutions() const {
  return settings_.machine.cancellation == CancellationMode::discardWork;
}

bool AdmissionController::mayRaiseLimit() const { return limitLeavesCoresIdle_ && now_ >= nextLimitRaise_; }

/// Returns the current limit on executions. Unread requests can't be shed, and reading shares the cores with
/// executions: if requests wait long to be read, one core is reserved for reading.
double AdmissionController::executionLimit() const {
  const int reservedForReading = readDelays_.excessSeconds() > longReadDelaySeconds ? 1 : 0;
  return std::max(1.0, limiter_.limit() - reservedForReading);
}

/// Returns the seconds on the cores that the queued requests need, without those that stay queued because
/// calls wait for the call budget.
double AdmissionController::queuedWorkSeconds(bool callsWait) const {
  double total = 0;
  for (const RequestId id : queue_) {
    const RequestArrived& arrival = requests_.at(id).arrival;
    if (callsWait && serviceTimes_.usuallyCallsDownstream(arrival.handler)) continue;
    total += serviceTimes_.executionSeconds(arrival);
  }
  return total;
}

// Duplicates.

/// Makes a duplicate wait for its original if the request is keyed, since the original may have been
/// executed, or if the original is retained, as for a shared read. Returns whether the request waits.
bool AdmissionController::awaitOriginal(RequestRecord& request) {
  const auto& original = request.arrival.duplicateOf;
  if (!original) return false;
  const bool isKeyed = policyOf(request).idempotency == Idempotency::keyed;
  if (!isKeyed && !deduplication_.contains(*original)) return false;
  request.isDuplicate = true;
  request.stage = RequestStage::awaitingOriginal;
  emit(AnswerFromOriginal{request.arrival.id});
  return true;
}

/// Retains the request if duplicates may follow. Returns false if the request must be retained but the memory
/// does not suffice.
bool AdmissionController::retainForDuplicates(const RequestRecord& request) {
  const HandlerPolicy& policy = policyOf(request);
  const Duration sharingDuration = settings_.sharing.sharingDuration;
  const bool isKeyed = policy.idempotency == Idempotency::keyed;
  const bool isShareable = isIdempotent(request) && sharingDuration > 0s && !request.arrival.isWrite &&
                           request.arrival.resourceKey != ResourceKey{};
  if (!isKeyed && !isShareable) return true;
  if (!memory_.fits(memory_.cachedEntryKb())) return !isKeyed;
  const Duration retention = isKeyed ? request.arrivedAt + policy.deduplicationWindow + retentionMargin - now_
                                     : sharingDuration + policy.latencyObjective;
  memory_.reserve(memory_.cachedEntryKb());
  deduplication_.retain(request.arrival.id, now_ + retention);
  emit(RetainResult{.id = request.arrival.id, .retention = retention});
  return true;
}

/// Drops a retained request that was never started: it has no result, so its duplicates must be executed.
void AdmissionController::dropRetained(const RequestRecord& request) {
  if (request.wasEverStarted || !deduplication_.remove(request.arrival.id)) return;
  memory_.release(memory_.cachedEntryKb());
  emit(DropResult{request.arrival.id});
}

// Responses without a result.

/// Sends the final response of the request. A request that may have been executed and must not be repeated,
/// and a duplicate of such a request, is never reported as shed.
void AdmissionController::shedOrFail(RequestRecord& request, ShedCause cause) {
  const RequestId id = request.arrival.id;
  const bool isLocal = cause == ShedCause::localLoad;
  if (isLocal) overload_.recordShed();
  if (isIdempotent(request) || (!request.wasEverStarted && !request.isDuplicate)) {
    emit(ShedRequest{.id = id,
                     .retryAfter = isLocal ? retryAfter() : Duration{},
                     .discourageRetry = cause == ShedCause::unservableAnywhere || shouldDiscourageRetry()});
  } else {
    emit(FailRequest{id});
  }
  closeRequest(request);
}

/// Closes a request that needs no response any more. A request that has not started is removed. An execution
/// is cancelled if that is possible; otherwise it runs to its end.
void AdmissionController::closeRequest(RequestRecord& request) {
  requests_.clearPendingResponse(request);
  if (request.stage == RequestStage::executing && isCancellable(request))
    emit(CancelExecution{request.arrival.id});
  if (isStarted(request.stage)) return;
  dropRetained(request);
  remove(request);
}

void AdmissionController::remove(const RequestRecord& request) {
  const double queuedKb = request.arrival.queuedMemoryKb;
  uncertainReplies_.remove(request.arrival.id);
  memory_.release(isStarted(request.stage) ? memory_.executionKb(queuedKb) : queuedKb);
  requests_.remove(request.arrival.id);
}

/// Removes the ids of requests that are no longer queued.
void AdmissionController::removeStaleQueueEntries() {
  entriesScanned_ += queue_.size();
  queue_.retainIf([this](RequestId id) {
    const RequestRecord* request = requests_.find(id);
    return request && request->stage == RequestStage::queued;
  });
}

Duration AdmissionController::retryAfter() const {
  const Duration longest = settings_.signaling.maxRetryAfter;
  if (drain_.isDraining()) return longest;
  return fromSeconds(toSeconds(longest) * overload_.severity());
}

/// If all servers are overloaded, retries at other servers fail too and only add load. A slow server can't
/// tell whether only it is slow, or whether reading and accepting overload the whole fleet; retries of shed
/// requests increase that load. So every overloaded server discourages retries, unless it is draining.
bool AdmissionController::shouldDiscourageRetry() const {
  return !drain_.isDraining() && overload_.isOverloaded();
}

const HandlerPolicy& AdmissionController::policyOf(const RequestRecord& request) const {
  return settings_.handlers[indexOf(request.arrival.handler)];
}

void AdmissionController::emit(Action action) { actions_.push_back(std::move(action)); }

}  // namespace rainhook
