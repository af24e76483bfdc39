/// @file
/// Compares the behaviour of the decision module with a recording.
///
/// Several hundred simulated histories report batches of events to the policy and carry out its actions.
/// Every field of every action is hashed, and the hashes are compared with tests/data/decision_recording.txt.
/// The test does not judge whether a decision is good: it shows that a change that is meant to keep the
/// behaviour did keep it.
///
/// After a change that is meant to decide differently, record again and review the change by the other tests:
///
///     RAINHOOK_RECORD=1 rainhook_tests --gtest_filter='DecisionRecording.*'
///
/// Such a run fails by design, so that no check passes by recording.
///
/// This file has its own random number generator, which draws integers, so the histories are the same on
/// every machine. The module itself calculates in doubles: the recording is valid for x86-64 with the C
/// library's std::exp2, at any optimization level that conforms to IEEE 754.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "decision/decision.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

const std::string recordingFile = RAINHOOK_SOURCES "/tests/data/decision_recording.txt";

constexpr int seedCount = 40;
constexpr int batchesPerHash = 10;

/// SplitMix64 with draws that need no library. Durations are multiples of a grain: a coarse grain produces
/// exactly equal times, which tests the boundaries of comparisons.
class RandomSource {
 public:
  RandomSource(std::uint64_t seed, Duration grain) : state_(seed), grain_(grain) {}

  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
  }
  std::int64_t between(std::int64_t least, std::int64_t most) {
    const auto width = static_cast<std::uint64_t>(most - least + 1);
    return least + static_cast<std::int64_t>(next() % width);
  }
  bool percent(int share) { return between(0, 99) < share; }
  bool permille(int share) { return between(0, 999) < share; }
  /// Divides two integers only once, so that the result is rounded the same on every machine.
  double thousandths(std::int64_t least, std::int64_t most) {
    return static_cast<double>(between(least, most)) / 1000;
  }
  Duration millis(std::int64_t least, std::int64_t most) {
    const std::int64_t grainsInOne = Duration(1ms) / grain_;
    return grain_ * between(least * grainsInOne, most * grainsInOne);
  }
  template <typename Value, std::size_t size>
  Value oneOf(const std::array<Value, size>& values) {
    return values[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(size) - 1))];
  }

 private:
  std::uint64_t state_;
  const Duration grain_;
};

/// FNV-1a over 64-bit words, lowest byte first.
class Hash {
 public:
  void add(std::uint64_t word) {
    for (int shift = 0; shift < 64; shift += 8) {
      value_ ^= (word >> shift) & 0xff;
      value_ *= 0x100000001b3;
    }
  }
  void add(Duration span) { add(static_cast<std::uint64_t>(span.count())); }
  void add(double number) { add(std::bit_cast<std::uint64_t>(number)); }
  void add(bool flag) { add(std::uint64_t{flag ? 1U : 0U}); }
  void add(RequestId id) { add(std::uint64_t{static_cast<std::uint32_t>(id)}); }
  void add(TimerId id) { add(std::uint64_t{static_cast<std::uint32_t>(id)}); }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

/// The codes of actions in the recording; they do not depend on the order of `Action`.
enum class ActionCode : std::uint64_t {
  start = 1,
  shed = 2,
  fail = 3,
  cancel = 4,
  call = 5,
  skipDownstreamCall = 6,
  retain = 7,
  drop = 8,
  answerFromOriginal = 9,
  publishHealth = 10,
  publishLoadSignal = 11,
  setIdleConnectionTimeout = 12,
  setTimer = 13,
  diagnosticMessage = 14,
};

/// Hashes an action in a canonical encoding: its code, then its fields in order. The text of a diagnostic
/// message is omitted, since its wording may change.
class Encoder {
 public:
  explicit Encoder(Hash& hash) : hash_(hash) {}

