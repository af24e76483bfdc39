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
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

class DownstreamClient {
 public:
  struct Listener {
    virtual ~Listener() = default;
    virtual void onDownstreamCallEnded(RequestId id, Outcome outcome, Duration took, std::string&& reply) = 0;
  };

  // Without an address, as in the last tier, every call is unreachable.
  DownstreamClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& hearer,
                   std::optional<net::Connection::Address> address, std::size_t mostOpen);

  // How it ends comes to the hearer, not from within this call; a call for a req gives up the one before it.
  void call(RequestId id, const std::string& name, Duration limit, std::string_view body);
  void cancel(RequestId id);
  // Calls from now on go there; those under way end where they are.
  void moveTo(std::optional<net::Connection::Address> address) { address_ = std::move(address); }
  std::size_t openCalls() const { return calls_.size(); }

 private:
  struct Call {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::Clock::time_point made;
    net::Reactor::Timer limit;
  };

  std::size_t came(RequestId id, std::string_view bytes);
  void broke(RequestId id, net::CloseReason how, const std::string& why);
  void limitReached(RequestId id);
  void end(RequestId id, Outcome outcome, std::string&& reply);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& hearer_;
  std::optional<net::Connection::Address> address_;
  const std::size_t maxOpenCalls_;
  std::map<RequestId, Call> calls_;  // a call leaves when it ends or is given up
};

}  // namespace rainhook::peers
