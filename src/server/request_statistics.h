/// @file
/// Counts requests for the log and for the other members of the fleet.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "decision/decision.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "server/request_table.h"

namespace rainhook::server {

/// Numbers of requests in flight by state, for comparison with the gauges of the engine.
struct InFlightCounts {
  std::size_t queued = 0;               ///< Requests in the queue, and duplicates that await their originals.
  std::size_t executing = 0;            ///< Requests that are executing, outside downstream calls.
  std::size_t inDownstreamCalls = 0;    ///< Requests whose downstream call is requested or open.
  std::size_t abandoned = 0;            ///< Requests without a pending response that are still executing.
  std::size_t openDownstreamCalls = 0;  ///< Open downstream calls as counted by DownstreamClient.
  /// Compares member by member.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on defaulted comparisons
  auto operator<=>(const InFlightCounts&) const = default;
};

/// Counts the requests of the table by their state.
InFlightCounts countInFlight(const RequestTable& requests, std::size_t openDownstreamCalls);

/// Counts the events of requests. Logs the counts of each interval in which a request was read, shed or
/// failed. Must be used on the event-loop thread only.
class RequestStatistics {
 public:
  /// The current values that are logged with the counts.
  struct Snapshot {
    InFlightCounts inFlight;                    ///< The requests in flight by state.
    std::optional<double> engineRunnableTasks;  ///< The runnable tasks in the last sample of engine gauges.
    std::size_t openConnections = 0;            ///< The number of open client connections.
  };

  /// The referenced objects must outlive this object.
  RequestStatistics(net::Reactor& reactor, logging::Log& log, std::function<Snapshot()> takeSnapshot);

  /// Starts the periodic report.
  void start();

  /// Counts a request that was read; `readDelay` is the time from its arrival until then.
  void onRequestRead(Duration readDelay);
  /// Counts a request that was answered with a result.
  void onRequestCompleted() { ++interval_.completed; }
  /// Counts a request that the policy shed.
  void onRequestShed() { ++interval_.shed; }
  /// Counts a request that was answered with a failure.
  void onRequestFailed() { ++interval_.failed; }
  /// Counts a request whose client cancelled it or disconnected before the response.
  void onClientDisconnected() { ++interval_.clientsDisconnected; }
  /// Counts an attempt of a downstream call, including retries.
  void onDownstreamCallStarted() { ++interval_.downstreamCalls; }
  /// Counts a downstream call that ended with a reply.
  void onDownstreamCallCompleted() { ++interval_.downstreamCallsCompleted; }

  /// Returns the number of requests read since the start.
  std::uint64_t requestsRead() const { return readEarlier_ + interval_.read; }
  /// Returns the number of requests completed since the start.
  std::uint64_t requestsCompleted() const { return completedEarlier_ + interval_.completed; }

 private:
  struct Counts {
    std::uint64_t read = 0;
    std::uint64_t completed = 0;
    std::uint64_t shed = 0;
    std::uint64_t failed = 0;
    std::uint64_t clientsDisconnected = 0;
    std::uint64_t downstreamCalls = 0;
    std::uint64_t downstreamCallsCompleted = 0;
    Duration readDelay{};
  };

  void report();
  void logCounts(const Counts& counts);

  static constexpr std::chrono::seconds reportInterval{5};

  net::Reactor& reactor_;
  logging::Log& log_;
  std::function<Snapshot()> takeSnapshot_;
  Counts interval_;
  std::uint64_t readEarlier_ = 0;       // requests read before the current interval
  std::uint64_t completedEarlier_ = 0;  // requests completed before the current interval
  net::Reactor::Timer reportTimer_;
};

}  // namespace rainhook::server
