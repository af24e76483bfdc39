/// @file
/// Tests of clients that reset their connection.
#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

class ServerResetConnection : public ServerTest {};

// Guards against the execution of requests whose client is known to have left. The client resets its
// connection while so much input is unread that the server reads it in several iterations, and the operating
// system reports the reset only after the last byte.
TEST_F(ServerResetConnection, DropsUnreadRequestsWhenTheyTakeSeveralIterationsToRead) {
  constexpr std::size_t bytesPerIteration = 4 * net::BufferPool::bufferSize;
  server.start();
  auto leaving = server.connectBalancer();
  auto staying = server.connectBalancer();
  leaving.sendHealthCheck();
  ASSERT_NE(leaving.receiveResponse().kind, ResponseKind::none);
  server.whilePaused([&] {
    std::string input = FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestA), "body");
    while (input.size() <= bytesPerIteration) input += FakeBalancer::encodeCancellation(1000);
    leaving.send(input);
    leaving.closeWithReset();
  });
  staying.sendRequest(1, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
}

}  // namespace
}  // namespace rainhook
