/// @file
/// Tests work pools on a simulated server: sums of limits, reserves, lending, limits below one execution and
/// jumps of the arrival rate.
#include "pools/work_pools.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <tuple>
#include <vector>

namespace rainhook::pools {
namespace {

using namespace std::chrono_literals;

constexpr PoolId valuable{0};
constexpr PoolId bulk{1};
constexpr double valuableWeight = 2;
constexpr double bulkWeight = 1;

std::vector<PoolSettings> twoPools(double reservedRatioOfBulk) {
  return {{"valuable", valuableWeight, 0, 0.1}, {"bulk", bulkWeight, reservedRatioOfBulk, 0.1}};
}

int sumOfExecuting(const std::vector<PoolLoad>& loads) {
  return std::accumulate(loads.begin(), loads.end(), 0,
                         [](int sum, const PoolLoad& load) { return sum + load.executing; });
}

/// The arrivals and executions of one pool: requests arrive at a constant interval, and every execution takes
/// the same time.
struct SimulatedPool {
  Duration arrivalInterval{};  ///< 0 if no requests arrive
  Duration nextArrival{};
  std::vector<Duration> completionTimes;
  int completions = 0;
};

/// A server with two pools that starts executions within the limits, those of the valuable pool first.
class SimulatedServer {
 public:
  SimulatedServer(const std::vector<PoolSettings>& settings, double total)
      : workPools_(settings), total_(total), loads_(settings.size()), pools_(settings.size()) {}

  /// Lets requests of the pool arrive at this interval from now on, the first one immediately.
  void startArrivals(PoolId pool, Duration interval) {
    at(pool).arrivalInterval = interval;
    at(pool).nextArrival = now_;
  }
  /// Changes the interval without changing the time of the next arrival.
  void changeArrivals(PoolId pool, Duration interval) { at(pool).arrivalInterval = interval; }
  void stopArrivals(PoolId pool) {
    at(pool).arrivalInterval = 0ms;
    loads_[static_cast<std::size_t>(pool)].queued = 0;
  }

  void run(Duration span, Duration step = 5ms) {
    for (const Duration end = now_ + span; now_ < end; now_ += step) {
      for (std::size_t pool = 0; pool < pools_.size(); ++pool) {
        arrive(pool);
        complete(pool);
        loads_[pool].queued = std::min(loads_[pool].queued, maxQueued);
      }
      start(workPools_.concurrencyLimits(now_, total_, loads_));
      countIdleStep();
    }
  }

  [[nodiscard]] int executing(PoolId pool) const { return loads_[static_cast<std::size_t>(pool)].executing; }
  [[nodiscard]] int completions(PoolId pool) const {
    return pools_[static_cast<std::size_t>(pool)].completions;
  }
  [[nodiscard]] double limit(PoolId pool) const { return workPools_.limit(pool); }
  /// The number of steps that ended with a free core and a queued request.
  [[nodiscard]] int idleSteps() const { return idleSteps_; }

  static constexpr Duration executionTime = 100ms;

 private:
  static constexpr int maxQueued = 50;

  SimulatedPool& at(PoolId pool) { return pools_[static_cast<std::size_t>(pool)]; }
  [[nodiscard]] bool hasFreeCore() const { return sumOfExecuting(loads_) < static_cast<int>(total_); }

  void arrive(std::size_t index) {
    SimulatedPool& pool = pools_[index];
    while (pool.arrivalInterval > 0ms && pool.nextArrival <= now_) {
      ++loads_[index].queued;
      workPools_.onRequestArrived(PoolId(index));
      pool.nextArrival += pool.arrivalInterval;
    }
  }

  void complete(std::size_t index) {
    SimulatedPool& pool = pools_[index];
    const double weight = PoolId(index) == valuable ? valuableWeight : bulkWeight;
    while (!pool.completionTimes.empty() && pool.completionTimes.front() <= now_) {
      pool.completionTimes.erase(pool.completionTimes.begin());
      --loads_[index].executing;
      ++pool.completions;
      const double coreSeconds = std::chrono::duration<double>(executionTime).count();
      workPools_.onExecutionEnded(PoolId(index), {coreSeconds, 1, weight});
    }
  }

