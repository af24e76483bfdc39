/// @file
/// Divides the concurrency limit of a server among work pools, so that the pools that earn the most weight
/// get most of the cores and every pool keeps its reserve. docs/pools.md explains the method.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "decision/decision.h"
#include "pools/pool_limiter.h"
#include "pools/pool_settings.h"
#include "pools/pool_statistics.h"

namespace rainhook::pools {

/// Calculates the limits of all pools from a total limit that the caller passes in. The calculation is
/// deterministic: it depends only on events and times and uses no clock, I/O or randomness.
///
/// Invariants:
/// - The pools' limits add up to at most the total, and to all of it while enough requests are queued.
/// - `limit` never falls below the pool's reserve. A fraction of an execution is granted as one
///   execution for part of the time.
/// - A pool lends the part of its limit that it does not use. It regains that part when the borrower's
///   executions end, because no further requests of the borrower start.
///
/// Each pool has a constant size; no data grows with the number of requests. Not thread-safe.
class WorkPools {
 public:
  /// Creates one pool for each entry; the index of the entry is the `PoolId`.
  explicit WorkPools(std::span<const PoolSettings> settings);

  /// Counts a request in the arrival rate of the pool.
  void onRequestArrived(PoolId pool) { at(pool).statistics.onRequestArrived(); }
  /// Records an execution of the pool; its latency counts only if the execution earned weight.
  void onExecutionEnded(PoolId pool, const ExecutionReport& report);

  /// Returns how many requests of each pool may execute at `now`, out of `total` on the whole server. Call it
  /// before executions start, with the loads at that moment. The result has one entry for each pool and is
  /// valid until the next call.
  [[nodiscard]] std::span<const int> concurrencyLimits(Duration now, double total,
                                                       std::span<const PoolLoad> loads);

  /// The pool's share of the total, in executions including fractions. The whole limits that
  /// `concurrencyLimits` returns differ from it by rounding and lending.
  [[nodiscard]] double limit(PoolId pool) const { return at(pool).limit; }
  /// The recent weight of the pool for each core second, by which the total is divided.
  [[nodiscard]] double weightPerCoreSecond(PoolId pool) const {
    return at(pool).statistics.weightPerCoreSecond();
  }
  /// The number of pools.
  [[nodiscard]] std::size_t size() const { return pools_.size(); }

 private:
  struct Pool {
    PoolStatistics statistics;
    double reservedRatio = 0;
    PoolLimiter limiter;
    double limit = 0;           ///< in executions, including fractions
    double roundingCredit = 0;  ///< executions, -1 to 1, that the pool lost to rounding; negative: gained
  };

  [[nodiscard]] Pool& at(PoolId pool) { return pools_[static_cast<std::size_t>(pool)]; }
  [[nodiscard]] const Pool& at(PoolId pool) const { return pools_[static_cast<std::size_t>(pool)]; }

  void divideEqually(double total);
  void followDemand(double total, std::span<const PoolLoad> loads);
  void fitToTotal(double total);
  double clampLimits(double total);
  [[nodiscard]] std::vector<std::size_t> poolsByWeightPerCoreSecond() const;
  [[nodiscard]] int grantWholeLimits(double total, std::span<const PoolLoad> loads);
  void grantRemainder(int remainder, std::span<const PoolLoad> loads);
  [[nodiscard]] std::optional<std::size_t> poolWithLargestShortfall(std::span<const PoolLoad> loads) const;
  void updateCredits(double elapsedSeconds, std::span<const PoolLoad> loads);
  [[nodiscard]] bool needsMore(std::size_t pool, std::span<const PoolLoad> loads) const;

  std::vector<Pool> pools_;
  /// The whole limits that `concurrencyLimits` returns.
  std::vector<int> limits_;
  Duration now_{};
  Duration nextAdjustment_{};
  bool isStarted_ = false;
};

}  // namespace rainhook::pools
