/// @file
/// A simple model of the environment of one server and of the rules of the protocol.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decision/decision.h"

namespace rainhook {

using namespace std::chrono_literals;

/// The state of a request as seen by the environment of the server.
enum class RequestState { queued, executing, awaitingCall, calling, awaitingOriginal, ended };

/// One request and the actions of the policy on it.
struct ModelRequest {
  RequestArrived arrival;
  Duration arrivedAt{};
  Duration deadline{};
  Duration callDeadline{};
  RequestState state = RequestState::queued;
  int answerCount = 0;
  int startCount = 0;
  int shedCount = 0;
  bool hasClientDisconnected = false;
  bool mayCallHaveRun = false;
  /// The first attempt of the same keyed request; the request itself if it is the first.
  RequestId original{};
};

/// Reports events to the policy, carries out its actions and records every violation of a rule.
///
/// A test sets `settings` and the gauges, calls `open`, then lets requests arrive and time pass. Events wait
/// in `pendingEvents` until `advance` reports them to the policy.
class ProtocolModel {
 public:
  PolicySettings settings{.machine = {.cores = 2,
                                      .memoryKb = 4000,
                                      .executionMemoryFactor = 4,
                                      .cachedEntryKb = 50,
                                      .maxExecutionsPerCore = 4,
                                      .overcommitWindow = 2s},
                          .handlers = {{.latencyObjective = 1s, .clientTimeout = 3s}},
                          .downstream = {},
                          .limits = {.answerSlack = 60ms, .drainGrace = 1s},
                          .signaling = {.maxRetryAfter = 1s},
                          .sharing = {},
                          .fleet = {.servers = 4, .clients = 2}};

  // The gauges that each `TimerFired` event reports.
  double cpuUtilization = 1;
  double runnableTasks = 100;
  double openConnections = 0;

  std::unique_ptr<AdmissionPolicy> policy;
  std::vector<Event> pendingEvents;
  std::map<RequestId, ModelRequest> requests;
  /// For each retained request, the time until which it is retained.
  std::map<RequestId, Duration> retainedUntil;
  /// Descriptions of the rules that were violated.
  std::vector<std::string> violations;

  Duration now{};
  Duration notifiedAt = Duration::max();
  Duration stopAt = Duration::max();
  /// The last idle timeout of connections that the policy set.
  Duration idleTimeout{};
  std::uint32_t lastId = 0;
  int discouragedRetries = 0;
  int callsMade = 0;
  int callsSkipped = 0;

  void open() {
    policy = makeAdmissionPolicy(settings);
    advance(0ms);
  }

  [[nodiscard]] std::vector<RequestId> idsIn(RequestState state) const {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests)
      if (request.state == state) ids.push_back(id);
    return ids;
  }
  [[nodiscard]] int countIn(RequestState state) const { return static_cast<int>(idsIn(state).size()); }

  [[nodiscard]] const HandlerPolicy& policyOf(const ModelRequest& request) const {
    return settings.handlers[indexOf(request.arrival.handler)];
  }
  [[nodiscard]] Idempotency idempotencyOf(const ModelRequest& request) const {
    return policyOf(request).idempotency;
  }

  // Events of the environment.

  /// Lets a request arrive; `retryOf` names an earlier attempt of the same request.
  RequestId arrive(int handler = 0, Duration timeRemaining = 3s, Duration readDelay = 0ms,
                   std::optional<RequestId> retryOf = {}) {
    RequestArrived arrival;
    arrival.id = RequestId{++lastId};
    arrival.handler = HandlerId{static_cast<std::uint8_t>(handler)};
    arrival.clientPriority = 0.5;
    arrival.queuedMemoryKb = 20;
    arrival.timeRemaining = timeRemaining;
    arrival.readDelay = readDelay;
    ModelRequest request{.arrival = arrival, .arrivedAt = now - readDelay, .deadline = now + timeRemaining};
    request.original = retryOf ? requests.at(*retryOf).original : arrival.id;
    if (retryOf) request.arrival.duplicateOf = retainedAttemptOf(request.original);
    requests[arrival.id] = request;
    pendingEvents.emplace_back(request.arrival);
    return arrival.id;
  }