  void encode(const StartExecution& action) { fields(ActionCode::start, action.id); }
  void encode(const ShedRequest& action) {
    fields(ActionCode::shed, action.id, action.retryAfter, action.discourageRetry);
  }
  void encode(const FailRequest& action) { fields(ActionCode::fail, action.id); }
  void encode(const CancelExecution& action) { fields(ActionCode::cancel, action.id); }
  void encode(const CallDownstream& action) { fields(ActionCode::call, action.id, action.timeout); }
  void encode(const SkipDownstreamCall& action) { fields(ActionCode::skipDownstreamCall, action.id); }
  void encode(const RetainResult& action) { fields(ActionCode::retain, action.id, action.retention); }
  void encode(const DropResult& action) { fields(ActionCode::drop, action.id); }
  void encode(const AnswerFromOriginal& action) { fields(ActionCode::answerFromOriginal, action.id); }
  void encode(const PublishHealth& action) {
    fields(ActionCode::publishHealth, action.healthy, action.isCacheable);
  }
  void encode(const PublishLoadSignal& action) { fields(ActionCode::publishLoadSignal, action.value); }
  void encode(const SetIdleConnectionTimeout& action) {
    fields(ActionCode::setIdleConnectionTimeout, action.timeout);
  }
  void encode(const SetTimer& action) { fields(ActionCode::setTimer, action.timer, action.delay); }
  void encode(const DiagnosticMessage&) { fields(ActionCode::diagnosticMessage); }

 private:
  template <typename... Fields>
  void fields(ActionCode kind, const Fields&... each) {
    hash_.add(static_cast<std::uint64_t>(kind));
    (hash_.add(each), ...);
  }

  Hash& hash_;
};

/// The number of occurrences of each action in all histories, so that a loss of coverage is noticed.
struct ActionCounts {
  int batches = 0;
  int starts = 0;
  int shedsDiscouragingRetry = 0;
  int shedsOther = 0;
  int shedsWithRetryAfter = 0;
  int fails = 0;
  int cancellations = 0;
  int calls = 0;
  int skippedCalls = 0;
  int retentions = 0;
  int drops = 0;
  int answersFromOriginal = 0;
  int healthReports = 0;
  int loadSignals = 0;
  int idleTimeouts = 0;
  int timers = 0;
  int messages = 0;

