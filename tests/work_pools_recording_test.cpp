/// @file
/// Compares the behaviour of the work pools with a recording; see recording.h. Simulated servers with two to
/// four pools start executions within the limits of the pools under changing loads. Limits are hashed by
/// their bit patterns. The recording also depends on the C library's std::exp2.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "pools/work_pools.h"
#include "recording.h"

namespace rainhook::pools {
namespace {

using namespace std::chrono_literals;
using recording::Fnv1aHash;
using recording::RecordedRun;
using recording::SplitMix64;

constexpr int runCount = 120;
constexpr int stepsPerHash = 100;
constexpr int maxQueued = 60;

/// The number of occurrences of each event, so that a loss of coverage is noticed.
struct Tally {
  int steps = 0;
  int stepsAtLimit = 0;     ///< a limit kept requests of at least one pool in the queue
  int stepsWithChange = 0;  ///< the limit of at least one pool changed
  int completions = 0;
};

struct SimulatedPool {
  PoolLoad load;
  std::vector<Duration> completionTimes;
  std::int64_t arrivalsPerSecond = 0;  ///< mean arrival rate
  std::int64_t serviceMillis = 50;
  double lastLimit = 0;
};

/// One server whose executions share `total` cores among its pools.
class SimulatedServer {
 public:
  explicit SimulatedServer(int seed)
      : random_(static_cast<std::uint64_t>(seed)), settings_(drawSettings()), workPools_(settings_) {
    total_ = drawTotal();
    simulated_.resize(settings_.size());
    for (SimulatedPool& pool : simulated_) drawWorkload(pool);
  }

  RecordedRun run(const std::string& name, Tally& tally) {
    RecordedRun recorded{name, {}};
    const auto steps = random_.between(800, 1600);
    for (std::int64_t step = 1; step <= steps; ++step) {
      advance();
      for (std::size_t pool = 0; pool < simulated_.size(); ++pool) {
        complete(pool, tally);
        arrive(pool);
      }
      const std::span<const int> limits = calculateLimits();
      addStep(limits, tally);
      start(limits);
      ++tally.steps;
      if (step % stepsPerHash == 0 || step == steps) recorded.hashes.push_back(hash_.value());
    }
    return recorded;
  }

 private:
  std::vector<PoolSettings> drawSettings() {
    std::vector<PoolSettings> settings(static_cast<std::size_t>(random_.between(2, 4)));
    for (std::size_t pool = 0; pool < settings.size(); ++pool) {
      settings[pool].name = "pool" + std::to_string(pool);
      settings[pool].priorityWeight = random_.thousandths(200, 4000);
      if (random_.percent(60)) settings[pool].reservedRatio = random_.thousandths(0, 240);
      settings[pool].initialServiceSeconds = random_.thousandths(5, 200);
    }
    return settings;
  }

