/// @file
/// The request server, which connects its peers to the admission policy.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/server_configuration.h"
#include "decision/decision.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "peers/downstream_client.h"
#include "peers/execution_engine_client.h"
#include "peers/request_listener.h"
#include "server/configuration_reload.h"
#include "server/deduplication_cache.h"
#include "server/endpoint_registration.h"
#include "server/engine_command_dispatcher.h"
#include "server/executed_names.h"
#include "server/graceful_shutdown.h"
#include "server/policy_timers.h"
#include "server/request_statistics.h"
#include "server/request_table.h"
#include "server/resource_budget.h"

namespace rainhook::server {

/// The status of a server, for the other members of its fleet.
struct ServerStatus {
  bool isShuttingDown = false;          ///< Whether a graceful shutdown has started.
  bool isEngineResponsive = false;      ///< Whether the engine is connected and answers in time.
  double warmUpProgress = 1;            ///< The share of its warm-up time that has passed, 0 to 1.
  double concurrencyLimit = 0;          ///< How many requests may execute at the same time.
  std::size_t executing = 0;            ///< Executing requests, including those in downstream calls.
  std::size_t queued = 0;               ///< Requests in the queue, and duplicates that await their originals.
  std::uint64_t requestsRead = 0;       ///< Requests read since the start.
  std::uint64_t requestsCompleted = 0;  ///< Requests completed since the start.
};

/// One server process. It translates the reports of its peers into events of the admission policy and the
/// actions of the policy into messages to its peers; it makes no decisions. Everything that is read in one
/// iteration of the event loop forms one batch of events.
///
/// Bounds: ResourceBudget bounds the requests in flight, the output and the cached results. The amount of
/// data that one iteration reads bounds the pending events.
///
/// Must be used on the event-loop thread only. The reactor and the log must outlive it.
class RequestServer final : peers::RequestListener::Listener,
                            peers::ExecutionEngineClient::Listener,
                            peers::DownstreamClient::Listener {
 public:
  /// Throws Poco::Exception if an address cannot be resolved.
  RequestServer(net::Reactor& reactor, logging::Log& log, ServerConfiguration configuration);
  ~RequestServer() override;
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  /// Binds the listening address and connects to the peers. Throws Poco::Exception if the address cannot be
  /// bound.
  void open();
  /// Returns the listening address; valid after open().
  Poco::Net::SocketAddress address() const { return requestListener_.address(); }

  /// Applies the parts of a new configuration that may change while the server runs, see ConfigurationReload.
  void reload(const ServerConfiguration& newConfiguration) { configurationReload_.apply(newConfiguration); }
  /// Applies a new configuration from a file. If the file cannot be read, nothing changes.
  void reloadFile(const std::string& path) { configurationReload_.applyFile(path); }

  /// Starts a graceful shutdown, at the end of which the reactor is stopped. Further calls do nothing.
  void shutDownGracefully();

  /// Sets the share, 0 to 1, of the configured quota of downstream calls that this server may use.
  void setDownstreamQuota(double share);

  /// Returns the numbers of requests in flight by state.
  InFlightCounts inFlightCounts() const;
  /// Returns the current status.
  ServerStatus status() const;
  /// Returns how many connections have been visited so far to find idle ones to evict.
  std::uint64_t connectionsScanned() const { return requestListener_.connectionsScanned(); }

 private:
  // Callbacks of the peers.
  peers::AdmitResult onRequest(peers::IncomingRequest&& incoming) override;
  void onClientDisconnected(RequestId id) override;
  void onEngineConnected(bool isColdStart, Duration sinceStart) override;
  void onNotificationsCaughtUp() override;
  void onExecutionEnded(const std::string& name, Outcome outcome, Duration duration,
                        std::string&& result) override;
  void onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                 std::string&& body) override;
  void onGauges(std::uint64_t gaugeRequest, const std::vector<double>& values) override;
  void onCommandRejected(const std::string& name, peers::EngineCommandKind command) override;
  void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration duration, std::string&& reply) override;

  // Actions of the policy, defined in request_server_actions.cpp.
  void perform(const StartExecution& action);
  void perform(const ShedRequest& action);
  void perform(const FailRequest& action);
  void perform(const CancelExecution& action);
  void perform(const CallDownstream& action);
  void perform(const SkipDownstreamCall& action);
  void perform(const RetainResult& action);
  void perform(const DropResult& action);
  void perform(const AnswerFromOriginal& action);
  void perform(const PublishHealth& action);
  void perform(const PublishLoadSignal& action);
  void perform(const SetIdleConnectionTimeout& action);
  void perform(const SetTimer& action);
  void perform(const DiagnosticMessage& action);

  // Creation of the policy and its events.
  void createPolicyIfAbsent(bool isColdStart, Duration engineAge);
  void onIterationEnd();
  void addEvent(const Event& event);
  void addArrivalEvent(RequestId id, const InFlightRequest& request);
  void onTimerFired(const TimerFired& event);

  // End of executions and responses.
  void endExecution(RequestId id, InFlightRequest& request, Outcome outcome, Duration duration,
                    const std::string& result);
  void failExecution(RequestId id, InFlightRequest& request);
  void respond(InFlightRequest& request, Outcome outcome, const std::string& result);
  void endResponse(RequestId id, InFlightRequest& request);
  void remove(RequestId id, const InFlightRequest& request);

  // Duplicates and their originals, defined in request_server_duplicates.cpp.
  DeduplicationCache::Lookup findOriginalOrRegister(RequestId id, const peers::IncomingRequest& request);
  void releaseDuplicates(RequestId original);
  void readmitDuplicates();
  void readmit(RequestId id, InFlightRequest& request);
  void endOriginal(RequestId original, DeduplicationCache::OriginalState state, const std::string& result);
  void answerDuplicate(RequestId id, InFlightRequest& request, DeduplicationCache::OriginalState state,
                       const std::string& result);

  std::uint64_t jitterSeed() const;

  net::Reactor& reactor_;
  logging::Log& log_;
  ServerConfiguration configuration_;  // a reload changes its endpoints but not its deployment
  const ServerEndpoints& endpoints_ = configuration_.endpoints;
  const DeploymentSettings& deployment_ = configuration_.deployment;
  const ResourceBudget budget_ = divideResources(endpoints_.maxDescriptors, endpoints_.memoryMb);

  net::BufferPool bufferPool_;
  peers::RequestListener requestListener_;
  peers::DownstreamClient downstreamClient_;
  peers::ExecutionEngineClient engineClient_;
  EndpointRegistration registration_;

  RequestTable requests_;
  DeduplicationCache deduplicationCache_;
  ExecutedNames executedNames_;
  EngineCommandDispatcher engineCommands_;
  PolicyTimers policyTimers_;
  RequestStatistics statistics_;
  ConfigurationReload configurationReload_;
  GracefulShutdown shutdown_;

  std::unique_ptr<AdmissionPolicy> policy_;
  TimePoint policyEpoch_{};     // the start of the engine, which is time zero of the policy
  bool isPolicyNew_ = false;    // makes the next iteration call the policy even without events
  double downstreamQuota_ = 1;  // share of the configured quota
  std::vector<Event> pendingEvents_;
  std::set<RequestId> neverExecuted_;        // found in this iteration not to have been executed
  std::set<RequestId> duplicatesToReadmit_;  // at the end of this iteration
  net::Reactor::Timer wakeUpTimer_;
  std::uint32_t lastRequestId_ = 0;
  std::optional<TimePoint> coldStartedAt_;     // the engine's start, if it was a cold start
  std::optional<double> engineRunnableTasks_;  // from the last sample of gauges that contained it
};

}  // namespace rainhook::server
