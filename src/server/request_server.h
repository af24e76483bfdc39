// One real server: what its peers tell becomes events, what the module asks for becomes actions of its peers.
// It decides nothing. Everything read in one turn of the reactor is one batch.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/server_configuration.h"
#include "decision/decision.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "peers/downstream_client.h"
#include "peers/execution_engine_client.h"
#include "peers/registry_client.h"
#include "peers/request_listener.h"
#include "server/request_table.h"

namespace rainhook::server {

class RequestServer final : peers::RequestListener::Listener,
                            peers::ExecutionEngineClient::Listener,
                            peers::DownstreamClient::Listener {
 public:
  RequestServer(net::Reactor& reactor, logging::Log& log, ServerConfiguration configured);
  ~RequestServer() override;

  // Binds its address; throws Poco::Exception where that can't be had.
  void open();
  Poco::Net::SocketAddress address() const { return clients_.address(); }
  // A new configuration: peers that moved are reached where they are now, all in hand goes on.
  void reload(const ServerConfiguration& offered);
  // The same from a file; one that can't be taken changes nothing.
  void reloadFrom(const std::string& file);
  // What is in hand now, by where it stands; said in the log every few seconds, to hold against the engine's
  // gauges.
  struct Standing {
    std::size_t held = 0, onCores = 0, atCalls = 0, unowed = 0, callsOpen = 0;
    auto operator<=>(const Standing&) const = default;
  };
  Standing standing() const;
  // What it does, in numbers that others may hear.
  struct Figures {
    bool leaving = false, works = false;
    double warmth = 1, limit = 0;  // share of its full speed; reqs that may run
    std::size_t running = 0, held = 0;
    std::uint64_t read = 0, done = 0;  // since the start
  };
  Figures figures() const;
  // How much of its stated share of the dependency it may use from now on, 0 to 1.
  void mayCall(double part);
  std::uint64_t looks() const { return clients_.entriesScanned(); }
  // The notice to leave; the reactor stops once all is answered.
  void leave();

 private:
  peers::AdmitResult onRequest(peers::IncomingRequest&& req) override;
  void onClientDisconnected(RequestId id) override;
  void onEngineConnected(bool cold, Duration since) override;
  void onNotificationsCaughtUp() override;
  void onExecutionEnded(const std::string& name, Outcome outcome, Duration took,
                        std::string&& result) override;
  void onDownstreamCallRequested(const std::string& name, std::uint64_t notice, std::string&& body) override;
  void onGauges(std::uint64_t question, const std::vector<double>& values) override;
  void onCommandRejected(const std::string& name, peers::EngineCommandKind command) override;
  void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration took, std::string&& reply) override;

  void openModule(bool cold, Duration since);
  void endTurn();
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

  void enter(RequestId id, const peers::IncomingRequest& req, std::optional<RequestId> repeats);
  void settled(RequestId id, InFlightRequest& req);
  void neverRan(RequestId first);
  void readAnew(RequestId id);
  void firstEnded(RequestId first, DeduplicationCache::End end, const std::string& result);
  void answerFrom(RequestId id, InFlightRequest& req, DeduplicationCache::End end, const std::string& result);
  void say(InFlightRequest& req, InFlightRequest::Said what);
  void ring(std::uint64_t question, const std::vector<double>& values);
  void tell(const Event& event);
  void report();
  void leaveStep();
  Duration sinceOpened() const;
  std::uint64_t chance() const;

  static constexpr Duration gaugesWait = std::chrono::milliseconds(8), reportEvery = std::chrono::seconds(5),
                            endMargin = std::chrono::milliseconds(150),
                            drainBefore = std::chrono::milliseconds(700),
                            endRestingBefore = std::chrono::milliseconds(200),
                            leaveStepEvery = std::chrono::milliseconds(10);

  net::Reactor& reactor_;
  logging::Log& log_;
  ServerConfiguration configured_;  // the place may change by a reload, the facts never do
  const ServerEndpoints& place_ = configured_.endpoints;
  const DeploymentSettings& facts_ = configured_.deployment;
  net::BufferPool pool_;
  peers::RequestListener clients_;
  peers::DownstreamClient servers_;
  peers::ExecutionEngineClient engine_;
  std::unique_ptr<peers::RegistryClient> list_;
  std::unique_ptr<AdmissionPolicy> module_;
  Moment origin_{};  // the start that the module counts from
  RequestTable table_;
  DeduplicationCache marks_;
  std::vector<Event> happened_;
  std::set<RequestId> neverRan_;  // of this turn: repeats that name one of them have no first
  std::uint32_t reqs_ = 0;
  std::uint64_t questions_ = 0;
  struct Ringing {
    TimerId timer{};
    net::Reactor::Timer late;
  };
  std::map<std::uint64_t, Ringing> ringing_;          // timers that wait for their gauges, for a short while
  std::map<std::uint64_t, net::Reactor::Timer> set_;  // a timer leaves when it rings
  std::uint64_t timers_ = 0;
  struct Counts {
    std::uint64_t read = 0, done = 0, shed = 0, errored = 0, left = 0, calls = 0, callsDone = 0;
    Duration unread{};
  } counts_;
  std::uint64_t readBefore_ = 0, doneBefore_ = 0;  // until the counts began anew
  double part_ = 1;                                // of the stated share of calls
  net::Reactor::Timer again_, reporting_, leaving_;
  std::optional<Moment> stopAt_;
  std::optional<Moment> coldSince_;        // the engine's start, where that was a cold one
  std::optional<double> wantingCore_;      // as the engine said last
  bool fresh_ = false, draining_ = false;  // fresh: the module has not been asked yet
};

}  // namespace rainhook::server