  void endExecution(RequestId id, Outcome outcome = Outcome::completed) {
    ModelRequest& request = requests.at(id);
    request.state = RequestState::ended;
    pendingEvents.emplace_back(ExecutionEnded{id, outcome, {}});
    const bool hasResult = outcome == Outcome::completed || outcome == Outcome::failed;
    if (hasResult && !request.hasClientDisconnected && request.answerCount == 0) answer(request);
    for (auto& [other, duplicate] : requests) {
      if (duplicate.state != RequestState::awaitingOriginal || duplicate.original != request.original)
        continue;
      endExecution(other, outcome == Outcome::completed ? Outcome::completed : Outcome::failed);
    }
  }

  void requestCall(RequestId id) {
    ModelRequest& request = requests.at(id);
    request.state = RequestState::awaitingCall;
    pendingEvents.emplace_back(DownstreamCallRequested{id});
    if (request.answerCount > 0 || request.hasClientDisconnected) endExecution(id, Outcome::cancelled);
  }

  void endCall(RequestId id, Outcome outcome) {
    ModelRequest& request = requests.at(id);
    pendingEvents.emplace_back(DownstreamCallEnded{id, outcome, {}});
    if (outcome == Outcome::timedOut)
      abandonedUntil_.push_back(now + settings.downstream.maxAbandonedCallDuration);
    request.state = outcome == Outcome::completed ? RequestState::executing : RequestState::awaitingCall;
    request.mayCallHaveRun =
        outcome == Outcome::failed || outcome == Outcome::timedOut || outcome == Outcome::connectionLost;
  }

  /// Disconnects the client of the request and reports it to the policy.
  void disconnect(RequestId id) {
    ModelRequest& request = requests.at(id);
    request.hasClientDisconnected = true;
    pendingEvents.emplace_back(ClientDisconnected{id});
    closeRequest(request);
  }

  void announceShutdown(Duration timeRemaining) {
    notifiedAt = now;
    stopAt = now + timeRemaining;
    pendingEvents.emplace_back(ShutdownNotice{timeRemaining});
  }

  /// Lets time pass in steps of at most 5 ms; fires timers and reports pending events to the policy.
  void advance(Duration duration) {
    const Duration until = now + duration;
    do {
      const Duration before = now;
      now = std::min(until, now + step);
      expire();
      accountForCalls(now - before);
      fireTimers();
      const std::vector<Event> events = std::exchange(pendingEvents, {});
      if (events.empty() && now > 0ms) continue;
      for (const Action& action : policy->onEvents(now, events))
        std::visit([this](const auto& each) { apply(each); }, action);
      checkInvariants();
    } while (now < until);
  }

 private:
  static constexpr Duration step = 5ms;

  [[nodiscard]] static double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void reportViolation(const char* rule) { violations.emplace_back(rule); }

  /// The retained attempt of the same keyed request; the last one if there are several.
  [[nodiscard]] std::optional<RequestId> retainedAttemptOf(RequestId original) const {
    std::optional<RequestId> retained;
    for (const auto& [id, request] : requests)
      if (request.original == original && retainedUntil.contains(id)) retained = id;
    return retained;
  }

  // Responses.

  void answer(ModelRequest& request) {
    ++request.answerCount;
    if (request.answerCount > 1) reportViolation("answered twice");
    if (!request.hasClientDisconnected && now > request.deadline + settings.limits.answerSlack)
      reportViolation("answered after the deadline and the slack");
  }

  /// Ends a request that needs no response any more and does not occupy a core; an execution runs to its end.
  void closeRequest(ModelRequest& request) {
    if (request.state == RequestState::queued || request.state == RequestState::awaitingOriginal)
      request.state = RequestState::ended;
    if (request.state == RequestState::awaitingCall || request.state == RequestState::calling)
      endExecution(request.arrival.id, Outcome::cancelled);
  }

