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

/// Sends reports periodically, and immediately after a change. Each report uses a separate connection, so
/// that a late or missing response does not delay the next report. Must be used on the event-loop thread
/// only. The reactor, the pool and the log must outlive this object.
class RegistryClient {
 public:
  /// `serverName` identifies this server in the registry. `jitterSeed` determines the jitter between reports,
  /// so that servers that started or lost the registry at the same time do not report at the same time.
  RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                 const net::Connection::Address& address, std::string serverName, std::uint64_t jitterSeed);

  /// Sets whether the server is in service. Reports this immediately if it changed or was never reported, and
  /// then periodically.
  void setInService(bool isInService);
  /// Sets the address of the registry. If it changed, reports to the new address immediately.
  void setAddress(const net::Connection::Address& address);
  /// Returns whether the registry has accepted a report since the last change.
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
  /// @param failure the reason why the report was not accepted; none if it was accepted.
  void finishReport(std::uint64_t number, const std::optional<std::string>& failure);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  net::Connection::Address address_;
  const std::string serverName_;
  bool isInService_ = true;
  /// Whether the last report that ended was accepted.
  bool wasLastReportAccepted_ = true;
  bool isAcknowledged_ = false;
  /// The open reports by number. A report is removed when it is answered, fails or times out.
  std::map<std::uint64_t, Report> openReports_;
  std::uint64_t lastReportNumber_ = 0;
  pcg32 randomSource_;
  net::Reactor::Clock::time_point changedAt_{};
  net::Reactor::Timer nextReportTimer_;
};

}  // namespace rainhook::peers
