// The next tier: calls over HTTP, each on a connection of its own that is closed with it. A kept connection
// may bring late bytes of the reply before, or have been forgotten by the peer while idle, which can't be
// told from a call that ran; a new one can't. The protocol's names end in servers.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "decision/decision.h"
#include "net/connection.h"
#include "logging/log.h"
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
  // Calls from now on go there; those under way end where they are.
  void moveTo(std::optional<Connection::Address> address) { address_ = std::move(address); }
  std::size_t open() const { return calls_.size(); }

 private:
  struct Call {
    std::shared_ptr<Connection> connection;
    Reactor::Clock::time_point made;
    Reactor::Timer limit;
  };

  std::size_t came(ReqId id, std::string_view bytes);
  void broke(ReqId id, Ending how, const std::string& why);
  void limitReached(ReqId id);
  void end(ReqId id, Outcome outcome, std::string&& reply);

  Reactor& reactor_;
  BufferPool& pool_;
  Log& log_;
  Hearer& hearer_;
  std::optional<Connection::Address> address_;
  const std::size_t mostOpen_;
  std::map<ReqId, Call> calls_;  // a call leaves when it ends or is given up
};

}  // namespace rainhook::net
