/// @file
/// Divides a server's concurrency limit among work pools, so that cores go where they earn most weight and
/// every pool keeps its reserve. docs/pools.md explains the method.
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

/// The limits of all pools under one total, which they don't set themselves. Deterministic: events and the
/// time go in, limits come out; no clock, I/O or randomness.
///
/// Invariants:
/// - The pools' limits sum up to the total at most, and to all of it while enough requests are queued.
/// - A pool with requests never gets less than its reserve.
/// - A pool lends what it does not use. It has it back once the borrower's executions end, because none of
/// the
///   borrower's requests is started any more.
///
/// Constant size for each pool; nothing grows with the requests. Not thread-safe.
class WorkPools {
 public:
  /// Makes one pool for each entry; a PoolId is its index.
  explicit WorkPools(std::span<const PoolSettings> settings);

  /// Counts a request for the pool's arrival rate.
  void onRequestArrived(PoolId pool) { at(pool).statistics.onRequestArrived(); }
  /// Takes what is known of an execution of the pool; its latency counts only if it earned weight.
  void onExecutionEnded(PoolId pool, const ExecutionReport& report);

  /// How many requests of each pool may execute now, of `total` on the whole server. To be asked before
  /// executions start, with the loads at that moment. One entry for each pool, valid until the next call.
  [[nodiscard]] std::span<const int> concurrencyLimits(Duration now, double total,
                                                       std::span<const PoolLoad> loads);

  /// What the pool would have of the total if all pools wanted more than they get; with the part of an
  /// execution.
  [[nodiscard]] double limit(PoolId pool) const { return at(pool).limit; }
  /// Weight that the pool has earned of late for each core second, by which the total is divided.
  [[nodiscard]] double weightPerCoreSecond(PoolId pool) const {
    return at(pool).statistics.weightPerCoreSecond();
  }
  /// How many pools there are.
  [[nodiscard]] std::size_t size() const { return pools_.size(); }

 private:
  struct Pool {
    PoolStatistics statistics;
    double reservedRatio = 0;
    PoolLimiter limiter;
    double limit = 0;           ///< executions
    double roundingCredit = 0;  ///< executions, -1 to 1, that rounding its limit has kept from it
  };

  [[nodiscard]] Pool& at(PoolId pool) { return pools_[static_cast<std::size_t>(pool)]; }
  [[nodiscard]] const Pool& at(PoolId pool) const { return pools_[static_cast<std::size_t>(pool)]; }

  void divideEqually(double total);
  void followDemand(double total, std::span<const PoolLoad> loads);
  void fitToTotal(double total);
  double clampLimits(double total);
  [[nodiscard]] std::vector<std::size_t> poolsByWeight() const;
  [[nodiscard]] int grantWholeLimits(double total, std::span<const PoolLoad> loads);
  void grantRemainder(int remainder, std::span<const PoolLoad> loads);
  [[nodiscard]] std::optional<std::size_t> poolWithMostCredit(std::span<const PoolLoad> loads) const;
  void updateCredits(double elapsedSeconds, std::span<const PoolLoad> loads);
  [[nodiscard]] bool wantsMore(std::size_t pool, std::span<const PoolLoad> loads) const;

  std::vector<Pool> pools_;
  std::vector<int> limits_;
  Duration now_{};
  Duration nextAdjustment_{};
  bool isStarted_ = false;
};

}  // namespace rainhook::pools
