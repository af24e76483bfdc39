/// @file
/// The steps of a graceful shutdown, by time.
#pragma once

#include <chrono>
#include <optional>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "peers/request_listener.h"
#include "server/endpoint_registration.h"
#include "server/request_table.h"

namespace rainhook::server {

/// Drains the connections of the clients and stops the event loop once all is answered, at the latest when
/// the timeout ends.
///
/// The policy is told a somewhat shorter time than the timeout. Late in it clients are asked to close their
/// connections and the listener ends; then idle connections are closed from our side. The event loop stops
/// once no connection is left and the registry has acknowledged that the server is out of service. Used from
/// the event loop's thread only.
class GracefulShutdown {
 public:
  /// The references must outlive this object.
  GracefulShutdown(net::Reactor& reactor, logging::Log& log, peers::RequestListener& listener,
                   const EndpointRegistration& registration, const RequestTable& requests)
      : reactor_(reactor), log_(log), listener_(listener), registration_(registration), requests_(requests) {}

  /// From `begin` on.
  bool isInProgress() const { return stopAt_.has_value(); }
  /// Starts the shutdown, once. Returns the time within which the policy has to have all requests answered.
  [[nodiscard]] Duration begin(Duration timeout);

 private:
  void step();
  void stopEventLoop();

  static constexpr Duration stepInterval = std::chrono::milliseconds(10);
  static constexpr Duration policyMargin = std::chrono::milliseconds(150);
  // Before the end of the timeout.
  static constexpr Duration drainConnectionsFrom = std::chrono::milliseconds(700);
  static constexpr Duration closeIdleConnectionsFrom = std::chrono::milliseconds(200);
  static constexpr Duration stopFrom = policyMargin / 2;

  net::Reactor& reactor_;
  logging::Log& log_;
  peers::RequestListener& listener_;
  const EndpointRegistration& registration_;
  const RequestTable& requests_;
  std::optional<Moment> stopAt_;
  bool isDraining_ = false;
  net::Reactor::Timer stepTimer_;
};

}  // namespace rainhook::server
