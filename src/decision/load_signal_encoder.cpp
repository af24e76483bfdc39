#include "decision/load_signal_encoder.h"

#include <algorithm>
#include <cmath>

namespace rainhook {
namespace {

/// Reduction of the availability at the highest severity. It is below 1, so that a server that is not
/// draining is never signalled as unavailable.
constexpr double maxOverloadReduction = 0.95;
/// Smaller changes are not published.
constexpr double minChange = 0.03;
/// The smallest credit of a client while the availability is 1.
constexpr double minClientCredit = 0.2;
/// Credits for each execution that the limit allows; more than one, since not all clients use their credit.
constexpr double creditPerExecution = 2;

}  // namespace

LoadSignalEncoder::LoadSignalEncoder(const SignalingProfile& signaling, const FleetProfile& fleet)
    : kind_(signaling.signalKind), clients_(fleet.clients) {}

std::optional<double> LoadSignalEncoder::update(bool isDraining, double severity, double concurrencyLimit) {
  if (kind_ == LoadSignalKind::none) return std::nullopt;
  const double availability = isDraining ? 0 : 1 - maxOverloadReduction * severity;
  const double value = encode(availability, concurrencyLimit);
  const bool isSmallChange = std::abs(value - published_) < minChange;
  // A draining server publishes every change, however small.
  if (isSmallChange && (value == published_ || !isDraining)) return std::nullopt;
  published_ = value;
  return value;
}

double LoadSignalEncoder::encode(double availability, double concurrencyLimit) const {
  switch (kind_) {
    case LoadSignalKind::level:
      return 1 - availability;
    case LoadSignalKind::credit:
      return availability * std::max(minClientCredit, creditPerExecution * concurrencyLimit / clients_);
    case LoadSignalKind::none:
    case LoadSignalKind::weight:
      break;
  }
  return availability;
}

}  // namespace rainhook
