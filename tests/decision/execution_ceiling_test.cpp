#include "decision/execution_ceiling.h"

#include <gtest/gtest.h>

#include "decision/memory_budget.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

MachineProfile coldMachine() {
  return {
      .cores = 2, .coldStart = true, .initialSpeed = 0.5, .warmUpDuration = 10s, .maxExecutionsPerCore = 11};
}

TEST(ExecutionCeilingTest, RisesLinearlyWhenStartedCold) {
  const ExecutionCeiling ceiling{coldMachine()};
  EXPECT_DOUBLE_EQ(ceiling.maxExecutions(0s), 2 * 6 * 0.9 - 1);
  EXPECT_DOUBLE_EQ(ceiling.maxExecutions(5s), 2 * 8.5 * 0.9 - 1);
  EXPECT_DOUBLE_EQ(ceiling.maxExecutions(20s), 2 * 11 * 0.9 - 1);
}

TEST(ExecutionCeilingTest, IsAtFullValueWhenEngineIsReportedWarm) {
  ExecutionCeiling ceiling{coldMachine()};
  ceiling.setEngineStart(false, 0s);
  EXPECT_DOUBLE_EQ(ceiling.maxExecutions(0s), 2 * 11 * 0.9 - 1);
}

TEST(ExecutionCeilingTest, IsAtLeastOneWhenMachineIsSmall) {
  const ExecutionCeiling ceiling{MachineProfile{.cores = 1, .maxExecutionsPerCore = 1}};
  EXPECT_EQ(ceiling.maxExecutions(0s), 1);
}

TEST(MemoryBudgetTest, KeepsMarginAndFreesMemoryWhenReleased) {
  MemoryBudget memory{MachineProfile{.memoryKb = 1000, .executionMemoryFactor = 4}};
  EXPECT_TRUE(memory.fits(940));
  EXPECT_FALSE(memory.fits(941));
  memory.reserve(memory.executionKb(240));
  EXPECT_TRUE(memory.isExceeded());
  memory.release(20);
  EXPECT_FALSE(memory.isExceeded());
}

}  // namespace
}  // namespace rainhook
