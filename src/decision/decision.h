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
using Duration = std::chrono::nanoseconds;

enum class RequestId : std::uint32_t {};
enum class HandlerId : std::uint8_t {};
enum class TenantId : std::uint16_t {};
enum class ClientId : std::uint64_t {};
enum class ResourceKey : std::uint64_t {};
enum class TimerId : std::uint32_t {};
enum class Seed : std::uint64_t {};

enum class Idempotency { idempotent, keyed, nonIdempotent };
enum class CancellationMode { none, discardWork, pauseWork };
enum class LoadSignalKind { none, level, credit, weight };
enum class DownstreamKind { none, shared, nextTier };
enum class Outcome {
  completed,
  failed,
  rejected,
  timedOut,
  unreachable,
  connectionLost,
  cancelled,
  superseded
};

// What is read at start.
struct MachineProfile {
  int cores = 1;
  double memoryKb = 0;
  double executionMemoryFactor = 1;  // memory of a running req over that of a held one
  double cachedEntryKb = 0;          // memory of one kept entry
  bool coldStart = false;
  double initialSpeed = 1;  // least share of its speed at a cold start
  Duration warmUpDuration{};
  double maxExecutionsPerCore = 1;  // reqs on the cores, for each core, that a warm server survives
  Duration crowdingWindow{};
  CancellationMode cancellation = CancellationMode::none;
};

struct HandlerPolicy {
  Duration latencyObjective{};
  double objectiveWorkFactor = 0;  // the target grows by this many times the req's own work
  Duration clientTimeout{};
  double priorityWeight = 1;
  double lateWeight = 0;
  double degradedWeight = 0;  // share of the value earned by an answer without its call
  bool callsDownstream = false;
  Idempotency idempotency = Idempotency::idempotent;
  Duration deduplicationWindow{};  // uniqued: how long after its arrival a repeat may come
};

struct DownstreamProfile {
  DownstreamKind kind = DownstreamKind::none;
  double concurrentCallQuota = 0;  // calls in hand that this server may hold on average; 0 where unlimited
  Duration quotaWindow{};
  Duration abandonedCallLinger{};  // how long a call given up may stay in the dependency's hands
};

struct ProtocolLimits {
  Duration answerSlack{};
  Duration drainGrace{};
};

struct SignalingProfile {
  LoadSignalKind signalKind = LoadSignalKind::none;
  Duration signalLifetime{};           // how long a caller bears a signal in mind
  bool registryFollowsHealth = false;  // the list of servers follows the health said here
  Duration maxRetryAfter{};            // 0 where advice to stay away is not passed on
};

struct ResultSharing {
  bool weightByWork = false;
  Duration sharingDuration{};  // how long the answer of a read may serve other reads; 0 for never
};

struct FleetProfile {
  int servers = 1;
  int clients = 1;
  Duration maxIdleTime = std::chrono::seconds(1);  // callers close connections idle for longer
};

// Events.
struct RequestArrived {
  RequestId id{};
  HandlerId handler{};
  TenantId tenant{};
  ClientId client{};
  ResourceKey resourceKey{};
  std::optional<RequestId> duplicateOf;
  double rank = 0;
  double queuedMemoryKb = 0;
  std::optional<Duration> estimatedWork;
  std::optional<Duration> timeRemaining;  // how long its caller still waits
  Duration readDelay{};                   // time since it reached the machine
  bool isWrite = false;
};
struct ExecutionEnded {
  RequestId id{};
  Outcome outcome{};
  Duration duration{};
};
struct DownstreamCallRequested {
  RequestId id{};
};
struct DownstreamCallEnded {
  RequestId id{};
  Outcome outcome{};
  Duration duration{};
};
struct ClientDisconnected {
  RequestId id{};
};
struct ShutdownNotice {
  Duration timeRemaining{};
};
struct TimerFired {
  TimerId timer{};
  std::optional<double> cpuUtilization;  // share of the cores busy
  std::optional<double> runnableTasks;   // everything that wants a core now
  std::optional<double> memoryUtilization;
  std::optional<double> openConnections;
};
// How much of the stated share of calls in hand may be used from now on, 0 to 1.
struct DownstreamQuotaChanged {
  double share = 1;
};
// How the machine started, and how long ago, where that becomes known after the opening.
struct ExecutionEngineStarted {
  bool coldStart = false;
  Duration elapsed{};
};
using Event = std::variant<RequestArrived, ExecutionEnded, DownstreamCallRequested, DownstreamCallEnded,
                           ClientDisconnected, ShutdownNotice, TimerFired, DownstreamQuotaChanged,
                           ExecutionEngineStarted>;

// Actions.
struct StartExecution {
  RequestId id{};
};
struct ShedRequest {
  RequestId id{};
  Duration retryAfter{};
  bool discourageRetry = false;  // asks the caller not to try another server
};
struct FailRequest {
  RequestId id{};
};
struct CancelExecution {
  RequestId id{};
};
struct CallDownstream {
  RequestId id{};
  Duration timeout{};
};
struct SkipDownstreamCall {
  RequestId id{};
};
struct RetainResult {
  RequestId id{};
  Duration retention{};
};
struct DropResult {
  RequestId id{};
};
struct AnswerFromOriginal {
  RequestId id{};
};
struct PublishHealth {
  bool healthy = true;
  bool isCached = false;
};
struct PublishLoadSignal {
  double value = 0;
};
struct SetIdleConnectionTimeout {
  Duration timeout{};
};
struct SetTimer {
  TimerId timer{};
  Duration delay{};
};
struct DiagnosticMessage {
  std::string text;
};
using Action = std::variant<StartExecution, ShedRequest, FailRequest, CancelExecution, CallDownstream,
                            SkipDownstreamCall, RetainResult, DropResult, AnswerFromOriginal, PublishHealth,
                            PublishLoadSignal, SetIdleConnectionTimeout, SetTimer, DiagnosticMessage>;

// One instance for one server, from its start to its end.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  // What happened, in order, all of it at `now`; returns what is to be done, in order.
  // The first call, at the start of the instance, may carry no event.
  virtual std::vector<Action> onEvents(Duration now, std::span<const Event> happened) = 0;
  // How many entries of its tables decide() has gone through so far: what turns cost, whatever the clock
  // says.
  virtual std::uint64_t entriesScanned() const = 0;
  // The limit on running reqs now.
  virtual double concurrencyLimit() const = 0;
};

// The seed is there for decisions by chance; none is left to chance now.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(Seed seed, const MachineProfile& machine,
                                                     const std::vector<HandlerPolicy>& handlers,
                                                     const DownstreamProfile& below,
                                                     const ProtocolLimits& duties,
                                                     const SignalingProfile& voice,
                                                     const ResultSharing& trade, const FleetProfile& fleet);

// The four rules, for use on their own: the step asked for, from the last step and the change of the mean
// latency that followed it, both normalized; the result lies in -1 to 1.
double fuzzyStep(double lastStep, double latencyChange);

}  // namespace rainhook
