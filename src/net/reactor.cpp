#include "net/reactor.h"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>

namespace rainhook::net {

using namespace std::chrono_literals;

class Reactor::Signals {
 public:
  Signals(Reactor& reactor, std::initializer_list<int> signals, std::function<void(int)> hear)
      : reactor_(reactor), hear_(std::move(hear)) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : signals) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    socket_ = Poco::Net::StreamSocket(
        new Poco::Net::StreamSocketImpl(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)));
    reactor_.addEventHandler(socket_, observer_);
  }
  ~Signals() { reactor_.removeEventHandler(socket_, observer_); }

 private:
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    signalfd_siginfo info{};
    while (::read(socket_.impl()->sockfd(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      hear_(static_cast<int>(info.ssi_signo));
  }
  Reactor& reactor_;
  std::function<void(int)> hear_;
  Poco::Net::StreamSocket socket_;
  Poco::NObserver<Signals, Poco::Net::ReadableNotification> observer_{*this, &Signals::readable};
};

void Reactor::onSignals(std::initializer_list<int> signals, std::function<void(int)> hear) {
  signals_ = std::make_shared<Signals>(*this, signals, std::move(hear));
}

Reactor::Timer Reactor::after(Wait wait, std::function<void()> ring) {
  const Timer::Key key{Clock::now() + std::max(wait, Wait::zero()), ++numbered_};
  timers_.emplace(key, std::move(ring));
  return {this, key};
}

// POCO tells of the beginning of a turn with events and of the end of one in which nothing was readable.
// After a turn with events the next round does not wait, so that the turn's end comes before any more is
// read.
void Reactor::onBusy() {
  endIteration();
  setTimeout(0);
}
void Reactor::onTimeout() {
  endIteration();
  Wait wait = timers_.empty() ? Wait(1s) : timers_.begin()->first.first - Clock::now();
  if (!flushes_.empty()) wait = 0s;  // given to send while others sent
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(std::clamp<Wait>(wait, 0s, 1s));
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(millis.count()) * 1000));
}

void Reactor::endIteration() {
  ring();
  if (hear_) hear_();
  for (const auto& flush : std::exchange(flushes_, {})) flush();
  retired_.clear();
}

// Rings what is due now; what a ring sets for at once waits for the next turn.
void Reactor::ring() {
  const auto now = Clock::now();
  const auto newest = numbered_;
  for (auto it = timers_.begin(); it != timers_.end() && it->first.first <= now;) {
    if (it->first.second > newest) {
      ++it;
      continue;
    }
    const auto ring = std::move(it->second);
    timers_.erase(it);
    ring();
    it = timers_.begin();
  }
}

}  // namespace rainhook::net
