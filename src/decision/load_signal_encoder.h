/// @file
/// The load signal that clients are given.
#pragma once

#include <optional>

#include "decision/settings.h"

namespace rainhook {

/// Expresses the severity of the overload as the kind of signal that the deployment uses, and publishes it
/// only when it changes enough to matter.
class LoadSignalEncoder {
 public:
  /// Takes the kind of signal, and the number of clients that share a credit.
  LoadSignalEncoder(const SignalingProfile& signaling, const FleetProfile& fleet);

  /// Returns the value to publish, if any.
  ///
  /// @param isDraining whether a shutdown notice has come
  /// @param severity 0 to 1, as of `OverloadDetector`
  /// @param concurrencyLimit what the clients share where the signal is a credit
  [[nodiscard]] std::optional<double> update(bool isDraining, double severity, double concurrencyLimit);

 private:
  [[nodiscard]] double encode(double openness, double concurrencyLimit) const;

  const LoadSignalKind kind_;
  const int clients_;
  double published_ = -1;
};

}  // namespace rainhook
