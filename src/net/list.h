// The list of servers: says there again and again that this one takes work, or that it does not. A list that
// can't be reached is tried again. The protocol's names end in list.cpp.
#pragma once

#include <memory>
#include <string>

#include "net/connection.h"
#include "net/log.h"
#include "net/reactor.h"

namespace rainhook::net {

class List {
 public:
  List(Reactor& reactor, BufferPool& pool, Log& log, const Connection::Address& address, std::string name);

  void takesWork(bool does);  // reported at once, and from then on
  void moveTo(const Connection::Address& address);

 private:
  void report();
  void startOver();
  void settle(bool counted, const std::string& why);

  static constexpr Reactor::Wait every = std::chrono::milliseconds(800), patience = std::chrono::seconds(1),
                                 again = std::chrono::milliseconds(250);
  Reactor& reactor_;
  BufferPool& pool_;
  Log& log_;
  Connection::Address address_;
  const std::string name_;
  bool does_ = true, asked_ = false, reached_ = true;
  std::shared_ptr<Connection> connection_;
  Reactor::Timer next_;  // the next report, or the end of the patience with this one
};

}  // namespace rainhook::net
