#include "pools/work_pools.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace rainhook::pools {
namespace {

using namespace std::chrono_literals;

/// As the decision module's limiter for the whole server.
constexpr Duration adjustmentInterval = 1s;
/// A pool whose demand is this multiple of its limit can't wait for the adjustments of its limiter.
constexpr double demandJumpFactor = 1.2;
/// Keeps a limit that is a whole number but for rounding errors from being rounded down.
constexpr double roundingTolerance = 1e-9;
/// Bounds the rate at which a pool with very short executions gains or loses credit.
constexpr double leastCreditSeconds = 1e-3;

double toSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

int roundDown(double limit) { return static_cast<int>(limit + roundingTolerance); }

int wanted(const PoolLoad& load) { return load.queued + load.executing; }

}  // namespace

WorkPools::WorkPools(std::span<const PoolSettings> settings) : limits_(settings.size()) {
  for (const PoolSettings& pool : settings)
    pools_.push_back(
        {.statistics = PoolStatistics(pool), .reservedRatio = pool.reservedRatio, .limiter = {}});
}

void WorkPools::onExecutionEnded(PoolId pool, const ExecutionReport& report) {
  at(pool).statistics.onExecutionEnded(report);
  if (report.earnedWeight > 0) at(pool).limiter.onAnswer(report.latencyRatio);
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

/// A pool whose requests arrive faster than its limit can serve them gets what they ask for at once.
void WorkPools::followDemand(double total, std::span<const PoolLoad> loads) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& pool = pools_[i];
    const double demand = pool.statistics.demand();
    if (loads[i].queued > 0 && demand > demandJumpFactor * pool.limit) pool.limit = std::min(demand, total);
  }
}

/// Makes the limits sum up to the total. An excess is taken from the pools that earn least per core second,
/// down to their reserves. What is left over goes to the pool that earns most among those whose limit was
/// reached.
void WorkPools::fitToTotal(double total) {
  const std::vector<std::size_t> byWeight = poolsByWeight();
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

/// Keeps each limit between the pool's reserve and the total. Returns by how much their sum exceeds the
/// total; negative if it is less.
double WorkPools::clampLimits(double total) {
  double excess = -total;
  for (Pool& pool : pools_) {
    pool.limit = std::clamp(pool.limit, pool.reservedRatio * total, total);
    excess += pool.limit;
  }
  return excess;
}

/// The pools' indices, those first that earn least for a core second.
std::vector<std::size_t> WorkPools::poolsByWeight() const {
  std::vector<std::size_t> indices(pools_.size());
  std::iota(indices.begin(), indices.end(), std::size_t{0});
  std::stable_sort(indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) {
    return pools_[left].statistics.weightPerCoreSecond() < pools_[right].statistics.weightPerCoreSecond();
  });
  return indices;
}

/// Gives each pool what it wants of the whole part of its limit. Returns how many executions are left.
int WorkPools::grantWholeLimits(double total, std::span<const PoolLoad> loads) {
  int remainder = roundDown(total);
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    limits_[i] = std::min({wanted(loads[i]), roundDown(pools_[i].limit), remainder});
    remainder -= limits_[i];
  }
  return remainder;
}

/// Gives what is left one by one to the pool that wants more and has most credit. So a pool that wants less
/// than its limit lends the rest.
void WorkPools::grantRemainder(int remainder, std::span<const PoolLoad> loads) {
  for (; remainder > 0; --remainder) {
    const std::optional<std::size_t> pool = poolWithMostCredit(loads);
    if (!pool) return;
    ++limits_[*pool];
  }
}

/// Of the pools that want more than they were given, the one whose limit and credit exceed that most.
std::optional<std::size_t> WorkPools::poolWithMostCredit(std::span<const PoolLoad> loads) const {
  std::optional<std::size_t> best;
  double mostCredit = 0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const double credit = pools_[i].limit + pools_[i].roundingCredit - limits_[i];
    if (!wantsMore(i, loads) || (best && credit <= mostCredit)) continue;
    best = i;
    mostCredit = credit;
  }
  return best;
}

/// Credit grows with the time in which a pool that wants more executes less than its limit. A pool that wants
/// nothing more has none, and what it has had too much fades.
void WorkPools::updateCredits(double elapsedSeconds, std::span<const PoolLoad> loads) {
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    Pool& pool = pools_[i];
    if (!wantsMore(i, loads)) {
      pool.roundingCredit = std::min(pool.roundingCredit, 0.0) * std::exp2(-elapsedSeconds);
      continue;
    }
    pool.limiter.onLimitReached();
    const double serviceSeconds = std::max(pool.statistics.serviceSeconds(), leastCreditSeconds);
    const double gained = (pool.limit - loads[i].executing) * elapsedSeconds / serviceSeconds;
    pool.roundingCredit = std::clamp(pool.roundingCredit + gained, -1.0, 1.0);
  }
}

bool WorkPools::wantsMore(std::size_t pool, std::span<const PoolLoad> loads) const {
  return wanted(loads[pool]) > limits_[pool];
}

}  // namespace rainhook::pools