  void count(const StartExecution&) { ++starts; }
  void count(const ShedRequest& action) {
    ++(action.discourageRetry ? shedsDiscouragingRetry : shedsOther);
    if (action.retryAfter > 0s) ++shedsWithRetryAfter;
  }
  void count(const FailRequest&) { ++fails; }
  void count(const CancelExecution&) { ++cancellations; }
  void count(const CallDownstream&) { ++calls; }
  void count(const SkipDownstreamCall&) { ++skippedCalls; }
  void count(const RetainResult&) { ++retentions; }
  void count(const DropResult&) { ++drops; }
  void count(const AnswerFromOriginal&) { ++answersFromOriginal; }
  void count(const PublishHealth&) { ++healthReports; }
  void count(const PublishLoadSignal&) { ++loadSignals; }
  void count(const SetIdleConnectionTimeout&) { ++idleTimeouts; }
  void count(const SetTimer&) { ++timers; }
  void count(const DiagnosticMessage&) { ++messages; }
};

/// The settings that distinguish a group of histories.
enum class Variant {
  baseline,
  discardWork,
  pauseWork,
  quotaBelowOne,
  quotaAboveOne,
  quotaAroundOne,
  nextTier,
  coldStart,
  tightMemory,
  tightMemoryDiscardWork,
  sharedReads,
  lowExecutionCeiling,
};
/// The names in the recording, in the order of `Variant`.
constexpr std::array<const char*, 12> variantNames{
    "plain", "drop", "pause",       "shareUnderOne",   "shareOverOne", "shareAroundOne",
    "tier",  "cold", "tightMemory", "tightMemoryDrop", "sharingReads", "crowded"};

MachineProfile makeMachine(Variant variant, RandomSource& random) {
  MachineProfile machine;
  machine.cores = random.oneOf(std::array{1, 2, 4, 16});
  machine.executionMemoryFactor = random.thousandths(1000, 4000);
  machine.cachedEntryKb = random.thousandths(500, 4000);
  machine.maxExecutionsPerCore = random.thousandths(4000, 20'000);
  machine.memoryKb = 1e6;
  if (variant == Variant::tightMemory || variant == Variant::tightMemoryDiscardWork)
    machine.memoryKb = machine.cores * random.thousandths(300'000, 700'000);
  if (variant == Variant::lowExecutionCeiling) machine.maxExecutionsPerCore = random.thousandths(1500, 3000);
  if (variant == Variant::coldStart) {
    machine.coldStart = true;
    machine.initialSpeed = random.thousandths(100, 500);
    machine.warmUpDuration = random.millis(1000, 4000);
    machine.overcommitWindow = 500ms;
    machine.maxExecutionsPerCore = random.thousandths(2000, 5000);
  }
  const bool discardsWork = variant == Variant::discardWork || variant == Variant::tightMemoryDiscardWork ||
                            variant == Variant::quotaBelowOne || variant == Variant::lowExecutionCeiling;
  if (discardsWork) machine.cancellation = CancellationMode::discardWork;
  if (variant == Variant::pauseWork) machine.cancellation = CancellationMode::pauseWork;
  return machine;
}

HandlerPolicy makeHandler(Idempotency idempotency, bool calls, RandomSource& random) {
  HandlerPolicy policy;
  policy.idempotency = idempotency;
  policy.callsDownstream = calls;
  policy.latencyObjective = random.millis(200, 900);
  policy.clientTimeout = policy.latencyObjective + random.millis(0, 1200);
  if (random.percent(30)) policy.objectiveWorkFactor = random.thousandths(500, 3000);
  policy.priorityWeight = random.thousandths(500, 3000);
  if (random.percent(40)) policy.lateWeight = random.thousandths(100, 600);
  if (calls && random.percent(50)) policy.degradedWeight = random.thousandths(100, 900);
  if (idempotency == Idempotency::keyed) policy.deduplicationWindow = random.millis(300, 2500);
  return policy;
}

std::vector<HandlerPolicy> makeHandlers(RandomSource& random) {
  std::vector<HandlerPolicy> handlers;
  handlers.push_back(makeHandler(Idempotency::idempotent, true, random));
  handlers.push_back(makeHandler(Idempotency::idempotent, false, random));
  handlers.push_back(makeHandler(Idempotency::keyed, true, random));
  handlers.push_back(makeHandler(Idempotency::nonIdempotent, random.percent(50), random));
  return handlers;
}

DownstreamProfile makeDownstream(Variant variant, RandomSource& random) {
  DownstreamProfile downstream;
  if (variant == Variant::nextTier) downstream.kind = DownstreamKind::nextTier;
  if (variant == Variant::quotaBelowOne) downstream.concurrentCallQuota = random.thousandths(300, 950);
  if (variant == Variant::quotaAboveOne) downstream.concurrentCallQuota = random.thousandths(2000, 8000);
  if (variant == Variant::quotaAroundOne) downstream.concurrentCallQuota = random.thousandths(1000, 2500);
  if (variant == Variant::tightMemoryDiscardWork)
    downstream.concurrentCallQuota = random.thousandths(1000, 4000);
  if (downstream.concurrentCallQuota > 0) {
    downstream.kind = DownstreamKind::shared;
    downstream.quotaWindow = random.millis(1000, 5000);
    if (random.percent(60)) downstream.maxAbandonedCallDuration = random.millis(10, 150);
  }
  return downstream;
}

SignalingProfile makeSignaling(RandomSource& random) {
  SignalingProfile signaling;
  signaling.signalKind = random.oneOf(std::array{LoadSignalKind::none, LoadSignalKind::level,
                                                 LoadSignalKind::credit, LoadSignalKind::weight});
  signaling.signalLifetime = 500ms;
  signaling.registryFollowsHealth = random.percent(50);
  if (random.percent(50)) signaling.maxRetryAfter = random.millis(200, 2000);
  return signaling;
}

PolicySettings makeSettings(Variant variant, RandomSource& random) {
  PolicySettings settings;
  settings.machine = makeMachine(variant, random);
  settings.handlers = makeHandlers(random);
  settings.downstream = makeDownstream(variant, random);
  settings.limits.answerSlack = 20ms;
  settings.limits.drainGrace = random.millis(0, 100);
  settings.signaling = makeSignaling(random);
  settings.sharing.weightByWork = random.percent(50);
  if (variant == Variant::sharedReads) settings.sharing.sharingDuration = random.millis(50, 800);
  settings.fleet.servers = random.oneOf(std::array{1, 3, 40});
  settings.fleet.clients = random.oneOf(std::array{1, 8, 200});
  settings.fleet.maxIdleTime = random.millis(50, 5000);
  return settings;
}

/// The state of a request in the simulation.
enum class SimulatedState { queued, awaitingOriginal, executing, awaitingCall, calling };

struct SimulatedRequest {
  SimulatedState state = SimulatedState::queued;
  HandlerId handler{};
  ResourceKey resourceKey{};
  /// Work left until the execution makes a downstream call or ends.
  Duration remainingWork{};
  /// Work of each part that follows a downstream call.
  Duration workAfterCall{};
  int remainingCalls = 0;
  Duration callEndsAt{};
  Duration callDuration{};
  Duration callTimeout{};
  Duration originalEndsAt{};
  /// Whether it was answered or its client disconnected, so that it needs no response any more.
  bool isClosed = false;
  bool isCancelling = false;
};

/// The conditions of the environment during 20 batches.
struct LoadConditions {
  /// Arriving work in thousandths of the capacity of the cores.
  int loadPermille = 500;
  bool isReadingLate = false;
  /// Whether many tasks other than executions are ready to run.
  bool hasManyOtherTasks = false;
  bool areCoresIdle = false;
  int callMs = 10;
  int callFailurePercent = 0;
};

/// One simulated history: creates a policy and simulates its environment, batch by batch.
class History {
 public:
  History(Variant variant, int seed)
      : random_(static_cast<std::uint64_t>(seed) * 1000 + static_cast<std::uint64_t>(variant),
                seed % 2 == 0 ? Duration(1ms) : Duration(1us)),
        settings_(makeSettings(variant, random_)),
        batches_(static_cast<int>(random_.between(100, 200))),
        drains_(random_.percent(35)),
        reportsGauges_(random_.percent(80)),
        frequentShares_{random_.thousandths(200, 500), random_.thousandths(600, 900)},
        statedTimeoutPercent_(static_cast<int>(random_.oneOf(std::array{0, 50, 100}))) {
    policy_ = makeAdmissionPolicy(settings_);
  }

  /// Simulates all batches; returns the hash after every ten batches and after the last.
  std::vector<std::uint64_t> run(ActionCounts& counts) {
    std::vector<std::uint64_t> hashes;
    for (batch_ = 1; batch_ <= batches_; ++batch_) {
      if (batch_ > 1) collectEvents();
      const std::vector<Action> actions = policy_->onEvents(now_, events_);
      for (const Action& action : actions) process(action, counts);
      hash_.add(policy_->concurrencyLimit());
      hash_.add(policy_->entriesScanned());
      ++counts.batches;
      if (batch_ % batchesPerHash == 0 || batch_ == batches_) hashes.push_back(hash_.value());
    }
    return hashes;
  }

 private:
  void process(const Action& action, ActionCounts& counts) {
    Encoder encoder(hash_);
    std::visit([&encoder](const auto& each) { encoder.encode(each); }, action);
    std::visit([&counts](const auto& each) { counts.count(each); }, action);
    std::visit([this](const auto& each) { apply(each); }, action);
  }

  // Actions of the policy.
  void apply(const StartExecution& action) {
    if (SimulatedRequest* request = find(action.id)) request->state = SimulatedState::executing;
  }
  void apply(const ShedRequest& action) { closeRequest(action.id); }
  void apply(const FailRequest& action) { closeRequest(action.id); }
  void apply(const CancelExecution& action) {
    if (SimulatedRequest* request = find(action.id)) request->isCancelling = true;
  }
  void apply(const CallDownstream& action) {
    SimulatedRequest* request = find(action.id);
    if (!request) return;
    request->state = SimulatedState::calling;
    request->callTimeout = action.timeout;
    request->callDuration = random_.millis(1, 2 * conditions_.callMs);
    if (random_.percent(2)) request->callDuration *= 20;
    request->callEndsAt = now_ + std::min(request->callDuration, action.timeout);
  }
  void apply(const SkipDownstreamCall& action) {
    if (SimulatedRequest* request = find(action.id)) resumeExecution(*request);
  }
  void apply(const RetainResult& action) {
    retained_.push_back(action.id);
    if (retained_.size() > 30) retained_.pop_front();
  }
  void apply(const DropResult& action) { std::erase(retained_, action.id); }
  void apply(const AnswerFromOriginal& action) {
    SimulatedRequest* request = find(action.id);
    if (!request) return;
    request->state = SimulatedState::awaitingOriginal;
    request->originalEndsAt = now_ + random_.millis(1, 900);
  }
  void apply(const SetTimer& action) { timers_[action.timer] = now_ + action.delay; }
  void apply(const PublishHealth&) {}
  void apply(const PublishLoadSignal&) {}
  void apply(const SetIdleConnectionTimeout&) {}
  void apply(const DiagnosticMessage&) {}

  void resumeExecution(SimulatedRequest& request) {
    request.state = SimulatedState::executing;
    request.remainingWork = request.workAfterCall;
    --request.remainingCalls;
  }
  /// Closes a request that needs no response any more: removes it if it has not started; an execution ends
  /// later.
  void closeRequest(RequestId id) {
    SimulatedRequest* request = find(id);
    if (!request) return;
    request->isClosed = true;
    if (request->state == SimulatedState::queued || request->state == SimulatedState::awaitingOriginal)
      requests_.erase(id);
  }
  SimulatedRequest* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  /// Collects the events until the next batch.
  void collectEvents() {
    events_.clear();
    if (batch_ % 20 == 2) changeConditions();
    const Duration passed = timeToNextBatch();
    now_ += passed;
    const bool timersFirst = random_.percent(50);
    if (timersFirst) fireTimers();
    proceed(passed);
    generateArrivals(passed);
    disconnectClients();
    if (!timersFirst) fireTimers();
    reportMachine();
    reportUnknownRequests();
    reportStaleCalls();
  }

  Duration timeToNextBatch() {
    if (random_.percent(5)) return 0ms;
    if (random_.percent(3)) return random_.millis(100, 400);
    if (random_.percent(30)) return random_.millis(1, 10);
    return random_.millis(1, 60);
  }

  void changeConditions() {
    conditions_.loadPermille = random_.oneOf(std::array{200, 400, 600, 800, 1100, 2000});
    conditions_.isReadingLate = random_.percent(15);
    conditions_.hasManyOtherTasks = random_.percent(30);
    conditions_.areCoresIdle = random_.percent(60);
    conditions_.callMs = random_.oneOf(std::array{5, 15, 40, 120});
    conditions_.callFailurePercent = random_.oneOf(std::array{0, 2, 10, 60});
  }

  /// Advances executions, calls and duplicates in the order of their ids.
  void proceed(Duration passed) {
    std::int64_t running = 0;
    for (const auto& [id, request] : requests_)
      if (request.state == SimulatedState::executing) ++running;
    const std::int64_t cores = settings_.machine.cores;
    const Duration worked = passed * cores / std::max(cores, running);
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_) ids.push_back(id);
    for (const RequestId id : ids) proceed(id, *find(id), worked);
  }

  void proceed(RequestId id, SimulatedRequest& request, Duration worked) {
    switch (request.state) {
      case SimulatedState::queued:
        break;
      case SimulatedState::awaitingOriginal:
        if (request.originalEndsAt <= now_) endExecution(id, Outcome::completed);
        break;
      case SimulatedState::executing:
        execute(id, request, worked);
        break;
      case SimulatedState::awaitingCall:
        if (request.isClosed) {
          endExecution(id, Outcome::connectionLost);
        } else if (random_.permille(3)) {
          cancelUnrequested(id, request);
        }
        break;
      case SimulatedState::calling:
        if (request.callEndsAt <= now_) {
          endCall(id, request);
        } else if (random_.permille(3)) {
          endExecution(id, random_.percent(10) ? Outcome::superseded : Outcome::failed);
        } else if (random_.permille(3)) {
          cancelUnrequested(id, request);
        }
        break;
    }
  }

  void execute(RequestId id, SimulatedRequest& request, Duration worked) {
    if (request.isCancelling) {
      endExecution(id, Outcome::cancelled);
      return;
    }
    request.remainingWork -= worked;
    if (request.remainingWork > 0s) {
      if (random_.permille(5)) cancelUnrequested(id, request);
      return;
    }
    if (request.remainingCalls > 0) {
      request.state = SimulatedState::awaitingCall;
      events_.emplace_back(DownstreamCallRequested{id});
      return;
    }
    endExecution(id, executionOutcome());
  }

  /// Cancels an execution without a request of the policy. Its work is lost, and the request is queued again
  /// if it still needs a response.
  void cancelUnrequested(RequestId id, SimulatedRequest& request) {
    if (request.isClosed) {
      endExecution(id, Outcome::cancelled);
      return;
    }
    events_.emplace_back(ExecutionEnded{id, Outcome::cancelled, 5ms});
    request.state = SimulatedState::queued;
    request.remainingWork = random_.millis(5, 60);
  }

  Outcome executionOutcome() {
    if (random_.percent(94)) return Outcome::completed;
    return random_.oneOf(std::array{Outcome::failed, Outcome::rejected, Outcome::timedOut,
                                    Outcome::unreachable, Outcome::connectionLost, Outcome::superseded});
  }

  void endExecution(RequestId id, Outcome outcome) {
    events_.emplace_back(ExecutionEnded{id, outcome, random_.millis(5, 60)});
    requests_.erase(id);
  }

  void endCall(RequestId id, SimulatedRequest& request) {
    const Outcome outcome = callOutcome(request);
    events_.emplace_back(
        DownstreamCallEnded{id, outcome, std::min(request.callDuration, request.callTimeout)});
    if (outcome == Outcome::completed) {
      resumeExecution(request);
    } else {
      request.state = SimulatedState::awaitingCall;
    }
  }

  Outcome callOutcome(const SimulatedRequest& request) {
    if (request.callDuration > request.callTimeout)
      return random_.percent(70) ? Outcome::timedOut : Outcome::connectionLost;
    if (!random_.percent(conditions_.callFailurePercent)) return Outcome::completed;
    return random_.oneOf(std::array{Outcome::failed, Outcome::rejected, Outcome::timedOut,
                                    Outcome::unreachable, Outcome::connectionLost, Outcome::superseded});
  }

  RequestId anyRequestId() {
    auto one = requests_.begin();
    std::advance(one, random_.between(0, static_cast<std::int64_t>(requests_.size()) - 1));
    return one->first;
  }

  void disconnectClients() {
    if (requests_.empty() || !random_.percent(15)) return;
    const RequestId id = anyRequestId();
    events_.emplace_back(ClientDisconnected{id});
    closeRequest(id);
  }

  /// Generates requests until they use up the work that has arrived since the last batch.
  void generateArrivals(Duration passed) {
    workBacklog_ += passed * settings_.machine.cores * conditions_.loadPermille / 1000;
    if (random_.percent(3)) workBacklog_ += random_.millis(100, 400) * settings_.machine.cores;
    while (workBacklog_ > 0s) {
      const Duration share = random_.millis(5, 60);
      workBacklog_ -= share;
      arrive(random_.percent(5) ? 0s : share);
    }
  }

  void arrive(Duration remainingWork) {
    RequestArrived event;
    event.id = RequestId{++lastId_};
    event.handler = HandlerId{static_cast<std::uint8_t>(random_.between(0, 3))};
    event.tenant = TenantId{static_cast<std::uint16_t>(random_.between(0, 20))};
    event.client = ClientId{static_cast<std::uint64_t>(random_.between(1, 8))};
    event.resourceKey = ResourceKey{static_cast<std::uint64_t>(random_.between(0, 12))};
    if (random_.percent(15)) makeDuplicate(event);
    const HandlerPolicy& policy = settings_.handlers[static_cast<std::size_t>(event.handler)];
    event.clientPriority = random_.thousandths(0, 1000);
    event.queuedMemoryKb = random_.thousandths(5000, 60'000);
    if (random_.percent(40)) event.estimatedWork = remainingWork;
    event.isWrite = policy.idempotency != Idempotency::idempotent || random_.percent(20);
    event.readDelay = random_.percent(30) ? 0s : random_.millis(0, 3);
    if (conditions_.isReadingLate) event.readDelay = random_.millis(200, 900);
    if (random_.percent(statedTimeoutPercent_)) event.timeRemaining = timeRemainingOf(policy);
    events_.emplace_back(event);
    addRequest(event, policy, remainingWork);
  }

  /// Makes the request a duplicate of an earlier one, preferably a retained one, with its handler and
  /// resource.
  void makeDuplicate(RequestArrived& event) {
    if (!retained_.empty() && random_.percent(70)) {
      const std::int64_t last = static_cast<std::int64_t>(retained_.size()) - 1;
      event.duplicateOf = retained_[static_cast<std::size_t>(random_.between(0, last))];
    } else {
      event.duplicateOf = RequestId{static_cast<std::uint32_t>(random_.between(1, lastId_))};
    }
    if (const SimulatedRequest* first = find(*event.duplicateOf)) {
      event.handler = first->handler;
      event.resourceKey = first->resourceKey;
    }
  }

  /// Draws one of two frequent shares of the client timeout or, as for a retry, any other share.
  Duration timeRemainingOf(const HandlerPolicy& policy) {
    const std::int64_t whole = policy.clientTimeout.count();
    if (random_.percent(15)) return Duration(whole * random_.between(50, 999) / 1000);
    const double share = frequentShares_[static_cast<std::size_t>(random_.between(0, 1))];
    return Duration(whole / 1000 * static_cast<std::int64_t>(share * 1000));
  }

  void addRequest(const RequestArrived& event, const HandlerPolicy& policy, Duration remainingWork) {
    SimulatedRequest request;
    request.handler = event.handler;
    request.resourceKey = event.resourceKey;
    request.remainingWork = remainingWork;
    if (policy.callsDownstream) {
      request.remainingCalls = static_cast<int>(random_.between(0, 2));
      request.workAfterCall = remainingWork / 2;
    }
    requests_.emplace(event.id, request);
  }

  void fireTimers() {
    for (const auto& [timer, due] : std::map(timers_)) {
      if (due > now_) continue;
      timers_.erase(timer);
      events_.emplace_back(timerEvent(timer));
    }
  }

  TimerFired timerEvent(TimerId timer) {
    TimerFired event;
    event.timer = timer;
    if (!reportsGauges_ || random_.percent(10)) return event;
    const int cores = settings_.machine.cores;
    event.cpuUtilization = random_.thousandths(600, 1000);
    event.runnableTasks = cores * random_.thousandths(700, 2500);
    if (conditions_.areCoresIdle) {
      event.cpuUtilization = random_.thousandths(300, 900);
      event.runnableTasks = cores * random_.thousandths(0, 1200);
    }
    if (conditions_.hasManyOtherTasks) event.runnableTasks = cores * random_.thousandths(2000, 20'000);
    if (random_.percent(5)) event.cpuUtilization.reset();
    if (random_.percent(5)) event.runnableTasks.reset();
    event.memoryUtilization = random_.thousandths(100, 900);
    if (random_.percent(90)) event.openConnections = cores * random_.thousandths(1000, 12'000);
    return event;
  }

  void reportMachine() {
    if (settings_.downstream.concurrentCallQuota > 0 && random_.percent(3))
      events_.emplace_back(DownstreamQuotaChanged{random_.thousandths(0, 1200)});
    if (settings_.machine.warmUpDuration > 0s && random_.percent(2)) {
      const bool cold = random_.percent(70);
      events_.emplace_back(ExecutionEngineStarted{cold, random_.millis(0, 2000)});
    }
    if (drains_ && batch_ == batches_ * 4 / 5)
      events_.emplace_back(ShutdownNotice{random_.millis(200, 1500)});
  }

  /// Adds events that name an unknown request or a timer that was never set.
  void reportUnknownRequests() {
    const RequestId unknown{1'000'000'000};
    if (random_.percent(2)) events_.emplace_back(DownstreamCallEnded{unknown, Outcome::completed, 5ms});
    if (random_.percent(2)) events_.emplace_back(ExecutionEnded{unknown, Outcome::completed, 5ms});
    if (random_.percent(2)) events_.emplace_back(DownstreamCallRequested{unknown});
    if (random_.percent(2)) events_.emplace_back(ClientDisconnected{unknown});
    TimerFired unknownTimer;
    unknownTimer.timer = TimerId{77};
    if (random_.percent(2)) events_.emplace_back(unknownTimer);
  }

  /// Adds call events for a request without a matching call.
  void reportStaleCalls() {
    if (requests_.empty() || !random_.percent(10)) return;
    const RequestId id = anyRequestId();
    const SimulatedState state = find(id)->state;
    if (state != SimulatedState::executing) events_.emplace_back(DownstreamCallRequested{id});
    if (state != SimulatedState::calling)
      events_.emplace_back(DownstreamCallEnded{id, Outcome::completed, 5ms});
  }

  RandomSource random_;
  const PolicySettings settings_;
  const int batches_;
  /// Whether a shutdown notice is reported after four fifths of the batches.
  const bool drains_;
  const bool reportsGauges_;
  /// The two frequent shares of the client timeout for which clients wait.
  const std::array<double, 2> frequentShares_;
  /// Percentage of the requests that state how long their client will wait.
  const int statedTimeoutPercent_;
  std::unique_ptr<AdmissionPolicy> policy_;
  Hash hash_;
  LoadConditions conditions_;
  Duration now_{};
  Duration workBacklog_{};
  int batch_ = 0;
  std::uint32_t lastId_ = 0;
  std::vector<Event> events_;
  std::map<RequestId, SimulatedRequest> requests_;
  std::map<TimerId, Duration> timers_;
  std::deque<RequestId> retained_;
};

std::string historyName(Variant variant, int seed) {
  return std::string(variantNames[static_cast<std::size_t>(variant)]) + " " + std::to_string(seed);
}

std::string recordingLine(const std::string& name, const std::vector<std::uint64_t>& hashes) {
  std::ostringstream line;
  line << name << std::hex << std::setfill('0');
  for (const std::uint64_t hash : hashes) line << ' ' << std::setw(16) << hash;
  return line.str();
}

/// Returns one line for each history: its variant, its seed and its hashes.
std::vector<std::string> simulateAllHistories(ActionCounts& counts) {
  std::vector<std::string> lines;
  for (std::size_t variant = 0; variant < variantNames.size(); ++variant)
    for (int seed = 1; seed <= seedCount; ++seed) {
      const auto which = static_cast<Variant>(variant);
      History history(which, seed);
      lines.push_back(recordingLine(historyName(which, seed), history.run(counts)));
    }
  return lines;
}

std::vector<std::string> readRecording() {
  std::ifstream in(recordingFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

void record(const std::vector<std::string>& lines) {
  std::ofstream out(recordingFile);
  for (const std::string& line : lines) out << line << '\n';
}

/// Describes the first group of batches that differs.
std::string firstDifference(const std::string& recorded, const std::string& simulated) {
  std::istringstream recordedWords(recorded);
  std::istringstream simulatedWords(simulated);
  std::string variant;
  std::string seed;
  recordedWords >> variant >> seed;
  simulatedWords >> variant >> seed;
  std::string recordedHash;
  std::string simulatedHash;
  int group = 0;
  while (recordedWords >> recordedHash && simulatedWords >> simulatedHash && recordedHash == simulatedHash)
    ++group;
  return "history " + variant + " " + seed + " differs first in batches " +
         std::to_string(group * batchesPerHash + 1) + " to " + std::to_string((group + 1) * batchesPerHash);
}

void expectMatchesRecording(const std::vector<std::string>& simulated) {
  const std::vector<std::string> recorded = readRecording();
  ASSERT_EQ(recorded.size(), simulated.size()) << recordingFile;
  int differing = 0;
  for (std::size_t history = 0; history < simulated.size(); ++history) {
    if (recorded[history] == simulated[history]) continue;
    ++differing;
    if (differing <= 10) ADD_FAILURE() << firstDifference(recorded[history], simulated[history]);
  }
  EXPECT_EQ(differing, 0) << "of " << simulated.size() << " histories differ from the recording";
}

/// The minimum counts are about two thirds of the counts at the first recording: histories with fewer actions
/// would test less.
void expectEnoughActions(const ActionCounts& counts) {
  EXPECT_GE(counts.batches, 47'000);
  EXPECT_GE(counts.starts, 71'000);
  EXPECT_GE(counts.shedsDiscouragingRetry, 130'000);
  EXPECT_GE(counts.shedsOther, 25'000);
  EXPECT_GE(counts.shedsWithRetryAfter, 65'000);
  EXPECT_GE(counts.fails, 7400);
  EXPECT_GE(counts.cancellations, 420);
  EXPECT_GE(counts.calls, 18'000);
  EXPECT_GE(counts.skippedCalls, 4600);
  EXPECT_GE(counts.retentions, 42'000);
  EXPECT_GE(counts.drops, 29'000);
  EXPECT_GE(counts.answersFromOriginal, 24'000);
  EXPECT_GE(counts.healthReports, 420);
  EXPECT_GE(counts.loadSignals, 9900);
  EXPECT_GE(counts.idleTimeouts, 720);
  EXPECT_GE(counts.timers, 23'000);
  EXPECT_GE(counts.messages, 100);
}

bool isRecordingRequested() {
  const char* requested = std::getenv("RAINHOOK_RECORD");
  return requested && std::string(requested) == "1";
}

TEST(DecisionRecording, MatchesRecordingWhenAllHistoriesAreSimulated) {
  ActionCounts counts;
  const std::vector<std::string> simulated = simulateAllHistories(counts);
  expectEnoughActions(counts);
  if (isRecordingRequested()) {
    record(simulated);
    FAIL() << "recorded again, not compared: " << recordingFile;
  }
  expectMatchesRecording(simulated);
}

}  // namespace
}  // namespace rainhook
