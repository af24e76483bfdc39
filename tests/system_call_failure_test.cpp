// Tests failures of the system calls that configure an accepted socket, such as those caused by a lack of
// memory. This file replaces these calls for the whole test program; they forward to the system unless a test
// makes one fail.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>

#include "support/test_server.h"

namespace {

/// The number of calls until one fails, including that one; 0 if none fails.
std::atomic<int> failingBufferOption{0};
std::atomic<int> failingPollRegistration{0};

/// Decrements the countdown for one call. Returns true if this call must fail.
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
  /// The number, counted from 1 after the server became idle, of the call that fails.
  int number;
};

class SystemCallFailure : public testing::TestWithParam<FailingCall> {
 protected:
  void SetUp() override {
    server.endpoints.maxDescriptors = maxDescriptors;
    server.start();
  }

  void expectHealthyResponse() {
    auto client = server.connectBalancer();
    client.sendHealthCheck();
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  }

  static constexpr int maxDescriptors = 64;
  TestServer server;
};

// Guards against an incompletely configured connection that stays in the server's tables after a system call
// has failed, and against the end of the event loop.
TEST_P(SystemCallFailure, EndsOnlyNewConnectionWhenItsConfigurationFails) {
  auto earlier = server.connectBalancer();
  earlier.sendHealthCheck();
  EXPECT_EQ(earlier.receiveResponse().kind, ResponseKind::healthy);

  ASSERT_EQ(*GetParam().countdown, 0) << "countdown is still set by another test";
  *GetParam().countdown = GetParam().number;
  auto failed = server.connectBalancer();
  EXPECT_TRUE(failed.waitUntilClosed());
  EXPECT_EQ(*GetParam().countdown, 0);

  // Opens more connections than there are descriptors. Idle ones are evicted, which requires that no part of
  // the failed connection remains.
  for (int i = 0; i < maxDescriptors + 16; ++i) expectHealthyResponse();
  std::this_thread::sleep_for(300ms);  // long enough for a sweep, which visits all connections
  expectHealthyResponse();
}

// In each iteration the first registration is made by POCO's poll for connections that can be accepted. The
// registrations for errors and for reading follow.
INSTANTIATE_TEST_SUITE_P(AcceptedSocket, SystemCallFailure,
                         testing::Values(FailingCall{"BufferOption", &failingBufferOption, 1},
                                         FailingCall{"ErrorRegistration", &failingPollRegistration, 2},
                                         FailingCall{"ReadRegistration", &failingPollRegistration, 3}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace rainhook
