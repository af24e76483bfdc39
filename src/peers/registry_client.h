/// @file
/// Reports to the endpoint registry whether this server is in service.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

/// Reports periodically, and at once on a change. Each report has a connection of its own, so one that is
/// answered late, or never, delays none of the next. Used on the reactor's thread only; the reactor, the pool
/// and the log must outlive it.
class RegistryClient {
 public:
  /// The registry knows this server by `serverName`. `randomSeed` is for the jitter between reports, so that
  /// servers that started together, or lost the registry together, do not report in step.
  RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                 const net::Connection::Address& address, std::string serverName, std::uint64_t randomSeed);

  /// Reported at once where it is news, and periodically from then on.
  void setInService(bool isInService);
  /// Reported there at once, and from then on.
  void setAddress(const net::Connection::Address& address);
  /// Whether the registry has accepted a report since the last change.
  [[nodiscard]] bool isAcknowledged() const { return isAcknowledged_; }

 private:
  struct Report {
    std::shared_ptr<net::Connection> connection;
    net::Reactor::Timer timeoutTimer;
  };

  void restart();
  void sendReport();
  net::ConnectionCallbacks callbacksFor(std::uint64_t number);
  net::Reactor::Wait jittered(net::Reactor::Wait wait);
  /// @param failure why the report was not accepted; none where it was.
  void finishReport(std::uint64_t number, const std::optional<std::string>& failure);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  net::Connection::Address address_;
  const std::string serverName_;
  bool isInService_ = true;
  /// Whether the last report that ended was accepted.
  bool isReachable_ = true;
  bool isAcknowledged_ = false;
  /// By number. A report leaves when it is answered, fails or times out.
  std::map<std::uint64_t, Report> openReports_;
  std::uint64_t lastReportNumber_ = 0;
  pcg32 randomSource_;
  net::Reactor::Clock::time_point changedAt_{};
  net::Reactor::Timer nextReportTimer_;
};

}  // namespace rainhook::peers
