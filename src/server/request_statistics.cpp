#include "server/request_statistics.h"

#include <algorithm>
#include <utility>

namespace rainhook::server {

InFlightCounts countInFlight(const RequestTable& requests, std::size_t openDownstreamCalls) {
  InFlightCounts counts;
  for (const auto& [id, request] : requests.all()) {
    if (!request.hasOpenExecution())
      ++counts.queued;
    else if (request.state == RequestState::executing)
      ++counts.executing;
    else
      ++counts.inDownstreamCalls;
    if (!request.isResponsePending) ++counts.abandoned;
  }
  counts.openDownstreamCalls = openDownstreamCalls;
  return counts;
}

RequestStatistics::RequestStatistics(net::Reactor& reactor, logging::Log& log,
                                     std::function<Snapshot()> takeSnapshot)
    : reactor_(reactor), log_(log), takeSnapshot_(std::move(takeSnapshot)) {}

void RequestStatistics::start() { report(); }

void RequestStatistics::onRequestRead(Duration readDelay) {
  ++interval_.read;
  interval_.readDelay += readDelay;
}

void RequestStatistics::report() {
  reportTimer_ = reactor_.after(reportInterval, [this] { report(); });
  readEarlier_ += interval_.read;
  completedEarlier_ += interval_.completed;
  const Counts counts = std::exchange(interval_, {});
  if (counts.read + counts.shed + counts.failed > 0) logCounts(counts);
}

void RequestStatistics::logCounts(const Counts& counts) {
  constexpr double unknown = -1;
  const Snapshot now = takeSnapshot_();
  const auto totalDelayMs = std::chrono::duration_cast<std::chrono::milliseconds>(counts.readDelay).count();
  const auto meanDelayMs = totalDelayMs / static_cast<std::int64_t>(std::max<std::uint64_t>(counts.read, 1));
  log_.message(
      logging::LogCategory::start,
      "statistics of the last {} s: requests read {} (mean read delay {} ms), completed {}, shed {}, "
      "failed {}, cancelled or disconnected by the client {}; downstream calls started {}, completed {}; "
      "requests in flight now: queued {}, executing {} (runnable tasks at the engine {:.0f}), "
      "in downstream calls {}, abandoned {}; open client connections {}",
      reportInterval.count(), counts.read, meanDelayMs, counts.completed, counts.shed, counts.failed,
      counts.clientsDisconnected, counts.downstreamCalls, counts.downstreamCallsCompleted,
      now.inFlight.queued, now.inFlight.executing, now.engineRunnableTasks.value_or(unknown),
      now.inFlight.inDownstreamCalls, now.inFlight.abandoned, now.openConnections);
}

}  // namespace rainhook::server
