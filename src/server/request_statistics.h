/// @file
/// Counts of requests, for the log and for the fleet.
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

/// The requests in flight by their state, to be held against the gauges of the engine.
struct InFlightCounts {
  std::size_t queued = 0;               ///< Or awaiting their originals.
  std::size_t executing = 0;            ///< Outside downstream calls.
  std::size_t inDownstreamCalls = 0;    ///< Wanting a downstream call, or in one.
  std::size_t abandoned = 0;            ///< No response is pending any more, the execution goes on.
  std::size_t openDownstreamCalls = 0;  ///< As the client of the downstream service counts them.
  /// Compares member by member.
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on defaulted comparisons
  auto operator<=>(const InFlightCounts&) const = default;
};

/// Counts the requests of the table by their state.
InFlightCounts countInFlight(const RequestTable& requests, std::size_t openDownstreamCalls);

/// Counts what happens to requests and logs the counts of every interval in which there were any. Used from
/// the event loop's thread only.
class RequestStatistics {
 public:
  /// What is logged beside the counts.
  struct Snapshot {
    InFlightCounts inFlight;                    ///< The requests in flight by state.
    std::optional<double> engineRunnableTasks;  ///< As the engine's gauges said last.
    std::size_t openConnections = 0;            ///< Of clients.
  };

  /// The references must outlive this object.
  RequestStatistics(net::Reactor& reactor, logging::Log& log, std::function<Snapshot()> takeSnapshot);

  /// Starts the periodic report.
  void start();

  void onRequestRead(Duration readDelay);               ///< `readDelay`: for how long it stood unread.
  void onRequestCompleted() { ++interval_.completed; }  ///< Answered with a result.
  void onRequestShed() { ++interval_.shed; }            ///< Rejected by the policy before it was executed.
  void onRequestFailed() { ++interval_.failed; }        ///< Answered with a failure.
  void onClientDisconnected() { ++interval_.clientsDisconnected; }  ///< Before its request was answered.
  void onDownstreamCallStarted() { ++interval_.downstreamCalls; }   ///< Retries included.
  void onDownstreamCallCompleted() { ++interval_.downstreamCallsCompleted; }  ///< With a reply.

  /// Since the start.
  std::uint64_t requestsRead() const { return readBefore_ + interval_.read; }
  /// Since the start.
  std::uint64_t requestsCompleted() const { return completedBefore_ + interval_.completed; }

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
  std::uint64_t readBefore_ = 0;  // until this interval
  std::uint64_t completedBefore_ = 0;
  net::Reactor::Timer reportTimer_;
};

}  // namespace rainhook::server
