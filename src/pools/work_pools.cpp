#include "pools/work_pools.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace rainhook::pools {
namespace {

using namespace std::chrono_literals;

/// The same interval as that of `ConcurrencyLimiter` for the whole server.
constexpr Duration adjustmentInterval = 1s;
/// If the demand of a pool exceeds its limit by this factor, the limit is raised without waiting for the
/// adjustments of its limiter.
constexpr double demandJumpFactor = 1.2;
/// Prevents a limit that is slightly below a whole number because of rounding errors from being rounded down.
constexpr double roundingTolerance = 1e-9;
/// The minimum service time in the calculation of credit, which bounds how fast a pool with very short
/// executions gains or loses credit.
constexpr double minCreditSeconds = 1e-3;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

int roundDown(double limit) { return static_cast<int>(limit + roundingTolerance); }

int activeRequests(const PoolLoad& load) { return load.queued + load.executing; }

}  // namespace

WorkPools::WorkPools(std::span<const PoolSettings> settings) : limits_(settings.size()) {
  for (const PoolSettings& pool : settings)
    pools_.push_back(
        {.statistics = PoolStatistics(pool), .reservedRatio = pool.reservedRatio, .limiter = {}});
}

void WorkPools::onExecutionEnded(PoolId pool, const ExecutionReport& report) {
  at(pool).statistics.onExecutionEnded(report);
  if (report.earnedWeight > 0) at(pool).limiter.recordLatency(report.relativeLatency);
}

std::span<const int> WorkPools::concurrencyLimits(Duration now, double total,
                                                  std::span<const PoolLoad> loads) {
  const double elapsedSeconds = toSeconds(now - std::exchange(now_, now));
  if (!std::exchange(isStarted_, true)) {
    divideEqually(total);
    nextAdjustment_ = now + adjustmentInterval;
  }
  for (Pool& pool : pools_) pool.statistics.advance(elapsedSeconds);
  if (now >= nextAdjustment_) {
    nextAdjustment_ = now + adjustmentInterval;
    for (Pool& pool : pools_) pool.limit += pool.limiter.endInterval();
  }
  followDemand(total, loads);
  fitToTotal(total);

  const int remainder = grantWholeLimits(total, loads);
  grantRemainder(remainder, loads);
  updateCredits(elapsedSeconds, loads);
  return limits_;
}

void WorkPools::divideEqually(double total) {
  for (Pool& pool : pools_) pool.limit = total / static_cast<double>(pools_.size());
}

/// Raises the limit of a pool to its demand immediately if its requests arrive faster than the limit can
/// serve them.
void WorkPools::followDemand(double total, std::span<const PoolLoad> loads) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& pool = pools_[i];
    const double demand = pool.statistics.demand();
    if (loads[i].queued > 0 && demand > demandJumpFactor * pool.limit) pool.limit = std::min(demand, total);
  }
}

/// Adjusts the limits so that their sum equals the total. Takes an excess from the pools that earn the least
/// weight per core second, down to their reserves. Gives an unused rest to the pool that earns the most among
/// those whose limit was reached, or among all pools if no limit was reached.
void WorkPools::fitToTotal(double total) {
  const std::vector<std::size_t> byWeight = poolsByWeightPerCoreSecond();
  double excess = clampLimits(total);
  for (const std::size_t index : byWeight) {
    if (excess <= 0) break;
    Pool& pool = pools_[index];
    const double reduction = std::min(excess, pool.limit - pool.reservedRatio * total);
    pool.limit -= reduction;
    excess -= reduction;
  }
  if (excess >= 0) return;
  const auto isLimitReached = [this](std::size_t index) { return pools_[index].limiter.isLimitReached(); };
  const auto best = std::find_if(byWeight.rbegin(), byWeight.rend(), isLimitReached);
  const std::size_t receiver = best == byWeight.rend() ? byWeight.back() : *best;
  pools_[receiver].limit -= excess;
}

/// Clamps each limit to between the pool's reserve and the total. Returns by how much the sum of the limits
/// exceeds the total; negative if the sum is less.
double WorkPools::clampLimits(double total) {
  double excess = -total;
  for (Pool& pool : pools_) {
    pool.limit = std::clamp(pool.limit, pool.reservedRatio * total, total);
    excess += pool.limit;
  }
  return excess;
}

/// Returns the indices of the pools in ascending order of their weight per core second.
std::vector<std::size_t> WorkPools::poolsByWeightPerCoreSecond() const {
  std::vector<std::size_t> indices(pools_.size());
  std::iota(indices.begin(), indices.end(), std::size_t{0});
  std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
    return pools_[left].statistics.weightPerCoreSecond() < pools_[right].statistics.weightPerCoreSecond();
  });
  return indices;
}

/// Grants each pool as many executions as it needs, up to its limit rounded down. Returns the number of
/// executions that remain of the total.
int WorkPools::grantWholeLimits(double total, std::span<const PoolLoad> loads) {
  int remainder = roundDown(total);
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    limits_[i] = std::min({activeRequests(loads[i]), roundDown(pools_[i].limit), remainder});
    remainder -= limits_[i];
  }
  return remainder;
}

/// Grants the remaining executions one by one, each to the pool with the largest shortfall. In this way a
/// pool that needs less than its limit lends the rest.
void WorkPools::grantRemainder(int remainder, std::span<const PoolLoad> loads) {
  for (; remainder > 0; --remainder) {
    const std::optional<std::size_t> pool = poolWithLargestShortfall(loads);
    if (!pool) return;
    ++limits_[*pool];
  }
}

/// Returns, among the pools that need more than they were granted, the one with the largest shortfall: its
/// limit plus its rounding credit, less its grant. Returns none if no pool needs more.
std::optional<std::size_t> WorkPools::poolWithLargestShortfall(std::span<const PoolLoad> loads) const {
  std::optional<std::size_t> best;
  double largestShortfall = 0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const double shortfall = pools_[i].limit + pools_[i].roundingCredit - limits_[i];
    if (!needsMore(i, loads) || (best && shortfall <= largestShortfall)) continue;
    best = i;
    largestShortfall = shortfall;
  }
  return best;
}

/// Updates the rounding credits and records which limits were reached. A pool that needs more gains credit
/// while it executes less than its limit and loses credit while it executes more. A pool that needs no more
/// loses positive credit immediately, and its negative credit decays with a half-life of one second.
void WorkPools::updateCredits(double elapsedSeconds, std::span<const PoolLoad> loads) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& pool = pools_[i];
    if (!needsMore(i, loads)) {
      pool.roundingCredit = std::min(pool.roundingCredit, 0.0) * std::exp2(-elapsedSeconds);
      continue;
    }
    pool.limiter.recordLimitReached();
    const double serviceSeconds = std::max(pool.statistics.serviceSeconds(), minCreditSeconds);
    const double gained = (pool.limit - loads[i].executing) * elapsedSeconds / serviceSeconds;
    pool.roundingCredit = std::clamp(pool.roundingCredit + gained, -1.0, 1.0);
  }
}

bool WorkPools::needsMore(std::size_t pool, std::span<const PoolLoad> loads) const {
  return activeRequests(loads[pool]) > limits_[pool];
}

}  // namespace rainhook::pools
