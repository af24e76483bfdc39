/// @file
/// Encodes the load signal that clients receive.
#pragma once

#include <optional>

#include "decision/settings.h"

namespace rainhook {

/// Converts the severity of an overload into the kind of signal that the deployment uses, and returns it only
/// if it has changed enough to be published.
class LoadSignalEncoder {
 public:
  /// Uses the kind of signal of `signaling`; a credit is divided among the clients of `fleet`.
  LoadSignalEncoder(const SignalingProfile& signaling, const FleetProfile& fleet);

  /// Returns the value to publish, if any.
  ///
  /// @param isDraining whether a shutdown notice was received
  /// @param severity the severity that `OverloadDetector` reports, 0 to 1
  /// @param concurrencyLimit the limit that a credit divides among the clients
  [[nodiscard]] std::optional<double> update(bool isDraining, double severity, double concurrencyLimit);

 private:
  [[nodiscard]] double encode(double availability, double concurrencyLimit) const;

  const LoadSignalKind kind_;
  const int clients_;
  double published_ = -1;
};

}  // namespace rainhook
