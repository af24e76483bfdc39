#include "server/graceful_shutdown.h"

#include <algorithm>

namespace rainhook::server {

Duration GracefulShutdown::begin(Duration timeout) {
  stopAt_ = net::Reactor::Clock::now() + timeout;
  log_.message(logging::LogCategory::drain, "graceful shutdown started: timeout {} ms, {} requests in flight",
               std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count(), requests_.size());
  // Delays the first step until the policy has been notified.
  stepTimer_ = reactor_.after(stepInterval, [this] { step(); });
  return std::max(timeout - policyMargin, Duration::zero());
}

void GracefulShutdown::step() {
  stepTimer_ = reactor_.after(stepInterval, [this] { step(); });
  const Duration remaining = *stopAt_ - net::Reactor::Clock::now();
  if (remaining <= drainThreshold && !isDraining_) {
    isDraining_ = true;
    listener_.startDraining();
  }
  const bool isListening = !isDraining_ || !listener_.stopListening();
  // The policy has answered the requests by now, or is about to. The idle connections that remain belong to
  // clients that have not closed them although they were asked to.
  const bool isNearEnd = remaining <= closeIdleThreshold;
  if (isNearEnd) listener_.closeIdleConnections();
  // The server waits for the registry's acknowledgement unless the timeout is about to expire.
  const bool isRegistryInformed = registration_.isAcknowledged() || isNearEnd;
  const bool isDrained = !isListening && listener_.openConnections() == 0 && isRegistryInformed;
  if (isDrained || remaining <= stopThreshold) stopEventLoop();
}

void GracefulShutdown::stopEventLoop() {
  log_.message(logging::LogCategory::drain,
               "graceful shutdown complete: {} requests in flight, {} client connections open",
               requests_.size(), listener_.openConnections());
  reactor_.stop();
}

}  // namespace rainhook::server
