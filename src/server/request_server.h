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

#include "decision/decision.h"
#include "configuration/server_configuration.h"
#include "peers/request_listener.h"
#include "peers/execution_engine_client.h"
#include "peers/registry_client.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "peers/downstream_client.h"
#include "server/request_table.h"

namespace rainhook::server {

class Server final : net::Clients::Hearer, net::Engine::Hearer, net::Servers::Hearer {
 public:
  Server(net::Reactor& reactor, net::Log& log, Configured configured);
  ~Server() override;

  // Binds its address; throws Poco::Exception where that can't be had.
  void open();
  Poco::Net::SocketAddress address() const { return clients_.address(); }
  // A new configuration: peers that moved are reached where they are now, all in hand goes on.
  void reload(const Configured& offered);
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
  std::uint64_t looks() const { return clients_.looks(); }
  // The notice to leave; the reactor stops once all is answered.
  void leave();

 private:
  std::variant<ReqId, std::string_view> reqCame(net::ArrivedReq&& req) override;
  void callerLeft(ReqId id) override;
  void engineUp(bool cold, Span since) override;
  void caughtUp() override;
  void runEnded(const std::string& name, Outcome outcome, Span took, std::string&& result) override;
  void callWanted(const std::string& name, std::uint64_t notice, std::string&& body) override;
  void gauges(std::uint64_t question, const std::vector<double>& values) override;
  void commandRefused(const std::string& name, const std::string& command) override;
  void callEnded(ReqId id, Outcome outcome, Span took, std::string&& reply) override;

  void openModule(bool cold, Span since);
  void endTurn();
  void perform(const Start& action);
  void perform(const Shed& action);
  void perform(const Fail& action);
  void perform(const Stop& action);
  void perform(const Call& action);
  void perform(const SkipCall& action);
  void perform(const Keep& action);
  void perform(const Forget& action);
  void perform(const AnswerFromFirst& action);
  void perform(const SayHealth& action);
  void perform(const SaySignal& action);
  void perform(const CloseIdleAfter& action);
  void perform(const SetTimer& action);
  void perform(const Note& action);

  void enter(ReqId id, const net::ArrivedReq& req, std::optional<ReqId> repeats);
  void settled(ReqId id, InHand& req);
  void neverRan(ReqId first);
  void readAnew(ReqId id);
  void firstEnded(ReqId first, Marks::End end, const std::string& result);
  void answerFrom(ReqId id, InHand& req, Marks::End end, const std::string& result);
  void say(InHand& req, InHand::Said what);
  void ring(std::uint64_t question, const std::vector<double>& values);
  void tell(const Event& event);
  void report();
  void leaveStep();
  Span sinceOpened() const;
  std::uint64_t chance() const;

  static constexpr Span gaugesWait = std::chrono::milliseconds(8), reportEvery = std::chrono::seconds(5),
                        endMargin = std::chrono::milliseconds(150),
                        drainBefore = std::chrono::milliseconds(700),
                        endRestingBefore = std::chrono::milliseconds(200),
                        leaveStepEvery = std::chrono::milliseconds(10);

  net::Reactor& reactor_;
  net::Log& log_;
  Configured configured_;  // the place may change by a reload, the facts never do
  const Place& place_ = configured_.place;
  const Facts& facts_ = configured_.facts;
  net::BufferPool pool_;
  net::Clients clients_;
  net::Servers servers_;
  net::Engine engine_;
  std::unique_ptr<net::List> list_;
  std::unique_ptr<Decision> module_;
  Moment origin_{};  // the start that the module counts from
  Table table_;
  Marks marks_;
  std::vector<Event> happened_;
  std::set<ReqId> neverRan_;  // of this turn: repeats that name one of them have no first
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
    Span unread{};
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
