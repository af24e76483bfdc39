// Holds the decision module to its recorded behaviour: some hundred plays of a small simulated world hand it
// batches of events and carry out what it asks for; every action of every batch goes, field by field, into a
// hash that is compared with tests/data/decision_recording.txt. It says nothing of whether a decision is
// good: it shows that a change meant to keep the behaviour (a rename, a split) did keep it.
//
// After a change that is meant to decide otherwise, record anew and review the change by the other tests:
//   RAINHOOK_RECORD=1 rainhook_tests --gtest_filter='DecisionRecording.*'
// Such a run fails by design, so that no check passes by recording.
//
// The draws are this file's own and all of them integers, so that the plays are the same on any machine. The
// module itself reckons in doubles: the recording holds for x86-64 with the C library's std::exp2, at any
// level of optimization that keeps to IEEE 754.
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
constexpr int batchesAHash = 10;

// splitmix64, with draws that need no library. Spans are drawn in grains: where these are coarse, times meet
// exactly and the edges of comparisons show.
class Chance {
 public:
  Chance(std::uint64_t seed, Duration grain) : state_(seed), grain_(grain) {}

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
  // One division of two whole numbers: rounded the same everywhere.
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

// FNV-1a over 64-bit words, their lowest byte first.
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

// The numbers of the recording: they stay whatever becomes of the order of the variant.
enum class Kind : std::uint64_t {
  start = 1,
  shed = 2,
  fail = 3,
  stop = 4,
  call = 5,
  skipCall = 6,
  keep = 7,
  forget = 8,
  answerFromFirst = 9,
  sayHealth = 10,
  saySignal = 11,
  closeIdleAfter = 12,
  setTimer = 13,
  note = 14,
};

// The canonical encoding of an action: its kind, then its fields in order. The text of a note is left out,
// since texts for people are reworded.
class Encoder {
 public:
  explicit Encoder(Hash& hash) : hash_(hash) {}

  void encode(const StartExecution& action) { fields(Kind::start, action.id); }
  void encode(const ShedRequest& action) {
    fields(Kind::shed, action.id, action.retryAfter, action.discourageRetry);
  }
  void encode(const FailRequest& action) { fields(Kind::fail, action.id); }
  void encode(const CancelExecution& action) { fields(Kind::stop, action.id); }
  void encode(const CallDownstream& action) { fields(Kind::call, action.id, action.timeout); }
  void encode(const SkipDownstreamCall& action) { fields(Kind::skipCall, action.id); }
  void encode(const RetainResult& action) { fields(Kind::keep, action.id, action.retention); }
  void encode(const DropResult& action) { fields(Kind::forget, action.id); }
  void encode(const AnswerFromOriginal& action) { fields(Kind::answerFromFirst, action.id); }
  void encode(const PublishHealth& action) { fields(Kind::sayHealth, action.healthy, action.isCached); }
  void encode(const PublishLoadSignal& action) { fields(Kind::saySignal, action.value); }
  void encode(const SetIdleConnectionTimeout& action) { fields(Kind::closeIdleAfter, action.timeout); }
  void encode(const SetTimer& action) { fields(Kind::setTimer, action.timer, action.delay); }
  void encode(const DiagnosticMessage&) { fields(Kind::note); }

 private:
  template <typename... Fields>
  void fields(Kind kind, const Fields&... each) {
    hash_.add(static_cast<std::uint64_t>(kind));
    (hash_.add(each), ...);
  }

  Hash& hash_;
};

// How often each thing was seen in the whole recording, so that it can't become empty unnoticed.
struct Tally {
  int batches = 0, starts = 0, shedsLastTry = 0, shedsOther = 0, shedsWithAdvice = 0, fails = 0, stops = 0;
  int calls = 0, skipCalls = 0, keeps = 0, forgets = 0, answersFromFirst = 0, healths = 0, signals = 0;
  int closeIdles = 0, timers = 0, notes = 0;

