#include "server/graceful_shutdown.h"

#include <algorithm>

namespace rainhook::server {

Duration GracefulShutdown::begin(Duration timeout) {
  stopAt_ = net::Reactor::Clock::now() + timeout;
  log_.message(logging::LogCategory::drain, "graceful shutdown within {} ms, {} requests in flight",
               std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count(), requests_.size());
  // The first step comes once the policy has been notified.
  stepTimer_ = reactor_.after(stepInterval, [this] { step(); });
  return std::max(timeout - policyMargin, Duration::zero());
}

void GracefulShutdown::step() {
  stepTimer_ = reactor_.after(stepInterval, [this] { step(); });
  const Duration remaining = *stopAt_ - net::Reactor::Clock::now();
  if (remaining <= drainConnectionsFrom && !isDraining_) {
    isDraining_ = true;
    listener_.startDraining();
  }
  const bool isListening = !isDraining_ || !listener_.stopListening();
  // By now the policy has given up all requests; only clients that do not close their connections remain.
  const bool isNearEnd = remaining <= closeIdleConnectionsFrom;
  if (isNearEnd) listener_.closeIdleConnections();
  // While there is time, the registry has to know first.
  const bool isRegistryInformed = registration_.isAcknowledged() || isNearEnd;
  const bool isDrained = !isListening && listener_.openConnections() == 0 && isRegistryInformed;
  if (isDrained || remaining <= stopFrom) stopEventLoop();
}

void GracefulShutdown::stopEventLoop() {
  log_.message(logging::LogCategory::drain, "shutdown complete with {} requests in flight, {} connections",
               requests_.size(), listener_.openConnections());
  reactor_.stop();
}

}  // namespace rainhook::server
