#include "server/executed_names.h"

#include <gtest/gtest.h>

namespace rainhook::server {
namespace {

using namespace std::chrono_literals;

constexpr ExecutedNames::Time epoch{};

// Guards against names that are remembered forever or without limit.
TEST(ExecutedNames, ForgetsNamesWhenTheyExpireOrThereAreTooMany) {
  ExecutedNames names(2);
  names.add("a", epoch + 1s);
  names.add("b", epoch + 3s);
  EXPECT_TRUE(names.contains("a", epoch));
  EXPECT_FALSE(names.contains("a", epoch + 1s));
  names.add("a", epoch + 4s);  // executed again, under the same name
  names.add("c", epoch + 5s);
  EXPECT_FALSE(names.contains("b", epoch)) << "the name that expires first was not removed";
  EXPECT_TRUE(names.contains("a", epoch + 3s));
  names.expire(epoch + 4s);
  EXPECT_EQ(names.size(), 1u);
  names.expire(epoch + 5s);
  EXPECT_EQ(names.size(), 0u);
}

}  // namespace
}  // namespace rainhook::server
