#include "server/request_table.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace rainhook::server {
namespace {

InFlightRequest& addNamed(RequestTable& table, std::uint32_t number) {
  peers::IncomingRequest arrived;
  arrived.name = std::to_string(number);
  return table.add(RequestId{number}, std::move(arrived));
}

void addDuplicate(RequestTable& table, std::uint32_t number, RequestId original) {
  InFlightRequest& duplicate = addNamed(table, number);
  duplicate.state = RequestState::awaitingOriginal;
  duplicate.duplicateOf = original;
  table.awaitOriginal(original, RequestId{number});
}

TEST(RequestTable, RemovesOneDuplicateAndKeepsTheOthersAwaitingTheirOriginals) {
  RequestTable table;
  addNamed(table, 1);
  addDuplicate(table, 2, RequestId{1});
  addDuplicate(table, 3, RequestId{1});
  addDuplicate(table, 4, RequestId{2});
  EXPECT_EQ(table.duplicatesAwaiting(RequestId{1}), (std::vector{RequestId{2}, RequestId{3}}));

  table.remove(RequestId{2});
  EXPECT_EQ(table.duplicatesAwaiting(RequestId{1}), std::vector{RequestId{3}});
  EXPECT_EQ(table.duplicatesAwaiting(RequestId{2}), std::vector{RequestId{4}});
}

}  // namespace
}  // namespace rainhook::server