  /// Whether the same keyed request was executed within the deduplication window and must not be executed
  /// again.
  [[nodiscard]] bool wasExecutedWithinWindow(const ModelRequest& request) const {
    if (idempotencyOf(request) != Idempotency::keyed) return false;
    const auto executed = executedArrivals_.find(request.original);
    if (executed == executedArrivals_.end()) return false;
    return request.arrivedAt <= executed->second + policyOf(request).deduplicationWindow;
  }

  // Actions of the policy.

  void apply(const StartExecution& action) {
    ModelRequest& request = requests.at(action.id);
    if (request.state != RequestState::queued) return;
    if (idempotencyOf(request) != Idempotency::idempotent && request.startCount > 0)
      reportViolation("request that is not idempotent executed twice");
    if (wasExecutedWithinWindow(request))
      reportViolation("keyed request executed twice within the deduplication window");
    if (notifiedAt < Duration::max() && request.arrivedAt > notifiedAt + settings.limits.drainGrace)
      reportViolation("executed a request that arrived after the drain grace");
    executedArrivals_[request.original] = request.arrivedAt;
    ++request.startCount;
    request.state = RequestState::executing;
  }
  void apply(const ShedRequest& action) {
    if (action.discourageRetry) ++discouragedRetries;
    ModelRequest& request = requests.at(action.id);
    if (request.state == RequestState::ended || request.hasClientDisconnected) return;
    const bool mayHaveEffect = request.startCount > 0 || wasExecutedWithinWindow(request);
    if (request.arrival.handler != HandlerId{} && idempotencyOf(request) != Idempotency::idempotent &&
        mayHaveEffect)
      reportViolation("shed a request that may have been executed and must not be repeated");
    ++request.shedCount;
    answer(request);
    closeRequest(request);
  }
  void apply(const FailRequest& action) {
    ModelRequest& request = requests.at(action.id);
    if (request.state == RequestState::ended || request.hasClientDisconnected) return;
    answer(request);
    closeRequest(request);
  }
  void apply(const CancelExecution& action) {
    ModelRequest& request = requests.at(action.id);
    const CancellationMode cancellation = settings.machine.cancellation;
    if (cancellation == CancellationMode::none)
      reportViolation("cancelled an execution although the engine can't cancel");
    if (request.state != RequestState::executing || cancellation != CancellationMode::discardWork) return;
    const bool isAnswered = request.answerCount > 0 || request.hasClientDisconnected;
    request.state = isAnswered ? RequestState::ended : RequestState::queued;
    pendingEvents.emplace_back(ExecutionEnded{action.id, Outcome::cancelled, {}});
  }
  void apply(const CallDownstream& action) {
    ModelRequest& request = requests.at(action.id);
    if (request.state != RequestState::awaitingCall) return;
    if (request.mayCallHaveRun && idempotencyOf(request) != Idempotency::idempotent)
      reportViolation("repeated a downstream call that may have been executed");
    request.state = RequestState::calling;
    request.callDeadline = now + action.timeout;
    ++callsMade;
  }
  void apply(const SkipDownstreamCall& action) {
    ++callsSkipped;
    ModelRequest& request = requests.at(action.id);
    if (policyOf(request).degradedWeight <= 0) reportViolation("skipped a downstream call that is required");
    if (request.state == RequestState::awaitingCall) request.state = RequestState::executing;
  }
  void apply(const RetainResult& action) { retainedUntil[action.id] = now + action.retention; }
  void apply(const DropResult& action) {
    if (requests.at(action.id).startCount > 0)
      reportViolation("dropped the result of a request that was executed");
    retainedUntil.erase(action.id);
  }
  void apply(const AnswerFromOriginal& action) {
    ModelRequest& request = requests.at(action.id);
    request.state = RequestState::awaitingOriginal;
    if (!request.arrival.duplicateOf) {
      reportViolation("duplicate without an original to answer from");
      return;
    }
    const auto original = requests.find(*request.arrival.duplicateOf);
    if (original != requests.end() && original->second.state == RequestState::ended)
      endExecution(action.id, Outcome::completed);
  }
  void apply(const SetIdleConnectionTimeout& action) { idleTimeout = action.timeout; }
  void apply(const SetTimer& action) { timers_.emplace(now + action.delay, action.timer); }
  void apply(const PublishHealth&) {}
  void apply(const PublishLoadSignal&) {}
  void apply(const DiagnosticMessage&) {}

