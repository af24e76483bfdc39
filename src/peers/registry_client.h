// The list of servers: says there again and again that this one takes work, or that it does not. Each report
// has a connection of its own, so one that is never answered, or late, holds up none of the next. The
// protocol's names end in list.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

class RegistryClient {
 public:
  // `chance` spreads its reports, so that servers that started together, or lost the list together, do not
  // report in step.
  RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                 const net::Connection::Address& address, std::string name, std::uint64_t chance);

  void setInService(bool does);  // reported at once, and from then on
  void setAddress(const net::Connection::Address& address);
  // Whether what was said last has counted.
  bool isAcknowledged() const { return heard_; }

 private:
  void startOver();
  void report();
  net::Reactor::Wait spread(net::Reactor::Wait wait);
  void settle(std::uint64_t number, bool counted, const std::string& why);

  static constexpr net::Reactor::Wait every = std::chrono::milliseconds(800),
                                      again = std::chrono::milliseconds(250),
                                      patience = std::chrono::milliseconds(2500);
  // Open at once: a list that takes connections and answers none is not to use up the descriptors that are
  // set aside. At the ordinary pace there are never more.
  static constexpr std::size_t mostOpen = 5;
  struct Report {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::Timer patience;
  };

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  net::Connection::Address address_;
  const std::string name_;
  bool does_ = true, reached_ = true, heard_ = false;
  std::map<std::uint64_t, Report> reports_;  // a report leaves when it is answered, breaks or is given up
  std::uint64_t numbered_ = 0;
  pcg32 chance_;
  net::Reactor::Clock::time_point changedAt_{};
  net::Reactor::Timer next_;
};

}  // namespace rainhook::peers
