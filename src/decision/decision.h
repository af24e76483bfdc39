// The interface of the rainhook decision module: ids, what is read at start, events, actions.
// No decision is made here; all of them live in decision.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rainhook {

// All times are spans since the start of the instance.
using Span = std::chrono::nanoseconds;

enum class ReqId : std::uint32_t {};
enum class HandlerId : std::uint8_t {};
enum class CustomerId : std::uint16_t {};
enum class CallerId : std::uint64_t {};
enum class SubjectId : std::uint64_t {};
enum class TimerId : std::uint32_t {};
enum class Seed : std::uint64_t {};

enum class Effect { replayable, uniqued, nonReplayable };
enum class Halting { none, drop, pause };
enum class SignalKind { none, level, credit, weight };
enum class BelowKind { none, shared, tier };
enum class Outcome { done, errored, refused, timedOut, unreachable, cutShort, stopped, moot };

// What is read at start.
struct Machine {
  int cores = 1;
  double memoryKb = 0;
  double runFactor = 1;  // memory of a running req over that of a held one
  double keyKb = 0;      // memory of one kept entry
  bool cold = false;
  double coldSpeed = 1;  // least share of its speed at a cold start
  Span warmWithin{};
  double crowdPerCore = 1;  // reqs on the cores, for each core, that a warm server survives
  Span crowdSpan{};
  Halting halting = Halting::none;
};

struct HandlerTerms {
  Span responseTarget{};
  double targetStretch = 0;  // the target grows by this many times the req's own work
  Span clientTimeout{};
  double value = 1;
  double lateValue = 0;
  double skipValue = 0;  // share of the value earned by an answer without its call
  bool calls = false;
  Effect effect = Effect::replayable;
  Span window{};  // uniqued: how long after its arrival a repeat may come
};

struct Below {
  BelowKind kind = BelowKind::none;
  double callShare = 0;  // calls in hand that this server may hold on average; 0 where unlimited
  Span callShareSpan{};
  Span linger{};  // how long a call given up may stay in the dependency's hands
};

struct Duties {
  Span answerSlack{};
  Span drainGrace{};
};

struct Voice {
  SignalKind signal = SignalKind::none;
  Span remembered{};         // how long a caller bears a signal in mind
  bool listFollows = false;  // the list of servers follows the health said here
  Span longestAdvice{};      // 0 where advice to stay away is not passed on
};

struct Trade {
  bool valueByWork = false;
  Span shareFor{};  // how long the answer of a read may serve other reads; 0 for never
};

struct Fleet {
  int servers = 1;
  int callers = 1;
  Span longestIdle = std::chrono::seconds(1);  // callers close connections idle for longer
};

// Events.
struct ReqRead {
  ReqId id{};
  HandlerId handler{};
  CustomerId customer{};
  CallerId caller{};
  SubjectId subject{};
  std::optional<ReqId> repeats;
  double rank = 0;
  double heldKb = 0;
  std::optional<Span> workHint;
  std::optional<Span> patience;  // how long its caller still waits
  Span unread{};                 // time since it reached the machine
  bool write = false;
};
struct RunEnded {
  ReqId id{};
  Outcome outcome{};
  Span took{};
};
struct CallWanted {
  ReqId id{};
};
struct CallEnded {
  ReqId id{};
  Outcome outcome{};
  Span took{};
};
struct CallerGone {
  ReqId id{};
};
struct LeaveNotice {
  Span left{};
};
struct TimerRang {
  TimerId timer{};
  std::optional<double> cpu;          // share of the cores busy
  std::optional<double> wantingCore;  // everything that wants a core now
  std::optional<double> memory;
  std::optional<double> connections;
};
// How much of the stated share of calls in hand may be used from now on, 0 to 1.
struct CallShare {
  double part = 1;
};
// How the machine started, and how long ago, where that becomes known after the opening.
struct MachineStarted {
  bool cold = false;
  Span ago{};
};
using Event = std::variant<ReqRead, RunEnded, CallWanted, CallEnded, CallerGone, LeaveNotice, TimerRang,
                           CallShare, MachineStarted>;

// Actions.
struct Start {
  ReqId id{};
};
struct Shed {
  ReqId id{};
  Span stayAway{};
  bool lastTry = false;  // asks the caller not to try another server
};
struct Fail {
  ReqId id{};
};
struct Stop {
  ReqId id{};
};
struct Call {
  ReqId id{};
  Span limit{};
};
struct SkipCall {
  ReqId id{};
};
struct Keep {
  ReqId id{};
  Span keepFor{};
};
struct Forget {
  ReqId id{};
};
struct AnswerFromFirst {
  ReqId id{};
};
struct SayHealth {
  bool good = true;
  bool fromStore = false;
};
struct SaySignal {
  double value = 0;
};
struct CloseIdleAfter {
  Span idle{};
};
struct SetTimer {
  TimerId timer{};
  Span in{};
};
struct Note {
  std::string text;
};
using Action = std::variant<Start, Shed, Fail, Stop, Call, SkipCall, Keep, Forget, AnswerFromFirst, SayHealth,
                            SaySignal, CloseIdleAfter, SetTimer, Note>;

// One instance for one server, from its start to its end.
class Decision {
 public:
  virtual ~Decision() = default;
  // What happened, in order, all of it at `now`; returns what is to be done, in order.
  // The first call, at the start of the instance, may carry no event.
  virtual std::vector<Action> decide(Span now, std::span<const Event> happened) = 0;
  // How many entries of its tables decide() has gone through so far: what turns cost, whatever the clock
  // says.
  virtual std::uint64_t looks() const = 0;
  // The limit on running reqs now.
  virtual double limit() const = 0;
};

// The seed is there for decisions by chance; none is left to chance now.
std::unique_ptr<Decision> openDecision(Seed seed, const Machine& machine,
                                       const std::vector<HandlerTerms>& handlers, const Below& below,
                                       const Duties& duties, const Voice& voice, const Trade& trade,
                                       const Fleet& fleet);

// The four rules, for use on their own: the step asked for, from the last step and the change of the mean
// latency that followed it, both normalized; the result lies in -1 to 1.
double fuzzyStep(double lastStep, double latencyChange);

}  // namespace rainhook