  // Elapsed time.

  void expire() {
    std::erase_if(retainedUntil, [this](const auto& entry) { return entry.second < now; });
    std::erase_if(abandonedUntil_, [this](Duration until) { return until < now; });
    for (const RequestId id : idsIn(RequestState::calling))
      if (requests.at(id).callDeadline <= now) endCall(id, Outcome::timedOut);
  }

  void accountForCalls(Duration elapsed) {
    const double inFlight = countIn(RequestState::calling) + static_cast<double>(abandonedUntil_.size());
    callSeconds_.emplace_back(now, inFlight * toSeconds(elapsed));
    const Duration windowStart = now - settings.downstream.quotaWindow;
    while (!callSeconds_.empty() && callSeconds_.front().first <= windowStart) callSeconds_.pop_front();
  }

  void fireTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      pendingEvents.emplace_back(TimerFired{.timer = timers_.begin()->second,
                                            .cpuUtilization = cpuUtilization,
                                            .runnableTasks = runnableTasks,
                                            .memoryUtilization = {},
                                            .openConnections = openConnections});
      timers_.erase(timers_.begin());
    }
  }

  // Invariants after every batch of events.

  void checkInvariants() {
    checkAnswers();
    if (memoryInUse() > settings.machine.memoryKb) reportViolation("memory limit exceeded");
    if (countIn(RequestState::executing) > sustainableExecutions())
      reportViolation("more concurrent executions than the machine can sustain");
    checkCallQuota();
  }

  void checkAnswers() {
    for (const auto& [id, request] : requests) {
      const Duration latest = std::min(request.deadline + settings.limits.answerSlack, stopAt);
      if (!request.hasClientDisconnected && request.answerCount == 0 && now > latest)
        reportViolation("not answered by the deadline and the slack or by the stop");
    }
  }

  [[nodiscard]] double memoryInUse() const {
    double totalKb = static_cast<double>(retainedUntil.size()) * settings.machine.cachedEntryKb;
    for (const auto& [id, request] : requests) {
      const double queuedKb = request.arrival.queuedMemoryKb;
      if (request.state == RequestState::queued || request.state == RequestState::awaitingOriginal)
        totalKb += queuedKb;
      else if (request.state != RequestState::ended)
        totalKb += queuedKb * settings.machine.executionMemoryFactor;
    }
    return totalKb;
  }

  [[nodiscard]] double sustainableExecutions() const {
    const MachineProfile& machine = settings.machine;
    const double progress = std::min(1.0, toSeconds(now) / toSeconds(machine.warmUpDuration));
    const double speed = machine.coldStart ? machine.initialSpeed + (1 - machine.initialSpeed) * progress : 1;
    return machine.cores * (1 + (machine.maxExecutionsPerCore - 1) * speed);
  }

  void checkCallQuota() {
    const DownstreamProfile& downstream = settings.downstream;
    double total = 0;
    for (const auto& [at, seconds] : callSeconds_) total += seconds;
    const double allowed = downstream.concurrentCallQuota * toSeconds(downstream.quotaWindow);
    if (downstream.concurrentCallQuota > 0 && total > allowed) reportViolation("downstream quota exceeded");
  }

  std::multimap<Duration, TimerId> timers_;
  /// For each original, the arrival time of the attempt that was executed.
  std::map<RequestId, Duration> executedArrivals_;
  std::vector<Duration> abandonedUntil_;
  /// The call-seconds of each step within the quota's window.
  std::deque<std::pair<Duration, double>> callSeconds_;
};

}  // namespace rainhook
