/// @file
/// Holds the decision module to its recorded behaviour.
///
/// Some hundred simulated histories hand it batches of events and carry out its actions; every action of
/// every batch goes, field by field, into a hash that is compared with tests/data/decision_recording.txt.
/// This says nothing of whether a decision is good: it shows that a change meant to keep the behaviour did
/// keep it.
///
/// After a change that is meant to decide otherwise, record anew and review the change by the other tests:
///
///     RAINHOOK_RECORD=1 rainhook_tests --gtest_filter='DecisionRecording.*'
///
/// Such a run fails by design, so that no check passes by recording.
///
/// The random source is this file's own and draws integers, so that the histories are the same on any
/// machine. The module itself calculates in doubles: the recording holds for x86-64 with the C library's
/// std::exp2, at any level of optimization that keeps to IEEE 754.
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

constexpr int seeds = 40;
constexpr int batchesPerHash = 10;

/// splitmix64, with draws that need no library. Durations are multiples of a
/// grain: where it is coarse, times are exactly equal and the edges of comparisons show.
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
  /// One division of two whole numbers: rounded the same everywhere.
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

/// FNV-1a over 64-bit words, their lowest byte first.
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

/// The numbers in the recording: they stay whatever the order of `Action`.
enum class ActionCode : std::uint64_t {
  start = 1,
  shed = 2,
  fail = 3,
  stop = 4,
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

/// The canonical encoding of an action: its code, then its fields in order. The text of a diagnostic message
/// is left out, since texts for people are reworded.
class Encoder {
 public:
  explicit Encoder(Hash& hash) : hash_(hash) {}

  void encode(const StartExecution& action) { fields(ActionCode::start, action.id); }
  void encode(const ShedRequest& action) {
    fields(ActionCode::shed, action.id, action.retryAfter, action.discourageRetry);
  }
  void encode(const FailRequest& action) { fields(ActionCode::fail, action.id); }
  void encode(const CancelExecution& action) { fields(ActionCode::stop, action.id); }
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

/// How often each thing was seen in the whole recording, so that it can't become empty unnoticed.
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

enum class Variant {
  plain,
  drop,
  pause,
  shareUnderOne,
  shareOverOne,
  shareAroundOne,
  tier,
  cold,
  tightMemory,
  tightMemoryDrop,
  sharingReads,
  crowded,
};
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
  if (variant == Variant::tightMemory || variant == Variant::tightMemoryDrop)
    machine.memoryKb = machine.cores * random.thousandths(300'000, 700'000);
  if (variant == Variant::crowded) machine.maxExecutionsPerCore = random.thousandths(1500, 3000);
  if (variant == Variant::cold) {
    machine.coldStart = true;
    machine.initialSpeed = random.thousandths(100, 500);
    machine.warmUpDuration = random.millis(1000, 4000);
    machine.overcommitWindow = 500ms;
    machine.maxExecutionsPerCore = random.thousandths(2000, 5000);
  }
  const bool drops = variant == Variant::drop || variant == Variant::tightMemoryDrop ||
                     variant == Variant::shareUnderOne || variant == Variant::crowded;
  if (drops) machine.cancellation = CancellationMode::discardWork;
  if (variant == Variant::pause) machine.cancellation = CancellationMode::pauseWork;
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
  if (variant == Variant::tier) downstream.kind = DownstreamKind::nextTier;
  if (variant == Variant::shareUnderOne) downstream.concurrentCallQuota = random.thousandths(300, 950);
  if (variant == Variant::shareOverOne) downstream.concurrentCallQuota = random.thousandths(2000, 8000);
  if (variant == Variant::shareAroundOne) downstream.concurrentCallQuota = random.thousandths(1000, 2500);
  if (variant == Variant::tightMemoryDrop) downstream.concurrentCallQuota = random.thousandths(1000, 4000);
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
  if (variant == Variant::sharingReads) settings.sharing.sharingDuration = random.millis(50, 800);
  settings.fleet.servers = random.oneOf(std::array{1, 3, 40});
  settings.fleet.clients = random.oneOf(std::array{1, 8, 200});
  settings.fleet.maxIdleTime = random.millis(50, 5000);
  return settings;
}

/// Where a request stands, as the simulation knows it.
enum class SimulatedState { queued, awaitingOriginal, executing, awaitingCall, calling };

struct SimulatedRequest {
  SimulatedState state = SimulatedState::queued;
  HandlerId handler{};
  ResourceKey resourceKey{};
  /// Work left until it calls or ends.
  Duration remainingWork{};
  /// Work of each part after a call.
  Duration workAfterCall{};
  int remainingCalls = 0;
  Duration callEndsAt{};
  Duration callDuration{};
  Duration callTimeout{};
  Duration originalEndsAt{};
  /// No answer is owed any more.
  bool isAnswered = false;
  bool isCancelling = false;
};

/// What the surroundings are like for a while.
struct LoadConditions {
  /// Arriving work, in thousandths of what the cores can do.
  int loadPermille = 500;
  bool isReadingLate = false;
  /// Many tasks want a core that are no executions.
  bool isStorm = false;
  bool areCoresIdle = false;
  int callMs = 10;
  int callFailurePercent = 0;
};

/// One simulated history: makes a policy and plays its surroundings, batch by batch.
class History {
 public:
  History(Variant variant, int seed)
      : random_(static_cast<std::uint64_t>(seed) * 1000 + static_cast<std::uint64_t>(variant),
                seed % 2 == 0 ? Duration(1ms) : Duration(1us)),
        settings_(makeSettings(variant, random_)),
        batches_(static_cast<int>(random_.between(100, 200))),
        drains_(random_.percent(35)),
        reportsGauges_(random_.percent(80)),
        habits_{random_.thousandths(200, 500), random_.thousandths(600, 900)},
        statedTimeoutPercent_(static_cast<int>(random_.oneOf(std::array{0, 50, 100}))) {
    policy_ = makeAdmissionPolicy(settings_);
  }

