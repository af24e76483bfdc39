#include "server/request_table.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace rainhook::server {
namespace {

InFlightRequest& addRequest(RequestTable& table, std::uint32_t number) {
  peers::IncomingRequest incoming;
  incoming.name = std::to_string(number);
  return table.add(RequestId{number}, std::move(incoming));
}

void addDuplicate(RequestTable& table, std::uint32_t number, RequestId original) {
  InFlightRequest& duplicate = addRequest(table, number);
  duplicate.state = RequestState::awaitingOriginal;
  duplicate.duplicateOf = original;
  table.awaitOriginal(original, RequestId{number});
}

// Guards against the removal of one duplicate that also removes others, either those of the same original or
// those that await the removed one.
TEST(RequestTable, KeepsOtherDuplicatesAwaitingWhenOneIsRemoved) {
  RequestTable table;
  addRequest(table, 1);
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
