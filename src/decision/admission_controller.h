/// @file
/// The admission policy of one server: decides which requests to execute, queue, shed or fail, and when.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "decision/active_requests.h"
#include "decision/admission_policy.h"
#include "decision/admission_queue.h"
#include "decision/concurrency_limiter.h"
#include "decision/deduplication_index.h"
#include "decision/downstream_call_budget.h"
#include "decision/drain_state.h"
#include "decision/execution_ceiling.h"
#include "decision/idle_connection_tuner.h"
#include "decision/load_signal_encoder.h"
#include "decision/memory_budget.h"
#include "decision/overload_detector.h"
#include "decision/read_delay_estimator.h"
#include "decision/request_record.h"
#include "decision/request_timing.h"
#include "decision/service_time_estimator.h"
#include "decision/uncertain_replies.h"

namespace rainhook {

/// Passes each event to the estimators and accounts that it concerns, then decides about all requests.
/// `processRequests` lists the stages of these decisions in order. docs/design.md explains the decisions.
class AdmissionController final : public AdmissionPolicy {
 public:
  /// Creates the policy of one server; keeps a copy of the settings.
  explicit AdmissionController(const PolicySettings& settings);

  [[nodiscard]] std::vector<Action> onEvents(Duration now, std::span<const Event> events) override;
  [[nodiscard]] std::uint64_t entriesScanned() const override { return entriesScanned_; }
  [[nodiscard]] double concurrencyLimit() const override { return limiter_.limit(); }

 private:
  /// Why a request is answered without a result.
  enum class ShedCause {
    /// The load of this server. It counts as a sign of overload, and another server may still succeed.
    localLoad,
    /// A slow dependency, or a target that has passed: another server would not succeed either.
    unservableAnywhere,
    /// A reply that the engine probably lost. It says nothing about the load, and another server may succeed.
    replyLost,
  };

  void onStart();
  void advanceTime(Duration now);

  void onEvent(const RequestArrived& event);
  void onEvent(const ExecutionEnded& event);
  void onEvent(const DownstreamCallRequested& event);
  void onEvent(const DownstreamCallEnded& event);
  void onEvent(const ReplyDeliveryUncertain& event);
  void onEvent(const ClientDisconnected& event);
  void onEvent(const ShutdownNotice& event);
  void onEvent(const TimerFired& event);
  void onEvent(const DownstreamQuotaChanged& event);
  void onEvent(const ExecutionEngineStarted& event);
  void learnFromExecution(const RequestRecord& request);
  void requeueCancelled(RequestRecord& request);
  [[nodiscard]] bool limitLeavesCoresIdle(const TimerFired& gauges) const;

  /// Runs all decision stages in order.
  void processRequests(Duration elapsed);
  void admitArrivals();
  void shedUnservable(double tolerableSeconds);
  void startExecutions(double ceiling, bool callsWait);
  [[nodiscard]] double trimQueue(double tolerableSeconds, bool callsWait);
  void processAwaitedCalls(bool callsWait);
  void processAwaitedCall(RequestRecord& request, bool callsWait);
  void startDownstreamCall(RequestRecord& request, bool shouldRetryOutlier);
  void resolveUncertainReplies();
  void shedOrFailOverdue();
  void publishLoadSignal();

  [[nodiscard]] bool isTooLate(const RequestRecord& request) const;
  [[nodiscard]] bool shouldCancelExecution(const RequestRecord& request) const;
  [[nodiscard]] bool isIdempotent(const RequestRecord& request) const;
  [[nodiscard]] bool isCancellable(const RequestRecord& request) const;
  [[nodiscard]] bool canCancelExecutions() const;
  [[nodiscard]] bool mayRaiseLimit() const;
  [[nodiscard]] double executionLimit() const;
  [[nodiscard]] double queuedWorkSeconds(bool callsWait) const;

  [[nodiscard]] bool awaitOriginal(RequestRecord& request);
  [[nodiscard]] bool retainForDuplicates(const RequestRecord& request);
  void dropRetained(const RequestRecord& request);

  void shedOrFail(RequestRecord& request, ShedCause cause);
  void closeRequest(RequestRecord& request);
  void remove(const RequestRecord& request);
  void removeStaleQueueEntries();
  [[nodiscard]] Duration retryAfter() const;
  [[nodiscard]] bool shouldDiscourageRetry() const;

  [[nodiscard]] const HandlerPolicy& policyOf(const RequestRecord& request) const;
  void emit(Action action);

  const PolicySettings settings_;
  ConcurrencyLimiter limiter_;
  ServiceTimeEstimator serviceTimes_;
  RequestTiming timing_;
  MemoryBudget memory_;
  ExecutionCeiling executionCeiling_;
  DownstreamCallBudget callBudget_;
  DeduplicationIndex deduplication_;
  OverloadDetector overload_;
  ReadDelayEstimator readDelays_;
  IdleConnectionTuner idleConnections_;
  LoadSignalEncoder loadSignal_;
  DrainState drain_;

  ActiveRequests requests_;
  AdmissionQueue queue_;
  /// Requests that arrived since the last call of `processRequests`.
  std::vector<RequestId> arrivals_;
  /// Requests whose downstream call has not been made yet, in the order in which they requested it.
  std::vector<RequestId> awaitingCall_;
  /// Executions that may wait forever for a reply that was sent.
  UncertainReplies uncertainReplies_;

  std::vector<Action> actions_;
  Duration now_{};
  Duration nextLimitRaise_{};
  /// Whether the latest load gauges showed idle cores while the limit kept requests in the queue.
  bool limitLeavesCoresIdle_ = false;
  bool hasStarted_ = false;
  std::uint64_t entriesScanned_ = 0;
};

}  // namespace rainhook
