#include "pools/work_pools.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace rainhook::pools {
namespace {

using namespace std::chrono_literals;

// The interval of the decision module's own climber, with as many answers to tell of it.
constexpr Duration interval = 1s;
constexpr int answersWanted = 10;
// The gains of that climber: a step of two runs counts fully, so does a change by twice the least latency.
constexpr double stepGain = 0.5, latencyGain = 0.5, leastStep = 0.25;
// What is read tells of a jump within this time, what runs earn of a change of worth.
constexpr double readHalfLife = 0.1, worthHalfLife = 4;
// A rate that asks for so many times a pool's limit has outrun the rules.
constexpr double outrun = 1.2;
// Runs' worth of prior knowledge in a density.
constexpr double prior = 4;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Pools::Pools(std::vector<PoolTerms> terms) {
  for (auto& own : terms) {
    Row row;
    row.core = own.firstCore;
    row.terms = std::move(own);
    rows_.push_back(std::move(row));
  }
  may_.resize(rows_.size());
}

double Pools::density(PoolId pool) const {
  const Row& row = rows_[static_cast<std::size_t>(pool)];
  return (row.worth + prior * row.terms.value) / (row.spent + prior * std::max(row.core, 1e-6));
}

void Pools::ended(PoolId pool, double coreSeconds, double scaledLatency, double worth) {
  Row& r = row(pool);
  r.core += (coreSeconds - r.core) * 0.05;
  r.worth += worth, r.spent += coreSeconds;
  if (worth > 0) r.sum += scaledLatency, ++r.answers;
}

void Pools::pass(double secs) {
  if (secs <= 0) return;
  const double keepRead = std::exp2(-secs / readHalfLife), keepWorth = std::exp2(-secs / worthHalfLife);
  for (Row& row : rows_) {
    row.rate = row.rate * keepRead + row.read / secs * (1 - keepRead);
    row.read = 0;
    row.worth *= keepWorth, row.spent *= keepWorth;
  }
}

// The four rules, on this pool's own latency; an interval teaches only where the limit held something back.
void Pools::climb(Row& row) {
  if (row.answers < answersWanted) return;
  const double mean = row.sum / row.answers;
  if (row.heldBack) {
    if (row.mean == 0) {
      row.asked = 1;
    } else {
      const double out = fuzzyStep(row.asked * stepGain, (mean - row.mean) * latencyGain) / stepGain;
      row.asked = std::abs(out) >= leastStep ? out : out > 0 ? leastStep : -leastStep;
    }
    row.mean = mean;
    row.limit += row.asked;
  }
  row.sum = 0, row.answers = 0, row.heldBack = false;
}

// What is read against what may run, by Little's law: a pool whose reqs come faster than its limit can do
// them asks for what they take at once.
void Pools::jump(double total, std::span<const PoolLoad> loads) {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    Row& row = rows_[i];
    const double wants = row.rate * row.core;
    if (loads[i].held > 0 && wants > outrun * row.limit) row.limit = std::min(wants, total);
  }
}

// The limits sum to the total. What is over goes from those that earn least for a core second, down to their
// floors; what is left over goes to those that were held back, the one that earns most first.
void Pools::arbitrate(double total) {
  std::vector<std::size_t> byDensity(rows_.size());
  std::iota(byDensity.begin(), byDensity.end(), std::size_t{0});
  std::stable_sort(byDensity.begin(), byDensity.end(), [this](std::size_t a, std::size_t b) {
    return density(static_cast<PoolId>(a)) < density(static_cast<PoolId>(b));
  });
  double over = -total;
  for (Row& row : rows_) {
    row.limit = std::clamp(row.limit, floorOf(row, total), total);
    over += row.limit;
  }
  for (const std::size_t i : byDensity) {
    if (over <= 0) break;
    const double less = std::min(over, rows_[i].limit - floorOf(rows_[i], total));
    rows_[i].limit -= less, over -= less;
  }
  if (over < 0) {
    const auto best =
        std::find_if(byDensity.rbegin(), byDensity.rend(), [&](std::size_t i) { return rows_[i].heldBack; });
    rows_[best == byDensity.rend() ? byDensity.back() : *best].limit -= over;
  }
}

std::span<const int> Pools::mayRun(Duration now, double total, std::span<const PoolLoad> loads) {
  const double secs = seconds(now - std::exchange(now_, now));
  if (!std::exchange(opened_, true)) {
    for (Row& row : rows_) row.limit = total / static_cast<double>(rows_.size());
    nextStep_ = now + interval;
  }
  pass(secs);
  if (now >= nextStep_) {
    nextStep_ = now + interval;
    for (Row& row : rows_) climb(row);
  }
  jump(total, loads);
  arbitrate(total);

  // Whole runs: each pool has what it wants of the whole part of its limit. What is left goes one by one to
  // the pool that wants more and is owed most, its part of a run and what rounding kept from it before; a
  // pool that wants less lends its share by that.
  int left = static_cast<int>(total + 1e-9);
  const auto wants = [&](std::size_t i) { return loads[i].held + loads[i].onCores; };
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    may_[i] = std::min({wants(i), static_cast<int>(rows_[i].limit + 1e-9), left});
    left -= may_[i];
  }
  while (left > 0) {
    std::size_t best = rows_.size();
    double most = 0;
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      const double owed = rows_[i].limit + rows_[i].owedRuns - may_[i];
      if (wants(i) > may_[i] && (best == rows_.size() || owed > most)) best = i, most = owed;
    }
    if (best == rows_.size()) break;
    ++may_[best], --left;
  }
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    Row& row = rows_[i];
    if (wants(i) > may_[i]) row.heldBack = true;
    // A pool that wants nothing more is owed nothing; the debt of one that does stays under one run.
    row.owedRuns =
        wants(i) > may_[i]
            ? std::clamp(row.owedRuns + (row.limit - loads[i].onCores) * secs / std::max(row.core, 1e-3),
                         -1.0, 1.0)
            : std::min(row.owedRuns, 0.0) * std::exp2(-secs);
  }
  return may_;
}

}  // namespace rainhook::pools