  /// Plays all batches; returns the hash after every ten of them, and after the last.
  std::vector<std::uint64_t> run(ActionCounts& counts) {
    std::vector<std::uint64_t> hashes;
    for (batch_ = 1; batch_ <= batches_; ++batch_) {
      if (batch_ > 1) collectEvents();
      const std::vector<Action> actions = policy_->onEvents(now_, events_);
      for (const Action& action : actions) write(action, counts);
      hash_.add(policy_->concurrencyLimit());
      hash_.add(policy_->entriesScanned());
      ++counts.batches;
      if (batch_ % batchesPerHash == 0 || batch_ == batches_) hashes.push_back(hash_.value());
    }
    return hashes;
  }

 private:
  void write(const Action& action, ActionCounts& counts) {
    Encoder encoder(hash_);
    std::visit([&encoder](const auto& each) { encoder.encode(each); }, action);
    std::visit([&counts](const auto& each) { counts.count(each); }, action);
    std::visit([this](const auto& each) { apply(each); }, action);
  }

  // The actions of the policy.
  void apply(const StartExecution& action) {
    if (SimulatedRequest* request = find(action.id)) request->state = SimulatedState::executing;
  }
  void apply(const ShedRequest& action) { settleAnswer(action.id); }
  void apply(const FailRequest& action) { settleAnswer(action.id); }
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
  /// What has not started is over with its answer; an execution ends later.
  void settleAnswer(RequestId id) {
    SimulatedRequest* request = find(id);
    if (!request) return;
    request->isAnswered = true;
    if (request->state == SimulatedState::queued || request->state == SimulatedState::awaitingOriginal)
      requests_.erase(id);
  }
  SimulatedRequest* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  /// Collects what happens until the next batch.
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
    conditions_.isStorm = random_.percent(30);
    conditions_.areCoresIdle = random_.percent(60);
    conditions_.callMs = random_.oneOf(std::array{5, 15, 40, 120});
    conditions_.callFailurePercent = random_.oneOf(std::array{0, 2, 10, 60});
  }