  void count(const StartExecution&) { ++starts; }
  void count(const ShedRequest& action) {
    ++(action.discourageRetry ? shedsLastTry : shedsOther);
    if (action.retryAfter > 0s) ++shedsWithAdvice;
  }
  void count(const FailRequest&) { ++fails; }
  void count(const CancelExecution&) { ++stops; }
  void count(const CallDownstream&) { ++calls; }
  void count(const SkipDownstreamCall&) { ++skipCalls; }
  void count(const RetainResult&) { ++keeps; }
  void count(const DropResult&) { ++forgets; }
  void count(const AnswerFromOriginal&) { ++answersFromFirst; }
  void count(const PublishHealth&) { ++healths; }
  void count(const PublishLoadSignal&) { ++signals; }
  void count(const SetIdleConnectionTimeout&) { ++closeIdles; }
  void count(const SetTimer&) { ++timers; }
  void count(const DiagnosticMessage&) { ++notes; }
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

MachineProfile machineOf(Variant variant, Chance& chance) {
  MachineProfile machine;
  machine.cores = chance.oneOf(std::array{1, 2, 4, 16});
  machine.executionMemoryFactor = chance.thousandths(1000, 4000);
  machine.cachedEntryKb = chance.thousandths(500, 4000);
  machine.maxExecutionsPerCore = chance.thousandths(4000, 20'000);
  machine.memoryKb = 1e6;
  if (variant == Variant::tightMemory || variant == Variant::tightMemoryDrop)
    machine.memoryKb = machine.cores * chance.thousandths(300'000, 700'000);
  if (variant == Variant::crowded) machine.maxExecutionsPerCore = chance.thousandths(1500, 3000);
  if (variant == Variant::cold) {
    machine.coldStart = true;
    machine.initialSpeed = chance.thousandths(100, 500);
    machine.warmUpDuration = chance.millis(1000, 4000);
    machine.crowdingWindow = 500ms;
    machine.maxExecutionsPerCore = chance.thousandths(2000, 5000);
  }
  const bool drops = variant == Variant::drop || variant == Variant::tightMemoryDrop ||
                     variant == Variant::shareUnderOne || variant == Variant::crowded;
  if (drops) machine.cancellation = CancellationMode::discardWork;
  if (variant == Variant::pause) machine.cancellation = CancellationMode::pauseWork;
  return machine;
}

HandlerPolicy handlerOf(Idempotency effect, bool calls, Chance& chance) {
  HandlerPolicy terms;
  terms.idempotency = effect;
  terms.callsDownstream = calls;
  terms.latencyObjective = chance.millis(200, 900);
  terms.clientTimeout = terms.latencyObjective + chance.millis(0, 1200);
  if (chance.percent(30)) terms.objectiveWorkFactor = chance.thousandths(500, 3000);
  terms.priorityWeight = chance.thousandths(500, 3000);
  if (chance.percent(40)) terms.lateWeight = chance.thousandths(100, 600);
  if (calls && chance.percent(50)) terms.degradedWeight = chance.thousandths(100, 900);
  if (effect == Idempotency::keyed) terms.deduplicationWindow = chance.millis(300, 2500);
  return terms;
}

std::vector<HandlerPolicy> handlersOf(Chance& chance) {
  std::vector<HandlerPolicy> handlers;
  handlers.push_back(handlerOf(Idempotency::idempotent, true, chance));
  handlers.push_back(handlerOf(Idempotency::idempotent, false, chance));
  handlers.push_back(handlerOf(Idempotency::keyed, true, chance));
  handlers.push_back(handlerOf(Idempotency::nonIdempotent, chance.percent(50), chance));
  return handlers;
}

DownstreamProfile belowOf(Variant variant, Chance& chance) {
  DownstreamProfile below;
  if (variant == Variant::tier) below.kind = DownstreamKind::nextTier;
  if (variant == Variant::shareUnderOne) below.concurrentCallQuota = chance.thousandths(300, 950);
  if (variant == Variant::shareOverOne) below.concurrentCallQuota = chance.thousandths(2000, 8000);
  if (variant == Variant::shareAroundOne) below.concurrentCallQuota = chance.thousandths(1000, 2500);
  if (variant == Variant::tightMemoryDrop) below.concurrentCallQuota = chance.thousandths(1000, 4000);
  if (below.concurrentCallQuota > 0) {
    below.kind = DownstreamKind::shared;
    below.quotaWindow = chance.millis(1000, 5000);
    if (chance.percent(60)) below.abandonedCallLinger = chance.millis(10, 150);
  }
  return below;
}

SignalingProfile voiceOf(Chance& chance) {
  SignalingProfile voice;
  voice.signalKind = chance.oneOf(std::array{LoadSignalKind::none, LoadSignalKind::level,
                                             LoadSignalKind::credit, LoadSignalKind::weight});
  voice.signalLifetime = 500ms;
  voice.registryFollowsHealth = chance.percent(50);
  if (chance.percent(50)) voice.maxRetryAfter = chance.millis(200, 2000);
  return voice;
}

PolicySettings deploymentOf(Variant variant, Chance& chance) {
  PolicySettings deployment;
  deployment.machine = machineOf(variant, chance);
  deployment.handlers = handlersOf(chance);
  deployment.downstream = belowOf(variant, chance);
  deployment.limits.answerSlack = 20ms;
  deployment.limits.drainGrace = chance.millis(0, 100);
  deployment.signaling = voiceOf(chance);
  deployment.sharing.weightByWork = chance.percent(50);
  if (variant == Variant::sharingReads) deployment.sharing.sharingDuration = chance.millis(50, 800);
  deployment.fleet.servers = chance.oneOf(std::array{1, 3, 40});
  deployment.fleet.clients = chance.oneOf(std::array{1, 8, 200});
  deployment.fleet.maxIdleTime = chance.millis(50, 5000);
  return deployment;
}

// A req as the world knows it.
enum class Place { held, echoing, onCore, wanting, calling };
struct Known {
  Place place = Place::held;
  HandlerId handler{};
  ResourceKey subject{};
  Duration work{};      // left until it calls or ends
  Duration nextWork{};  // for the part after a call
  int callsLeft = 0;
  Duration callEnds{}, callTook{}, callLimit{};
  Duration echoEnds{};
  bool answered = false;  // no answer is owed any more
  bool stopping = false;
};

// What the world is like for a while.
struct Weather {
  int load = 500;  // thousandths of what the cores can do
  bool readsLate = false;
  bool storm = false;  // much wants a core that is no run
  bool idleGauge = false;
  int callMillis = 10;
  int callFailures = 0;  // percent
};

// One play: opens the module and plays its world, batch by batch.
class Play {
 public:
  Play(Variant variant, int seed)
      : chance_(static_cast<std::uint64_t>(seed) * 1000 + static_cast<std::uint64_t>(variant),
                seed % 2 == 0 ? Duration(1ms) : Duration(1us)),
        deployment_(deploymentOf(variant, chance_)),
        batches_(static_cast<int>(chance_.between(100, 200))),
        leaves_(chance_.percent(35)),
        saysGauges_(chance_.percent(80)),
        habits_{chance_.thousandths(200, 500), chance_.thousandths(600, 900)},
        patient_(static_cast<int>(chance_.oneOf(std::array{0, 50, 100}))) {
    decision_ = makeAdmissionPolicy(deployment_);
  }

  // The hash after every ten batches, and after the last.
  std::vector<std::uint64_t> run(Tally& tally) {
    std::vector<std::uint64_t> hashes;
    for (batch_ = 1; batch_ <= batches_; ++batch_) {
      if (batch_ > 1) gatherEvents();
      const std::vector<Action> actions = decision_->onEvents(now_, events_);
      for (const Action& action : actions) write(action, tally);
      hash_.add(decision_->concurrencyLimit());
      hash_.add(decision_->entriesScanned());
      ++tally.batches;
      if (batch_ % batchesAHash == 0 || batch_ == batches_) hashes.push_back(hash_.value());
    }
    return hashes;
  }

 private:
  void write(const Action& action, Tally& tally) {
    Encoder encoder(hash_);
    std::visit([&encoder](const auto& each) { encoder.encode(each); }, action);
    std::visit([&tally](const auto& each) { tally.count(each); }, action);
    std::visit([this](const auto& each) { carryOut(each); }, action);
  }

  // What the module asks for.
  void carryOut(const StartExecution& action) {
    if (Known* req = find(action.id)) req->place = Place::onCore;
  }
  void carryOut(const ShedRequest& action) { answered(action.id); }
  void carryOut(const FailRequest& action) { answered(action.id); }
  void carryOut(const CancelExecution& action) {
    if (Known* req = find(action.id)) req->stopping = true;
  }
  void carryOut(const CallDownstream& action) {
    Known* req = find(action.id);
    if (!req) return;
    req->place = Place::calling;
    req->callLimit = action.timeout;
    req->callTook = chance_.millis(1, 2 * weather_.callMillis);
    if (chance_.percent(2)) req->callTook *= 20;
    req->callEnds = now_ + std::min(req->callTook, action.timeout);
  }
  void carryOut(const SkipDownstreamCall& action) {
    if (Known* req = find(action.id)) backOnCore(*req);
  }
  void carryOut(const RetainResult& action) {
    kept_.push_back(action.id);
    if (kept_.size() > 30) kept_.pop_front();
  }
  void carryOut(const DropResult& action) { std::erase(kept_, action.id); }
  void carryOut(const AnswerFromOriginal& action) {
    Known* req = find(action.id);
    if (!req) return;
    req->place = Place::echoing;
    req->echoEnds = now_ + chance_.millis(1, 900);
  }
  void carryOut(const SetTimer& action) { timers_[action.timer] = now_ + action.delay; }
  void carryOut(const PublishHealth&) {}
  void carryOut(const PublishLoadSignal&) {}
  void carryOut(const SetIdleConnectionTimeout&) {}
  void carryOut(const DiagnosticMessage&) {}

  void backOnCore(Known& req) {
    req.place = Place::onCore;
    req.work = req.nextWork;
    --req.callsLeft;
  }
  // What has not started is gone with its answer; a run ends later.
  void answered(RequestId id) {
    Known* req = find(id);
    if (!req) return;
    req->answered = true;
    if (req->place == Place::held || req->place == Place::echoing) reqs_.erase(id);
  }
  Known* find(RequestId id) {
    const auto found = reqs_.find(id);
    return found == reqs_.end() ? nullptr : &found->second;
  }

  // What happens until the next batch.
  void gatherEvents() {
    events_.clear();
    if (batch_ % 20 == 2) changeWeather();
    const Duration passed = timeToNext();
    now_ += passed;
    const bool timersFirst = chance_.percent(50);
    if (timersFirst) ringTimers();
    goOn(passed);
    arrive(passed);
    callersGo();
    if (!timersFirst) ringTimers();
    tellOfTheMachine();
    tellOfStrangers();
    tellWhatIsOver();
  }

  Duration timeToNext() {
    if (chance_.percent(5)) return 0ms;
    if (chance_.percent(3)) return chance_.millis(100, 400);
    if (chance_.percent(30)) return chance_.millis(1, 10);
    return chance_.millis(1, 60);
  }

  void changeWeather() {
    weather_.load = chance_.oneOf(std::array{200, 400, 600, 800, 1100, 2000});
    weather_.readsLate = chance_.percent(15);
    weather_.storm = chance_.percent(30);
    weather_.idleGauge = chance_.percent(60);
    weather_.callMillis = chance_.oneOf(std::array{5, 15, 40, 120});
    weather_.callFailures = chance_.oneOf(std::array{0, 2, 10, 60});
  }

  // Runs, calls and repeats, in the order of their ids.
  void goOn(Duration passed) {
    std::int64_t running = 0;
    for (const auto& [id, req] : reqs_)
      if (req.place == Place::onCore) ++running;
    const std::int64_t cores = deployment_.machine.cores;
    const Duration worked = passed * cores / std::max(cores, running);
    std::vector<RequestId> ids;
    for (const auto& [id, req] : reqs_) ids.push_back(id);
    for (const RequestId id : ids) goOn(id, *find(id), worked);
  }

  void goOn(RequestId id, Known& req, Duration worked) {
    switch (req.place) {
      case Place::held:
        break;
      case Place::echoing:
        if (req.echoEnds <= now_) endRun(id, Outcome::completed);
        break;
      case Place::onCore:
        workOn(id, req, worked);
        break;
      case Place::wanting:
        if (req.answered) {
          endRun(id, Outcome::connectionLost);
        } else if (chance_.permille(3)) {
          stopUnasked(id, req);
        }
        break;
      case Place::calling:
        if (req.callEnds <= now_) {
          endCall(id, req);
        } else if (chance_.permille(3)) {
          endRun(id, chance_.percent(10) ? Outcome::superseded : Outcome::failed);
        } else if (chance_.permille(3)) {
          stopUnasked(id, req);
        }
        break;
    }
  }

  void workOn(RequestId id, Known& req, Duration worked) {
    if (req.stopping) {
      endRun(id, Outcome::cancelled);
      return;
    }
    req.work -= worked;
    if (req.work > 0s) {
      if (chance_.permille(5)) stopUnasked(id, req);
      return;
    }
    if (req.callsLeft > 0) {
      req.place = Place::wanting;
      events_.emplace_back(DownstreamCallRequested{id});
      return;
    }
    endRun(id, outcomeOfRun());
  }

  // A run that the machine itself gave up: its work is lost, and where an answer is owed it is held again.
  void stopUnasked(RequestId id, Known& req) {
    if (req.answered) {
      endRun(id, Outcome::cancelled);
      return;
    }
    events_.emplace_back(ExecutionEnded{id, Outcome::cancelled, 5ms});
    req.place = Place::held;
    req.work = chance_.millis(5, 60);
  }

  Outcome outcomeOfRun() {
    if (chance_.percent(94)) return Outcome::completed;
    return chance_.oneOf(std::array{Outcome::failed, Outcome::rejected, Outcome::timedOut,
                                    Outcome::unreachable, Outcome::connectionLost, Outcome::superseded});
  }

  void endRun(RequestId id, Outcome outcome) {
    events_.emplace_back(ExecutionEnded{id, outcome, chance_.millis(5, 60)});
    reqs_.erase(id);
  }

  void endCall(RequestId id, Known& req) {
    const Outcome outcome = outcomeOfCall(req);
    events_.emplace_back(DownstreamCallEnded{id, outcome, std::min(req.callTook, req.callLimit)});
    if (outcome == Outcome::completed) {
      backOnCore(req);
    } else {
      req.place = Place::wanting;
    }
  }

  Outcome outcomeOfCall(const Known& req) {
    if (req.callTook > req.callLimit)
      return chance_.percent(70) ? Outcome::timedOut : Outcome::connectionLost;
    if (!chance_.percent(weather_.callFailures)) return Outcome::completed;
    return chance_.oneOf(std::array{Outcome::failed, Outcome::rejected, Outcome::timedOut,
                                    Outcome::unreachable, Outcome::connectionLost, Outcome::superseded});
  }

  RequestId anyOfThem() {
    auto one = reqs_.begin();
    std::advance(one, chance_.between(0, static_cast<std::int64_t>(reqs_.size()) - 1));
    return one->first;
  }

  void callersGo() {
    if (reqs_.empty() || !chance_.percent(15)) return;
    const RequestId id = anyOfThem();
    events_.emplace_back(ClientDisconnected{id});
    answered(id);
  }

  // Each req that comes takes its work from what the load has brought since the last.
  void arrive(Duration passed) {
    credit_ += passed * deployment_.machine.cores * weather_.load / 1000;
    if (chance_.percent(3)) credit_ += chance_.millis(100, 400) * deployment_.machine.cores;
    while (credit_ > 0s) {
      const Duration share = chance_.millis(5, 60);
      credit_ -= share;
      read(chance_.percent(5) ? 0s : share);
    }
  }

  void read(Duration work) {
    RequestArrived event;
    event.id = RequestId{++lastId_};
    event.handler = HandlerId{static_cast<std::uint8_t>(chance_.between(0, 3))};
    event.tenant = TenantId{static_cast<std::uint16_t>(chance_.between(0, 20))};
    event.client = ClientId{static_cast<std::uint64_t>(chance_.between(1, 8))};
    event.resourceKey = ResourceKey{static_cast<std::uint64_t>(chance_.between(0, 12))};
    if (chance_.percent(15)) repeatAnother(event);
    const HandlerPolicy& terms = deployment_.handlers[static_cast<std::size_t>(event.handler)];
    event.rank = chance_.thousandths(0, 1000);
    event.queuedMemoryKb = chance_.thousandths(5000, 60'000);
    if (chance_.percent(40)) event.estimatedWork = work;
    event.isWrite = terms.idempotency != Idempotency::idempotent || chance_.percent(20);
    event.readDelay = chance_.percent(30) ? 0s : chance_.millis(0, 3);
    if (weather_.readsLate) event.readDelay = chance_.millis(200, 900);
    if (chance_.percent(patient_)) event.timeRemaining = patienceOf(terms);
    events_.emplace_back(event);
    remember(event, terms, work);
  }

  // Names an earlier req, one that the module keeps where there is any, and asks for the same.
  void repeatAnother(RequestArrived& event) {
    if (!kept_.empty() && chance_.percent(70)) {
      const std::int64_t last = static_cast<std::int64_t>(kept_.size()) - 1;
      event.duplicateOf = kept_[static_cast<std::size_t>(chance_.between(0, last))];
    } else {
      event.duplicateOf = RequestId{static_cast<std::uint32_t>(chance_.between(1, lastId_))};
    }
    if (const Known* first = find(*event.duplicateOf)) {
      event.handler = first->handler;
      event.resourceKey = first->subject;
    }
  }

  // Callers wait for one of two shares of the timeout, and for what is left of it at a further try.
  Duration patienceOf(const HandlerPolicy& terms) {
    const std::int64_t whole = terms.clientTimeout.count();
    if (chance_.percent(15)) return Duration(whole * chance_.between(50, 999) / 1000);
    const double share = habits_[static_cast<std::size_t>(chance_.between(0, 1))];
    return Duration(whole / 1000 * static_cast<std::int64_t>(share * 1000));
  }

  void remember(const RequestArrived& event, const HandlerPolicy& terms, Duration work) {
    Known req;
    req.handler = event.handler;
    req.subject = event.resourceKey;
    req.work = work;
    if (terms.callsDownstream) {
      req.callsLeft = static_cast<int>(chance_.between(0, 2));
      req.nextWork = work / 2;
    }
    reqs_.emplace(event.id, req);
  }

  void ringTimers() {
    for (const auto& [timer, due] : std::map(timers_)) {
      if (due > now_) continue;
      timers_.erase(timer);
      events_.emplace_back(rung(timer));
    }
  }

  TimerFired rung(TimerId timer) {
    TimerFired event;
    event.timer = timer;
    if (!saysGauges_ || chance_.percent(10)) return event;
    const int cores = deployment_.machine.cores;
    event.cpuUtilization = chance_.thousandths(600, 1000);
    event.runnableTasks = cores * chance_.thousandths(700, 2500);
    if (weather_.idleGauge) {
      event.cpuUtilization = chance_.thousandths(300, 900);
      event.runnableTasks = cores * chance_.thousandths(0, 1200);
    }
    if (weather_.storm) event.runnableTasks = cores * chance_.thousandths(2000, 20'000);
    if (chance_.percent(5)) event.cpuUtilization.reset();
    if (chance_.percent(5)) event.runnableTasks.reset();
    event.memoryUtilization = chance_.thousandths(100, 900);
    if (chance_.percent(90)) event.openConnections = cores * chance_.thousandths(1000, 12'000);
    return event;
  }

  void tellOfTheMachine() {
    if (deployment_.downstream.concurrentCallQuota > 0 && chance_.percent(3))
      events_.emplace_back(DownstreamQuotaChanged{chance_.thousandths(0, 1200)});
    if (deployment_.machine.warmUpDuration > 0s && chance_.percent(2)) {
      const bool cold = chance_.percent(70);
      events_.emplace_back(ExecutionEngineStarted{cold, chance_.millis(0, 2000)});
    }
    if (leaves_ && batch_ == batches_ * 4 / 5)
      events_.emplace_back(ShutdownNotice{chance_.millis(200, 1500)});
  }

  // What crosses on the way: events for reqs long gone, and a timer nobody set.
  void tellOfStrangers() {
    const RequestId stranger{1'000'000'000};
    if (chance_.percent(2)) events_.emplace_back(DownstreamCallEnded{stranger, Outcome::completed, 5ms});
    if (chance_.percent(2)) events_.emplace_back(ExecutionEnded{stranger, Outcome::completed, 5ms});
    if (chance_.percent(2)) events_.emplace_back(DownstreamCallRequested{stranger});
    if (chance_.percent(2)) events_.emplace_back(ClientDisconnected{stranger});
    TimerFired nobodys;
    nobodys.timer = TimerId{77};
    if (chance_.percent(2)) events_.emplace_back(nobodys);
  }

  // What crosses on the way: news of a call for a req that has none in hand.
  void tellWhatIsOver() {
    if (reqs_.empty() || !chance_.percent(10)) return;
    const RequestId id = anyOfThem();
    const Place place = find(id)->place;
    if (place != Place::onCore) events_.emplace_back(DownstreamCallRequested{id});
    if (place != Place::calling) events_.emplace_back(DownstreamCallEnded{id, Outcome::completed, 5ms});
  }

  Chance chance_;
  const PolicySettings deployment_;
  const int batches_;
  const bool leaves_, saysGauges_;
  const std::array<double, 2> habits_;  // how long callers wait, as shares of their timeout
  const int patient_;                   // percent of the reqs that say how long their caller waits
  std::unique_ptr<AdmissionPolicy> decision_;
  Hash hash_;
  Weather weather_;
  Duration now_{};
  Duration credit_{};
  int batch_ = 0;
  std::uint32_t lastId_ = 0;
  std::vector<Event> events_;
  std::map<RequestId, Known> reqs_;
  std::map<TimerId, Duration> timers_;
  std::deque<RequestId> kept_;
};

std::string nameOf(Variant variant, int seed) {
  return std::string(variantNames[static_cast<std::size_t>(variant)]) + " " + std::to_string(seed);
}

std::string lineOf(const std::string& name, const std::vector<std::uint64_t>& hashes) {
  std::ostringstream line;
  line << name << std::hex << std::setfill('0');
  for (const std::uint64_t hash : hashes) line << ' ' << std::setw(16) << hash;
  return line.str();
}

// A line for each play: its variant, its seed, its hashes.
std::vector<std::string> playAll(Tally& tally) {
  std::vector<std::string> lines;
  for (std::size_t variant = 0; variant < variantNames.size(); ++variant)
    for (int seed = 1; seed <= seeds; ++seed) {
      const auto which = static_cast<Variant>(variant);
      Play play(which, seed);
      lines.push_back(lineOf(nameOf(which, seed), play.run(tally)));
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

// Which batches are the first that differ, in words.
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
  return "play " + variant + " " + seed + ": first difference in the batches " +
         std::to_string(group * batchesAHash + 1) + " to " + std::to_string((group + 1) * batchesAHash);
}

void expectAsRecorded(const std::vector<std::string>& played) {
  const std::vector<std::string> recorded = readRecording();
  ASSERT_EQ(recorded.size(), played.size()) << recordingFile;
  int differing = 0;
  for (std::size_t play = 0; play < played.size(); ++play) {
    if (recorded[play] == played[play]) continue;
    ++differing;
    if (differing <= 10) ADD_FAILURE() << firstDifference(recorded[play], played[play]);
  }
  EXPECT_EQ(differing, 0) << "plays differ, of " << played.size();
}

// Some two thirds of what was counted at the first recording; plays that show less hold less.
void expectMuchSeen(const Tally& tally) {
  EXPECT_GE(tally.batches, 47'000);
  EXPECT_GE(tally.starts, 71'000);
  EXPECT_GE(tally.shedsLastTry, 130'000);
  EXPECT_GE(tally.shedsOther, 25'000);
  EXPECT_GE(tally.shedsWithAdvice, 65'000);
  EXPECT_GE(tally.fails, 7400);
  EXPECT_GE(tally.stops, 420);
  EXPECT_GE(tally.calls, 18'000);
  EXPECT_GE(tally.skipCalls, 4600);
  EXPECT_GE(tally.keeps, 42'000);
  EXPECT_GE(tally.forgets, 29'000);
  EXPECT_GE(tally.answersFromFirst, 24'000);
  EXPECT_GE(tally.healths, 420);
  EXPECT_GE(tally.signals, 9900);
  EXPECT_GE(tally.closeIdles, 720);
  EXPECT_GE(tally.timers, 23'000);
  EXPECT_GE(tally.notes, 100);
}

bool recordingAsked() {
  const char* asked = std::getenv("RAINHOOK_RECORD");
  return asked && std::string(asked) == "1";
}

TEST(DecisionRecording, EveryBatchIsAsRecorded) {
  Tally tally;
  const std::vector<std::string> played = playAll(tally);
  expectMuchSeen(tally);
  if (recordingAsked()) {
    record(played);
    FAIL() << "recorded anew, not compared: " << recordingFile;
  }
  expectAsRecorded(played);
}

}  // namespace
}  // namespace rainhook
