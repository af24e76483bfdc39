// The engine: the agent that owns the cores and does the runs, over one link of JSON lines that is made again
// whenever it breaks. Notices are taken once each, by their numbers. The protocol's names end in engine.cpp.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "net/connection.h"
#include "codec/json_lines.h"
#include "logging/log.h"
#include "net/reactor.h"

namespace rainhook::net {

class Engine {
 public:
  struct Hearer {
    virtual ~Hearer() = default;
    virtual void engineUp(bool cold, Span since) = 0;
    // After each engineUp: every notice that had been missed has been taken.
    virtual void caughtUp() = 0;
    virtual void runEnded(const std::string& name, Outcome outcome, Span took, std::string&& result) = 0;
    virtual void callWanted(const std::string& name, std::uint64_t notice, std::string&& body) = 0;
    virtual void gauges(std::uint64_t question, const std::vector<double>& values) = 0;
    // A command for this req was not carried out: the engine knows no such req, or does not allow it.
    virtual void commandRefused(const std::string& name, const std::string& command) = 0;
  };

  Engine(Reactor& reactor, BufferPool& pool, Log& log, Hearer& hearer, const Connection::Address& address);

  void connect();
  // The engine is reached elsewhere from now on; its runs and notices go on.
  void moveTo(const Connection::Address& address);
  // False where there is no link to say it on.
  bool launch(const std::string& name, const std::string& handler, std::string_view body);
  bool deliver(const std::string& name, std::string_view reply);
  bool forgo(const std::string& name, std::uint64_t notice);
  void ask(std::uint64_t question);
  // Greeted, and no question has gone unanswered for a second: a hung engine keeps its link.
  bool works() const {
    return greeted_ && !(waitingSince_ && Reactor::Clock::now() - *waitingSince_ > std::chrono::seconds(1));
  }
  // Whether what was said then may never have been read: it went to a link that is gone, and no question that
  // was asked later has been answered.
  bool mayBeLost(Reactor::Clock::time_point said) const { return said < linkedAt_ && said >= readUntil_; }

 private:
  void came(const nlohmann::json& line);
  bool fresh(const nlohmann::json& line);
  bool say(const nlohmann::json& line);
  void lost(const std::string& why);
  void breakOff(const std::string& why);
  bool stillSilent(const std::function<bool()>& silent);

  static constexpr Reactor::Wait again = std::chrono::milliseconds(50),
                                 answersWithin = std::chrono::seconds(3);
  static constexpr std::size_t mostWaiting = 1 << 20;

  Reactor& reactor_;
  BufferPool& pool_;
  Log& log_;
  Hearer& hearer_;
  Connection::Address address_;
  std::shared_ptr<Connection> connection_;
  bool greeted_ = false, catchingUp_ = false, lostSaid_ = false;
  std::uint64_t lastNotice_ = 0, asked_ = 0;
  Reactor::Clock::time_point askedAt_{}, readUntil_{}, linkedAt_{};
  std::optional<Reactor::Clock::time_point> waitingSince_;  // of the first question since it last spoke
  Reactor::Timer retry_, greetingDue_;
};

}  // namespace rainhook::net
