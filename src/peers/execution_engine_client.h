// The engine: the agent that owns the cores and does the runs, over one link of JSON lines that is made again
// whenever it breaks. Notices are taken once each, by their numbers. The protocol's names end in engine.cpp.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "codec/json_lines.h"
#include "decision/decision.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

class ExecutionEngineClient {
 public:
  struct Listener {
    virtual ~Listener() = default;
    virtual void onEngineConnected(bool cold, Duration since) = 0;
    // After each engineUp: every notice that had been missed has been taken.
    virtual void onNotificationsCaughtUp() = 0;
    virtual void onExecutionEnded(const std::string& name, Outcome outcome, Duration took,
                                  std::string&& result) = 0;
    virtual void onDownstreamCallRequested(const std::string& name, std::uint64_t notice,
                                           std::string&& body) = 0;
    virtual void onGauges(std::uint64_t question, const std::vector<double>& values) = 0;
    // A command for this req was not carried out: the engine knows no such req, or does not allow it.
    virtual void onCommandRejected(const std::string& name, const std::string& command) = 0;
  };

  ExecutionEngineClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& hearer,
                        const net::Connection::Address& address);

  void connect();
  // The engine is reached elsewhere from now on; its runs and notices go on.
  void setAddress(const net::Connection::Address& address);
  // False where there is no link to say it on.
  bool startExecution(const std::string& name, const std::string& handler, std::string_view body);
  bool deliverReply(const std::string& name, std::string_view reply);
  bool continueWithoutReply(const std::string& name, std::uint64_t notice);
  void requestGauges(std::uint64_t question);
  // Greeted, and no question has gone unanswered for a second: a hung engine keeps its link.
  bool isResponsive() const {
    return greeted_ &&
           !(waitingSince_ && net::Reactor::Clock::now() - *waitingSince_ > std::chrono::seconds(1));
  }
  // Whether what was said then may never have been read: it went to a link that is gone, and no question that
  // was asked later has been answered.
  bool mayBeLost(net::Reactor::Clock::time_point said) const {
    return said < linkedAt_ && said >= readUntil_;
  }

 private:
  void came(const nlohmann::json& line);
  bool fresh(const nlohmann::json& line);
  bool say(const nlohmann::json& line);
  void lost(const std::string& why);
  void breakOff(const std::string& why);
  bool stillSilent(const std::function<bool()>& silent);

  static constexpr net::Reactor::Wait again = std::chrono::milliseconds(50),
                                      answersWithin = std::chrono::seconds(3);
  static constexpr std::size_t mostWaiting = 1 << 20;

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& hearer_;
  net::Connection::Address address_;
  std::shared_ptr<net::Connection> connection_;
  bool greeted_ = false, catchingUp_ = false, lostSaid_ = false;
  std::uint64_t lastNotice_ = 0, asked_ = 0;
  net::Reactor::Clock::time_point askedAt_{}, readUntil_{}, linkedAt_{};
  std::optional<net::Reactor::Clock::time_point> waitingSince_;  // of the first question since it last spoke
  net::Reactor::Timer retry_, greetingDue_;
};

}  // namespace rainhook::peers
