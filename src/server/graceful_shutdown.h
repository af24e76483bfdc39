/// @file
/// The sequence of steps of a graceful shutdown.
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

/// Drains the client connections and stops the event loop after all requests have been answered, at the
/// latest when the timeout expires.
///
/// The policy receives a slightly shorter time than the timeout. Near the end of the timeout the clients are
/// asked to close their connections and the listening socket is closed; after that, the server closes idle
/// connections itself. The event loop stops when no connection is open and the registry has acknowledged that
/// the server is out of service. Must be used on the event-loop thread only.
class GracefulShutdown {
 public:
  /// The referenced objects must outlive this object.
  GracefulShutdown(net::Reactor& reactor, logging::Log& log, peers::RequestListener& listener,
                   const EndpointRegistration& registration, const RequestTable& requests)
      : reactor_(reactor), log_(log), listener_(listener), registration_(registration), requests_(requests) {}

  /// Returns whether `begin` has been called.
  bool isInProgress() const { return stopAt_.has_value(); }
  /// Starts the shutdown; must be called only once. Returns the time within which the policy must have
  /// answered all requests.
  [[nodiscard]] Duration begin(Duration timeout);

 private:
  void step();
  void stopEventLoop();

  static constexpr Duration stepInterval = std::chrono::milliseconds(10);
  static constexpr Duration policyMargin = std::chrono::milliseconds(150);
  // Each step starts when no more than this time remains until the timeout expires.
  static constexpr Duration drainThreshold = std::chrono::milliseconds(700);
  static constexpr Duration closeIdleThreshold = std::chrono::milliseconds(200);
  static constexpr Duration stopThreshold = policyMargin / 2;

  net::Reactor& reactor_;
  logging::Log& log_;
  peers::RequestListener& listener_;
  const EndpointRegistration& registration_;
  const RequestTable& requests_;
  std::optional<TimePoint> stopAt_;
  bool isDraining_ = false;
  net::Reactor::Timer stepTimer_;
};

}  // namespace rainhook::server
