// Work pools: what each may have on the cores, of a total that is not theirs to set. A pool holds one handler
// or several. Pure: events and the time go in, limits come out; no clock, no I/O, no chance.
//
// Invariants: what the pools may run sums to the total at most and, while enough is held, to all of it; no
// pool falls under its floor while it has something to run; a share lent comes back as the borrower's runs
// end, since nothing more of the borrower starts. State is a row a pool; nothing grows with reqs.
//
// Source of the rules: Diao, Hellerstein, Parekh, by `fuzzyStep`; docs/pools.md tells what departs from it,
// when.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace rainhook::pools {

enum class PoolId : std::uint8_t {};

struct PoolTerms {
  std::string name;
  double value = 1;    // of one answer within its response target
  double reserve = 0;  // share of the total that it keeps under any load; 0 to under 1, all together under 1
  double firstCore = 0.1;  // seconds of a core that one run takes, until runs have told
};

// What a pool has now.
struct PoolLoad {
  int held = 0, onCores = 0;
};

class Pools {
 public:
  explicit Pools(std::vector<PoolTerms> terms);

  // A req of this pool was read.
  void read(PoolId pool) { ++row(pool).read; }
  // A run has ended: its seconds on the cores, its latency over the least of its handler, what its answer is
  // worth (0 where it came late or is owed to nobody).
  void ended(PoolId pool, double coreSeconds, double scaledLatency, double worth);

  // How many of each pool may be on the cores now, out of `total`; one entry a pool, until the next call. To
  // be asked before starts, with the loads as they are then.
  std::span<const int> mayRun(Duration now, double total, std::span<const PoolLoad> loads);

  // What a pool would have of the total if all wanted more than they may: its share as it has been moved to.
  double limit(PoolId pool) const { return rows_[static_cast<std::size_t>(pool)].limit; }
  // Value within the response target for each core second of late, by which the split leans.
  double density(PoolId pool) const;
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    PoolTerms terms;
    double limit = 0;            // runs
    double asked = 0, mean = 0;  // the rules: the last step, the mean that it followed
    double sum = 0;              // of scaled latencies in this interval
    int answers = 0, read = 0;
    bool heldBack = false;                  // in this interval, by this pool's limit
    double core = 0, worth = 0, spent = 0;  // a run's core seconds; value and core seconds of late, fading
    double rate = 0;                        // reqs read a second, of late
    double owedRuns = 0;                    // the part of a run that rounding has kept from it so far
  };
  Row& row(PoolId pool) { return rows_[static_cast<std::size_t>(pool)]; }
  void pass(double secs);
  void climb(Row& row);
  void jump(double total, std::span<const PoolLoad> loads);
  void arbitrate(double total);
  double floorOf(const Row& row, double total) const { return row.terms.reserve * total; }

  std::vector<Row> rows_;
  std::vector<int> may_;
  Duration now_{}, nextStep_{};
  bool opened_ = false;
};

}  // namespace rainhook::pools
