/// @file
/// The server: wires its peers to the admission policy.
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
#include "server/graceful_shutdown.h"
#include "server/policy_timers.h"
#include "server/request_statistics.h"
#include "server/request_table.h"
#include "server/resource_budget.h"

namespace rainhook::server {

/// What a server is doing, for the other members of its fleet.
struct ServerStatus {
  bool isShuttingDown = false;          ///< From the shutdown notice on.
  bool isEngineResponsive = false;      ///< Connected, and it answers in time.
  double warmUpProgress = 1;            ///< Share of its full speed, 0 to 1.
  double concurrencyLimit = 0;          ///< Requests that may execute.
  std::size_t executing = 0;            ///< Downstream calls included.
  std::size_t queued = 0;               ///< Or awaiting their originals.
  std::uint64_t requestsRead = 0;       ///< Since the start.
  std::uint64_t requestsCompleted = 0;  ///< Since the start.
};

/// One server process: what its peers report becomes events of the admission policy, and the policy's actions
/// become messages to its peers. It decides nothing. All that was read in one iteration of the event loop is
/// one batch of events.
///
/// Bounds: requests in flight, output and cached results are bounded by ResourceBudget; pending events by
/// what one iteration reads.
///
/// Used from the event loop's thread only. The reactor and the log must outlive it.
class RequestServer final : peers::RequestListener::Listener,
                            peers::ExecutionEngineClient::Listener,
                            peers::DownstreamClient::Listener {
 public:
  /// Throws Poco::Exception where an address can't be resolved.
  RequestServer(net::Reactor& reactor, logging::Log& log, ServerConfiguration configuration);
  ~RequestServer() override;
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  /// Binds its address and connects to its peers; throws Poco::Exception where the address can't be bound.
  void open();
  /// Where it listens, once it is open.
  Poco::Net::SocketAddress address() const { return requestListener_.address(); }

  /// Takes what a new configuration may change while the server runs, see ConfigurationReload.
  void reload(const ServerConfiguration& offered) { configurationReload_.apply(offered); }
  /// The same from a file; where it can't be read, nothing changes.
  void reloadFile(const std::string& path) { configurationReload_.applyFile(path); }

  /// Starts a graceful shutdown, at whose end the reactor is stopped. Later calls do nothing.
  void shutDownGracefully();

  /// How much of the configured quota of downstream calls it may use from now on, 0 to 1.
  void setDownstreamQuota(double share);

  /// The requests in flight by state.
  InFlightCounts inFlightCounts() const;
  /// What the server is doing now.
  ServerStatus status() const;
  /// How many connections were visited so far to make room for new ones.
  std::uint64_t connectionsScanned() const { return requestListener_.entriesScanned(); }

 private:
  // Reports of the peers.
  peers::AdmitResult onRequest(peers::IncomingRequest&& incoming) override;
  void onClientDisconnected(RequestId id) override;
  void onEngineConnected(bool cold, Duration since) override;
  void onNotificationsCaughtUp() override;
  void onExecutionEnded(const std::string& name, Outcome outcome, Duration took,
                        std::string&& result) override;
  void onDownstreamCallRequested(const std::string& name, std::uint64_t notification,
                                 std::string&& body) override;
  void onGauges(std::uint64_t gaugeRequest, const std::vector<double>& values) override;
  void onCommandRejected(const std::string& name, peers::EngineCommandKind command) override;
  void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration took, std::string&& reply) override;

  // Actions of the policy, in request_server_actions.cpp.
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

  // The policy.
  void openPolicy(bool isColdStart, Duration engineAge);
  void onIterationEnd();
  void notify(const Event& event);
  void notifyArrival(RequestId id, const InFlightRequest& request);
  void onTimerFired(const TimerFired& event);

  // The life of a request.
  void endExecution(RequestId id, InFlightRequest& request, Outcome outcome, Duration took,
                    const std::string& result);
  void failExecution(RequestId id, InFlightRequest& request);
  void respond(InFlightRequest& request, Outcome outcome, const std::string& result);
  void endResponse(RequestId id, InFlightRequest& request);

  // Duplicates and their originals.
  DeduplicationCache::Lookup findOriginal(RequestId id, const peers::IncomingRequest& request);
  void releaseDuplicates(RequestId original);
  void readmit(RequestId id);
  void originalEnded(RequestId original, DeduplicationCache::OriginalState state, const std::string& result);
  void answerDuplicate(RequestId id, InFlightRequest& request, DeduplicationCache::OriginalState state,
                       const std::string& result);

  std::uint64_t jitterSeed() const;

  net::Reactor& reactor_;
  logging::Log& log_;
  ServerConfiguration configuration_;  // a reload changes its endpoints, never the deployment
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
  EngineCommandDispatcher engineCommands_;
  PolicyTimers policyTimers_;
  RequestStatistics statistics_;
  ConfigurationReload configurationReload_;
  GracefulShutdown shutdown_;

  std::unique_ptr<AdmissionPolicy> policy_;
  Moment policyOrigin_{};       // the start of the engine, from which the policy counts its time
  bool isPolicyNew_ = false;    // it has not been asked yet
  double downstreamQuota_ = 1;  // share of the configured one
  std::vector<Event> pendingEvents_;
  std::set<RequestId> neverExecuted_;  // in this iteration: they are nobody's originals
  net::Reactor::Timer wakeUpTimer_;
  std::uint32_t lastRequestId_ = 0;
  std::optional<Moment> coldStartedAt_;        // the engine's start, where that was a cold one
  std::optional<double> engineRunnableTasks_;  // as its gauges said last
};

}  // namespace rainhook::server
