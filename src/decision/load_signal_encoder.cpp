#include "decision/load_signal_encoder.h"

#include <algorithm>
#include <cmath>

namespace rainhook {
namespace {

/// Part of the openness that the worst overload takes away; a server that is not draining stays known.
constexpr double overloadPart = 0.95;
/// Smaller changes are not published.
constexpr double minChange = 0.03;
constexpr double minClientCredit = 0.2;
/// Credits given out for each execution that the limit allows, since not all clients use theirs.
constexpr double creditPerExecution = 2;

}  // namespace

LoadSignalEncoder::LoadSignalEncoder(const SignalingProfile& signaling, const FleetProfile& fleet)
    : kind_(signaling.signalKind), clients_(fleet.clients) {}

std::optional<double> LoadSignalEncoder::update(bool isDraining, double severity, double concurrencyLimit) {
  if (kind_ == LoadSignalKind::none) return std::nullopt;
  const double openness = isDraining ? 0 : 1 - overloadPart * severity;
  const double value = encode(openness, concurrencyLimit);
  const bool isSmallChange = std::abs(value - published_) < minChange;
  // The last change of a draining server is published however small.
  if (isSmallChange && (value == published_ || !isDraining)) return std::nullopt;
  published_ = value;
  return value;
}

double LoadSignalEncoder::encode(double openness, double concurrencyLimit) const {
  switch (kind_) {
    case LoadSignalKind::level:
      return 1 - openness;
    case LoadSignalKind::credit:
      return openness * std::max(minClientCredit, creditPerExecution * concurrencyLimit / clients_);
    case LoadSignalKind::none:
    case LoadSignalKind::weight:
      break;
  }
  return openness;
}

}  // namespace rainhook