  void start(std::span<const int> limits) {
    for (std::size_t pool = 0; pool < pools_.size(); ++pool)
      while (loads_[pool].queued > 0 && loads_[pool].executing < limits[pool] && hasFreeCore()) {
        --loads_[pool].queued;
        ++loads_[pool].executing;
        pools_[pool].completionTimes.push_back(now_ + executionTime);
      }
  }

  void countIdleStep() {
    const auto hasQueued = [](const PoolLoad& load) { return load.queued > 0; };
    if (hasFreeCore() && std::any_of(loads_.begin(), loads_.end(), hasQueued)) ++idleSteps_;
  }

  WorkPools workPools_;
  double total_;
  std::vector<PoolLoad> loads_;
  std::vector<SimulatedPool> pools_;
  Duration now_{};
  int idleSteps_ = 0;
};

// Guards against cores that stay idle or are not returned when a pool has no requests for some time.
TEST(WorkPools, LendIdleLimitAndRegainItWithinOneExecutionWhenRequestsArrive) {
  SimulatedServer server(twoPools(0.1), 8);
  server.startArrivals(bulk, 5ms);
  server.run(2s);
  EXPECT_EQ(server.executing(bulk), 8) << "the other pool has no requests";
  server.startArrivals(valuable, 5ms);
  server.run(SimulatedServer::executionTime + 20ms);
  EXPECT_GE(server.executing(valuable), 4)
      << "the pool regains its limit when the borrower's executions have ended";
  server.run(400ms);
  EXPECT_GE(server.executing(valuable), 7)
      << "the pool that earns more then gets all cores except the reserve";
  EXPECT_EQ(server.idleSteps(), 0);
}

// Guards against a pool that gets no cores because another pool earns more weight and needs all cores.
TEST(WorkPools, KeepReserveOfBulkPoolWhenValuablePoolIsOverloaded) {
  SimulatedServer server(twoPools(0.125), 8);
  server.startArrivals(valuable, 2ms);
  server.startArrivals(bulk, 20ms);
  server.run(5s);
  const int before = server.completions(bulk);
  server.run(10s);
  EXPECT_NEAR(server.completions(bulk) - before, 100, 10)
      << "one core of eight completes ten executions per second";
}

// Guards against a pool that loses cores because another pool that earns less weight receives many requests.
TEST(WorkPools, ProtectValuablePoolWhenBulkPoolIsOverloaded) {
  SimulatedServer server(twoPools(0.1), 8);
  server.startArrivals(valuable, 25ms);  // needs half of the cores
  server.startArrivals(bulk, 1ms);
  server.run(3s);
  const int before = server.completions(valuable);
  server.run(5s);
  EXPECT_NEAR(server.completions(valuable) - before, 200, 10);
  EXPECT_EQ(server.idleSteps(), 0);
}

// Guards against a pool that never executes because its limit is always rounded down to 0.
TEST(WorkPools, AlternatePoolsWhenALimitIsBelowOneExecution) {
  SimulatedServer server(twoPools(0.25), 2);
  server.startArrivals(valuable, 10ms);
  server.startArrivals(bulk, 10ms);
  server.run(20s);
  EXPECT_GT(server.completions(bulk), 60)
      << "a quarter of two cores completes at most five executions per second";
  EXPECT_LT(server.completions(bulk), 140);
  EXPECT_EQ(server.idleSteps(), 0);
}

// Guards against a limit that adapts only in the small steps of the limiter after a jump of the arrival rate.
TEST(WorkPools, FollowDemandWithinHalfASecondWhenArrivalRateJumps) {
  SimulatedServer server(twoPools(0.1), 8);
  server.startArrivals(valuable, 50ms);  // needs two of the eight cores
  server.startArrivals(bulk, 20ms);      // needs five
  server.run(5s);
  server.startArrivals(valuable, 15ms);  // needs nearly seven
  server.run(500ms);
  EXPECT_GE(server.limit(valuable), 15.0 / 2.7)
      << "the demand of 100 / 15 executions, divided by the jump factor of 1.2";
  server.changeArrivals(valuable, 50ms);
  server.run(2s);
  EXPECT_GE(server.executing(bulk), 5) << "the bulk pool regains its cores when the demand falls";
}

// Guards against a limit that is lost while a pool has no requests and rises only in small steps afterwards.
TEST(WorkPools, RestoreLimitWhenRequestsArriveAfterMinutesWithoutAny) {
  SimulatedServer server(twoPools(0.1), 4);
  server.startArrivals(valuable, 10ms);
  server.startArrivals(bulk, 10ms);
  server.run(2s);
  server.stopArrivals(valuable);
  server.run(180s, 50ms);
  server.startArrivals(valuable, 10ms);
  server.run(300ms);
  EXPECT_GE(server.executing(valuable), 3);
}

/// One generated step: the pool, the number of its queued requests, and a number from which the elapsed time,
/// the arrivals and the end of an execution are derived.
using GeneratedStep = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

/// Reports the events of a generated step to the pools.
void applyStep(const GeneratedStep& step, WorkPools& workPools, std::vector<PoolLoad>& loads) {
  const auto& [poolNumber, queued, variation] = step;
  const std::size_t index = poolNumber % loads.size();
  PoolLoad& load = loads[index];
  load.queued = queued % 16;
  for (int i = 0; i < variation % 4; ++i) workPools.onRequestArrived(PoolId(index));
  if (load.executing > 0 && variation % 2 == 0) {
    --load.executing;
    const double relativeLatency = 1 + variation % 3;
    const double earnedWeight = variation % 5 == 0 ? 0 : 1;
    workPools.onExecutionEnded(PoolId(index), {0.05, relativeLatency, earnedWeight});
  }
}

void startAll(std::span<const int> limits, double total, std::vector<PoolLoad>& loads) {
  int executing = sumOfExecuting(loads);
  for (std::size_t pool = 0; pool < loads.size(); ++pool)
    while (loads[pool].queued > 0 && loads[pool].executing < limits[pool] &&
           executing < static_cast<int>(total)) {
      --loads[pool].queued;
      ++loads[pool].executing;
      ++executing;
    }
}

// Guards against limits that exceed the total, violate a reserve or leave cores unused while requests are
// queued.
RC_GTEST_PROP(WorkPools, KeepSumsAndReservesWhenLoadIsGenerated, (const std::vector<GeneratedStep>& steps)) {
  const double reserve = *rc::gen::inRange(0, 30) / 100.0;
  const std::vector<PoolSettings> settings{
      {"first", 2, reserve, 0.1}, {"second", 1, reserve, 0.05}, {"third", 1, 0, 0.2}};
  WorkPools workPools(settings);
  const double total = *rc::gen::inRange(1, 24);
  Duration now{};
  std::vector<PoolLoad> loads(settings.size());
  for (const GeneratedStep& step : steps) {
    now += std::chrono::milliseconds(std::get<2>(step) % 50);
    applyStep(step, workPools, loads);
    const std::span<const int> limits = workPools.concurrencyLimits(now, total, loads);
    double sumOfFractionalLimits = 0;
    int sumOfLimits = 0;
    int activeRequests = 0;
    for (std::size_t pool = 0; pool < loads.size(); ++pool) {
      const double limit = workPools.limit(PoolId(pool));
      sumOfFractionalLimits += limit;
      sumOfLimits += limits[pool];
      activeRequests += loads[pool].queued + loads[pool].executing;
      RC_ASSERT(limit >= settings[pool].reservedRatio * total - 1e-6);
      RC_ASSERT(limits[pool] >= 0);
    }
    RC_ASSERT(sumOfFractionalLimits <= total + 1e-6);
    RC_ASSERT(sumOfLimits == std::min(activeRequests, static_cast<int>(total)));
    startAll(limits, total, loads);
  }
}

}  // namespace
}  // namespace rainhook::pools
