#include "failover/gray_failure_detector.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace rainhook::failover {
namespace {

/// A zone is slow if its service time exceeds the median of the others by more than this factor.
constexpr double slowFactor = 3;
/// A zone is healthy if its service time is below this multiple of the median. Between the two factors it is
/// neither slow nor healthy.
constexpr double healthyFactor = slowFactor / 2;
/// Number of step intervals for which a zone must be slow before it counts as a gray failure.
constexpr int slowStepsToFailure = 3;

using ServiceTimes = std::map<ZoneName, double>;

/// Returns the service time in seconds of each zone that has work and recent data.
ServiceTimes measureServiceTimes(const FailoverSettings& settings, const FleetObservation& observation) {
  ServiceTimes times;
  for (const auto& [zone, observed] : observation.zones) {
    const bool hasWork = observed.liveMembers > 0 && observed.completionRate > 0 && observed.executing > 0;
    if (settings.zones.contains(zone) && hasWork && observed.dataAge < settings.maxDataAge)
      times[zone] = observed.executing / observed.completionRate;
  }
  return times;
}

/// Returns the median of all service times except the zone's own, or nothing if there are no others. The
/// median of an even number of values is the upper one.
std::optional<double> medianOfOthers(const ServiceTimes& times, const ZoneName& zone) {
  std::vector<double> others;
  for (const auto& [other, time] : times)
    if (other != zone) others.push_back(time);
  if (others.empty()) return std::nullopt;
  const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle;
}

/// Stores the time at which a condition became true and clears it when the condition becomes false.
void trackSince(std::optional<Duration>& since, bool holds, Duration now) {
  if (!holds)
    since.reset();
  else if (!since)
    since = now;
}

}  // namespace

std::set<ZoneName> GrayFailureDetector::update(Duration now, const FailoverSettings& settings,
                                               const FleetObservation& observation) {
  const ServiceTimes times = measureServiceTimes(settings, observation);
  std::set<ZoneName> grayFailures;
  for (const auto& [zone, region] : settings.zones) {
    const auto own = times.find(zone);
    const std::optional<double> median = medianOfOthers(times, zone);
    const bool isComparable = own != times.end() && median;
    const bool isSlow = isComparable && own->second > slowFactor * *median;
    const bool isHealthy = !isComparable || own->second < healthyFactor * *median;
    ZoneHistory& history = histories_[zone];
    trackSince(history.slowSince, isSlow, now);
    trackSince(history.healthySince, isHealthy, now);
    if (isSlow && now - *history.slowSince >= slowStepsToFailure * settings.stepInterval)
      grayFailures.insert(zone);
  }
  return grayFailures;
}

std::optional<Duration> GrayFailureDetector::healthySince(const ZoneName& zone) const {
  const auto found = histories_.find(zone);
  return found == histories_.end() ? std::nullopt : found->second.healthySince;
}

}  // namespace rainhook::failover