  /// Executions, calls and duplicates go on, in the order of their ids.
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
        if (request.isAnswered) {
          endExecution(id, Outcome::connectionLost);
        } else if (random_.permille(3)) {
          cancelUnasked(id, request);
        }
        break;
      case SimulatedState::calling:
        if (request.callEndsAt <= now_) {
          endCall(id, request);
        } else if (random_.permille(3)) {
          endExecution(id, random_.percent(10) ? Outcome::superseded : Outcome::failed);
        } else if (random_.permille(3)) {
          cancelUnasked(id, request);
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
      if (random_.permille(5)) cancelUnasked(id, request);
      return;
    }
    if (request.remainingCalls > 0) {
      request.state = SimulatedState::awaitingCall;
      events_.emplace_back(DownstreamCallRequested{id});
      return;
    }
    endExecution(id, executionOutcome());
  }

  /// An execution that the engine itself gave up: its work is lost, and where an answer is owed it is queued
  /// again.
  void cancelUnasked(RequestId id, SimulatedRequest& request) {
    if (request.isAnswered) {
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
    settleAnswer(id);
  }

  /// Each request takes its work from what the load has brought since the last batch.
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

  /// Names an earlier request, a retained one where there is any, and asks for the same.
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

  /// Clients wait for one of two shares of the timeout, or for what is left of it at a retry.
  Duration timeRemainingOf(const HandlerPolicy& policy) {
    const std::int64_t whole = policy.clientTimeout.count();
    if (random_.percent(15)) return Duration(whole * random_.between(50, 999) / 1000);
    const double share = habits_[static_cast<std::size_t>(random_.between(0, 1))];
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
    if (conditions_.isStorm) event.runnableTasks = cores * random_.thousandths(2000, 20'000);
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

  /// Late events: for requests long over, and of a timer that was never set.
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

  /// Late events: of a call, for a request that has none open.
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
  const bool drains_;
  const bool reportsGauges_;
  /// How long clients wait, as shares of their timeout.
  const std::array<double, 2> habits_;
  /// Part of the requests that say how long their client waits.
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

/// A line for each history: its variant, its seed, its hashes.
std::vector<std::string> playAllHistories(ActionCounts& counts) {
  std::vector<std::string> lines;
  for (std::size_t variant = 0; variant < variantNames.size(); ++variant)
    for (int seed = 1; seed <= seeds; ++seed) {
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

/// Tells which batches are the first that differ.
std::string firstDifference(const std::string& recorded, const std::string& played) {
  std::istringstream recordedWords(recorded);
  std::istringstream playedWords(played);
  std::string variant;
  std::string seed;
  recordedWords >> variant >> seed;
  playedWords >> variant >> seed;
  std::string recordedHash;
  std::string playedHash;
  int group = 0;
  while (recordedWords >> recordedHash && playedWords >> playedHash && recordedHash == playedHash) ++group;
  return "history " + variant + " " + seed + ": first difference in the batches " +
         std::to_string(group * batchesPerHash + 1) + " to " + std::to_string((group + 1) * batchesPerHash);
}

void expectAsRecorded(const std::vector<std::string>& played) {
  const std::vector<std::string> recorded = readRecording();
  ASSERT_EQ(recorded.size(), played.size()) << recordingFile;
  int differing = 0;
  for (std::size_t history = 0; history < played.size(); ++history) {
    if (recorded[history] == played[history]) continue;
    ++differing;
    if (differing <= 10) ADD_FAILURE() << firstDifference(recorded[history], played[history]);
  }
  EXPECT_EQ(differing, 0) << "histories differ, of " << played.size();
}

/// Some two thirds of what was counted at the first recording; histories that show less hold less.
void expectEnoughSeen(const ActionCounts& counts) {
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

TEST(DecisionRecording, RepeatsEveryRecordedBatch) {
  ActionCounts counts;
  const std::vector<std::string> played = playAllHistories(counts);
  expectEnoughSeen(counts);
  if (isRecordingRequested()) {
    record(played);
    FAIL() << "recorded anew, not compared: " << recordingFile;
  }
  expectAsRecorded(played);
}

}  // namespace
}  // namespace rainhook
