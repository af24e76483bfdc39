// The system refuses: a call of the set-up of a socket fails, as where it has no memory left. The calls are
// taken over here for the whole test program and do what the system does until one is told to fail.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>

#include "support/test_server.h"

namespace {

std::atomic<int> refusedOption{0}, refusedInterest{0};  // which call from now on is refused, 0 for none

bool refuse(std::atomic<int>& which) {
  for (int now = which.load(); now > 0;)
    if (which.compare_exchange_weak(now, now - 1)) return now == 1;
  return false;
}

}  // namespace

extern "C" int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
  if (name == SO_SNDBUF && refuse(refusedOption)) return errno = ENOBUFS, -1;
  return static_cast<int>(::syscall(SYS_setsockopt, fd, level, name, value, size));
}
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  if (operation == EPOLL_CTL_ADD && refuse(refusedInterest)) return errno = ENOMEM, -1;
  return static_cast<int>(::syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace rainhook {
namespace {

using namespace std::chrono_literals;

// One connection is refused its set-up; the next is served, rooms are made, and nothing of the first is left.
void refusedOnce(std::atomic<int>& which, int call) {
  TestServer server;
  server.endpoints.maxDescriptors = 64;
  server.start();
  auto before = server.connectBalancer();
  before.sendHealthCheck();
  EXPECT_EQ(before.receiveResponse().kind, ResponseKind::healthy);
  which = call;
  auto refused = server.connectBalancer();
  EXPECT_TRUE(refused.waitUntilClosed());
  EXPECT_EQ(which, 0);
  for (int i = 0; i < 80; ++i) {
    auto after = server.connectBalancer();
    after.sendHealthCheck();
    EXPECT_EQ(after.receiveResponse().kind, ResponseKind::healthy);
  }
  std::this_thread::sleep_for(300ms);  // the sweep goes through all that is entered
  auto last = server.connectBalancer();
  last.sendHealthCheck();
  EXPECT_EQ(last.receiveResponse().kind, ResponseKind::healthy);
}

TEST(SystemRefuses, AnOptionOfAnAcceptedSocketAndOnlyThatCallerIsGone) { refusedOnce(refusedOption, 1); }

// The first interest of a turn is that of POCO's look whether anything waits to be accepted; then come those
// in errors and in what there is to read.
TEST(SystemRefuses, TheInterestInErrorsOfAnAcceptedSocketAndOnlyThatCallerIsGone) {
  refusedOnce(refusedInterest, 2);
}
TEST(SystemRefuses, TheInterestInReadingAnAcceptedSocketAndOnlyThatCallerIsGone) {
  refusedOnce(refusedInterest, 3);
}

}  // namespace
}  // namespace rainhook
