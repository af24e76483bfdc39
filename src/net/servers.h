// The next tier: calls over kept HTTP connections, one at a time on each. A call is given up by closing its
// connection. The protocol's names end in servers.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "net/connection.h"
#include "net/log.h"
#include "net/reactor.h"

namespace rainhook::net {

class Servers {
 public:
  struct Hearer {
    virtual ~Hearer() = default;
    virtual void callEnded(ReqId id, Outcome outcome, Span took, std::string&& reply) = 0;
  };

  // Without an address, as in the last tier, every call is unreachable.
  Servers(Reactor& reactor, BufferPool& pool, Log& log, Hearer& hearer,
          std::optional<Connection::Address> address, std::size_t mostOpen);

  // How it ends comes to the hearer, not from within this call; a call for a req gives up the one before it.
  void call(ReqId id, const std::string& name, Span limit, std::string_view body);
  void giveUp(ReqId id);
  std::size_t open() const { return calls_.size() + idle_.size(); }

 private:
  struct Call {
    std::shared_ptr<Connection> connection;
    Reactor::Clock::time_point made;
    Reactor::Timer limit;
  };
  struct Idle {
    std::shared_ptr<Connection> connection;
    Reactor::Clock::time_point since;
  };

  Callbacks callbacks(ReqId id);
  std::size_t came(ReqId id, std::string_view bytes);
  void broke(ReqId id, Ending how, const std::string& why);
  void end(ReqId id, Outcome outcome, std::string&& reply);
  void keep(std::shared_ptr<Connection> connection);
  void sweep();

  static constexpr Span idleFor = std::chrono::seconds(5), sweepEvery = std::chrono::seconds(1);

  Reactor& reactor_;
  BufferPool& pool_;
  Log& log_;
  Hearer& hearer_;
  const std::optional<Connection::Address> address_;
  const std::size_t mostOpen_;
  std::map<ReqId, Call> calls_;  // a call leaves when it ends or is given up
  std::vector<Idle> idle_;       // swept by time, used newest first
  Reactor::Timer sweeping_;
};

}  // namespace rainhook::net
