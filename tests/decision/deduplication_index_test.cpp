#include "decision/deduplication_index.h"

#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

constexpr RequestId first{1};
constexpr RequestId second{2};

TEST(DeduplicationIndexTest, RemoveExpiredKeepsEntryWhenNotExpired) {
  DeduplicationIndex index;
  index.retain(first, 2s);
  index.retain(second, 3s);
  EXPECT_EQ(index.removeExpired(1999ms), 0);
  EXPECT_EQ(index.removeExpired(2s), 1);
  EXPECT_FALSE(index.contains(first));
  EXPECT_TRUE(index.contains(second));
}

TEST(DeduplicationIndexTest, ReplacesExpiryWhenEntryIsRetainedAgain) {
  DeduplicationIndex index;
  index.retain(first, 2s);
  index.retain(first, 5s);
  EXPECT_EQ(index.removeExpired(4s), 0);
  EXPECT_EQ(index.removeExpired(5s), 1);
}

TEST(DeduplicationIndexTest, RemoveReturnsFalseWhenEntryDoesNotExist) {
  DeduplicationIndex index;
  index.retain(first, 2s);
  EXPECT_TRUE(index.remove(first));
  EXPECT_FALSE(index.remove(first));
  EXPECT_EQ(index.removeExpired(9s), 0);
}

}  // namespace
}  // namespace rainhook
