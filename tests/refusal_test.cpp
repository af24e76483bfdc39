// The system refuses: a call of the set-up of a socket fails, as where it has no memory left. The calls are
// taken over here for the whole test program and do what the system does until one is told to fail.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>

#include "fake_peers.h"

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

using What = Answer::What;

// One connection is refused its set-up; the next is served, rooms are made, and nothing of the first is left.
void refusedOnce(std::atomic<int>& which, int call) {
  Peers w;
  w.place.maxDescriptors = 64;
  w.start();
  auto before = w.balancer();
  before.health();
  EXPECT_EQ(before.answer().what, What::good);
  which = call;
  auto refused = w.balancer();
  EXPECT_TRUE(refused.endsNow());
  EXPECT_EQ(which, 0);
  for (int i = 0; i < 80; ++i) {
    auto after = w.balancer();
    after.health();
    EXPECT_EQ(after.answer().what, What::good);
  }
  std::this_thread::sleep_for(300ms);  // the sweep goes through all that is entered
  auto last = w.balancer();
  last.health();
  EXPECT_EQ(last.answer().what, What::good);
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
