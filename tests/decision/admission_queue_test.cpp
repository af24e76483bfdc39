#include "decision/admission_queue.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;

class AdmissionQueueTest : public ::testing::Test {
 protected:
  AdmissionQueueTest() {
    queue.push(first);
    queue.push(second);
    queue.push(third);
  }

  static constexpr RequestId first{1};
  static constexpr RequestId second{2};
  static constexpr RequestId third{3};
  AdmissionQueue queue;
};

TEST_F(AdmissionQueueTest, StartsOldestFirstWhenNotFull) {
  queue.recordFullness(10s, false);
  EXPECT_THAT(queue.startOrder(10s), ElementsAre(first, second, third));
}

TEST_F(AdmissionQueueTest, StartsNewestFirstWhenFullForMoreThanOneSecond) {
  queue.recordFullness(10s, false);
  queue.recordFullness(10s + 400ms, true);
  EXPECT_THAT(queue.startOrder(11s), ElementsAre(first, second, third));
  queue.recordFullness(10s + 800ms, true);
  EXPECT_THAT(queue.startOrder(11s + 1ms), ElementsAre(third, second, first));
}

TEST_F(AdmissionQueueTest, StartsOldestFirstAgainWhenNoLongerFull) {
  queue.recordFullness(10s, true);
  queue.recordFullness(10s + 501ms, false);
  EXPECT_THAT(queue.startOrder(11s), ElementsAre(first, second, third));
}

TEST_F(AdmissionQueueTest, PutsRequestAtOldestEndWhenRequeued) {
  EXPECT_EQ(queue.popOldest(), first);
  queue.pushFront(first);
  EXPECT_THAT(queue.oldestFirst(), ElementsAre(first, second, third));
  EXPECT_EQ(queue.newest(), third);
}

TEST_F(AdmissionQueueTest, RetainIfRemovesRequestsWhenPredicateIsFalse) {
  queue.retainIf([](RequestId id) { return id != second; });
  EXPECT_THAT(queue.oldestFirst(), ElementsAre(first, third));
}

}  // namespace
}  // namespace rainhook
