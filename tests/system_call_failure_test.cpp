// A system call that sets up an accepted socket fails, as where the system has no memory left. The calls are
// interposed here for the whole test program, and do what the system does until one is told to fail.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>

#include "support/test_server.h"

namespace {

/// Which call from now on fails, counted from 1; 0 for none.
std::atomic<int> failingBufferOption{0};
std::atomic<int> failingPollRegistration{0};

/// Counts one call down; true for the one that is to fail.
bool shouldFail(std::atomic<int>& countdown) {
  int current = countdown.load();
  while (current > 0)
    if (countdown.compare_exchange_weak(current, current - 1)) return current == 1;
  return false;
}

}  // namespace

extern "C" int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
  if (name == SO_SNDBUF && shouldFail(failingBufferOption)) {
    errno = ENOBUFS;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_setsockopt, fd, level, name, value, size));
}

extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  if (operation == EPOLL_CTL_ADD && shouldFail(failingPollRegistration)) {
    errno = ENOMEM;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace rainhook {
namespace {

using namespace std::chrono_literals;

struct FailingCall {
  const char* name;
  std::atomic<int>* countdown;
  /// Which of these calls fails after the server has become idle.
  int number;
};

class SystemCallFailure : public testing::TestWithParam<FailingCall> {
 protected:
  void SetUp() override {
    server.endpoints.maxDescriptors = maxDescriptors;
    server.start();
  }

  void expectHealthyAnswer() {
    auto client = server.connectBalancer();
    client.sendHealthCheck();
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  }

  static constexpr int maxDescriptors = 64;
  TestServer server;
};

TEST_P(SystemCallFailure, EndsOnlyTheConnectionThatWasBeingSetUp) {
  auto before = server.connectBalancer();
  before.sendHealthCheck();
  EXPECT_EQ(before.receiveResponse().kind, ResponseKind::healthy);

  ASSERT_EQ(*GetParam().countdown, 0) << "left over from another test";
  *GetParam().countdown = GetParam().number;
  auto refused = server.connectBalancer();
  EXPECT_TRUE(refused.waitUntilClosed());
  EXPECT_EQ(*GetParam().countdown, 0);

  // More connections than there are descriptors: idle ones are evicted, so nothing of the failed one is left.
  for (int i = 0; i < maxDescriptors + 16; ++i) expectHealthyAnswer();
  std::this_thread::sleep_for(300ms);  // a sweep looks at all connections
  expectHealthyAnswer();
}

// The first registration of an iteration is that of POCO's look whether anything waits to be accepted; then
// come those for errors and for reading.
INSTANTIATE_TEST_SUITE_P(AcceptedSocket, SystemCallFailure,
                         testing::Values(FailingCall{"BufferOption", &failingBufferOption, 1},
                                         FailingCall{"ErrorRegistration", &failingPollRegistration, 2},
                                         FailingCall{"ReadRegistration", &failingPollRegistration, 3}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace rainhook