  double drawTotal() {
    return random_.percent(50) ? static_cast<double>(random_.between(1, 24))
                               : random_.thousandths(1000, 24'000);
  }

  void drawWorkload(SimulatedPool& pool) {
    pool.serviceMillis = random_.between(5, 150);
    const double capacityPerSecond = total_ * 1000 / static_cast<double>(pool.serviceMillis);
    const auto maxArrivals = static_cast<std::int64_t>(capacityPerSecond * 1.5) + 1;
    pool.arrivalsPerSecond = random_.percent(15) ? 0 : random_.between(0, maxArrivals);
  }

  void advance() {
    elapsed_ =
        std::chrono::milliseconds(random_.percent(1) ? random_.between(0, 60'000) : random_.between(0, 25));
    now_ += elapsed_;
    if (random_.percent(1)) drawWorkload(simulated_[random_.index(simulated_.size())]);
    if (random_.between(0, 999) < 3) total_ = drawTotal();
  }

  void complete(std::size_t index, Tally& tally) {
    SimulatedPool& pool = simulated_[index];
    const auto hasEnded = [this](Duration time) { return time <= now_; };
    const auto completed = std::count_if(pool.completionTimes.begin(), pool.completionTimes.end(), hasEnded);
    std::erase_if(pool.completionTimes, hasEnded);
    for (std::int64_t i = 0; i < completed; ++i) {
      --pool.load.executing;
      const double coreSeconds = random_.thousandths(pool.serviceMillis / 2, pool.serviceMillis * 2);
      const double relativeLatency = random_.thousandths(1000, 1500 + 100 * pool.load.queued);
      const double weight = random_.percent(20) ? 0 : settings_[index].priorityWeight;
      workPools_.onExecutionEnded(PoolId(index), {coreSeconds, relativeLatency, weight});
      ++tally.completions;
    }
  }

  void arrive(std::size_t index) {
    SimulatedPool& pool = simulated_[index];
    const std::int64_t millis = std::min<std::int64_t>(elapsed_ / 1ms, 1000);
    const std::int64_t expected = pool.arrivalsPerSecond * millis;
    const std::int64_t arrivals = expected / 1000 + (random_.between(0, 999) < expected % 1000 ? 1 : 0);
    for (std::int64_t i = 0; i < arrivals; ++i) workPools_.onRequestArrived(PoolId(index));
    pool.load.queued = std::min(pool.load.queued + static_cast<int>(arrivals), maxQueued);
  }

  std::span<const int> calculateLimits() {
    loads_.clear();
    for (const SimulatedPool& pool : simulated_) loads_.push_back(pool.load);
    return workPools_.concurrencyLimits(now_, total_, loads_);
  }

  /// Adds the limits to the hash and the step to the tally.
  void addStep(std::span<const int> limits, Tally& tally) {
    bool isAtLimit = false;
    bool hasChanged = false;
    for (std::size_t index = 0; index < simulated_.size(); ++index) {
      SimulatedPool& pool = simulated_[index];
      const double limit = workPools_.limit(PoolId(index));
      hash_.add(static_cast<std::uint64_t>(limits[index]));
      hash_.add(limit);
      hash_.add(workPools_.weightPerCoreSecond(PoolId(index)));
      isAtLimit = isAtLimit || pool.load.queued + pool.load.executing > limits[index];
      hasChanged = hasChanged || limit != pool.lastLimit;
      pool.lastLimit = limit;
    }
    if (isAtLimit) ++tally.stepsAtLimit;
    if (hasChanged) ++tally.stepsWithChange;
  }

  void start(std::span<const int> limits) {
    int executing = 0;
    for (const SimulatedPool& pool : simulated_) executing += pool.load.executing;
    for (std::size_t index = 0; index < simulated_.size(); ++index) {
      SimulatedPool& pool = simulated_[index];
      while (pool.load.queued > 0 && pool.load.executing < limits[index] &&
             executing < static_cast<int>(total_)) {
        --pool.load.queued;
        ++pool.load.executing;
        ++executing;
        const std::int64_t millis = pool.serviceMillis * random_.between(50, 200) / 100;
        pool.completionTimes.push_back(now_ + std::chrono::milliseconds(millis));
      }
    }
  }

  SplitMix64 random_;
  const std::vector<PoolSettings> settings_;
  WorkPools workPools_;
  double total_ = 1;
  Duration now_{};
  Duration elapsed_{};
  Fnv1aHash hash_;
  std::vector<SimulatedPool> simulated_;
  std::vector<PoolLoad> loads_;
};

/// The minimum counts are about two thirds of the counts at the first recording: runs with fewer events would
/// test less.
void expectEnoughEvents(const Tally& tally) {
  EXPECT_GE(tally.steps, 95'000);
  EXPECT_GE(tally.stepsAtLimit, 89'000);
  EXPECT_GE(tally.stepsWithChange, 23'000);
  EXPECT_GE(tally.completions, 249'000);
}

TEST(WorkPoolsRecording, LimitsMatchRecordingWhenAllServersAreSimulated) {
  Tally tally;
  std::vector<RecordedRun> runs;
  for (int seed = 1; seed <= runCount; ++seed)
    runs.push_back(SimulatedServer(seed).run("server" + std::to_string(seed), tally));
  expectEnoughEvents(tally);
  recording::expectMatchesRecording("work_pools_recording.txt", runs);
}

}  // namespace
}  // namespace rainhook::pools
