#include "net/reactor.h"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace rainhook::net {

using namespace std::chrono_literals;

/// Makes signals readable through the reactor, by a signalfd that is wrapped as a socket.
class Reactor::SignalSocket {
 public:
  SignalSocket(Reactor& reactor, std::initializer_list<int> signals, std::function<void(int)> handler)
      : reactor_(reactor), handler_(std::move(handler)) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : signals) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    socket_ = Poco::Net::StreamSocket(
        new Poco::Net::StreamSocketImpl(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC)));
    reactor_.addEventHandler(socket_, observer_);
  }
  SignalSocket(const SignalSocket&) = delete;
  SignalSocket& operator=(const SignalSocket&) = delete;
  ~SignalSocket() { reactor_.removeEventHandler(socket_, observer_); }

 private:
  void onReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    signalfd_siginfo info{};
    while (::read(socket_.impl()->sockfd(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      handler_(static_cast<int>(info.ssi_signo));
  }

  Reactor& reactor_;
  std::function<void(int)> handler_;
  Poco::Net::StreamSocket socket_;
  Poco::NObserver<SignalSocket, Poco::Net::ReadableNotification> observer_{*this, &SignalSocket::onReadable};
};

Reactor::Timer& Reactor::Timer::operator=(Timer&& other) noexcept {
  cancel();
  reactor_ = std::exchange(other.reactor_, nullptr);
  key_ = other.key_;
  return *this;
}

void Reactor::Timer::cancel() {
  if (auto* reactor = std::exchange(reactor_, nullptr)) reactor->timers_.erase(key_);
}

void Reactor::onSignals(std::initializer_list<int> signals, std::function<void(int)> handler) {
  signalSocket_ = std::make_shared<SignalSocket>(*this, signals, std::move(handler));
}

Reactor::Timer Reactor::after(Wait wait, std::function<void()> callback) {
  const Timer::Key key{Clock::now() + std::max(wait, Wait::zero()), ++lastTimerNumber_};
  timers_.emplace(key, std::move(callback));
  return {this, key};
}

// POCO calls onBusy() at the beginning of an iteration with events, and onTimeout() or onIdle() at the end of
// an iteration in which nothing was readable. After an iteration with events the next poll does not wait, so
// that the end-of-iteration work runs before more input is read.
void Reactor::onBusy() {
  endIteration();
  setTimeout(0);
}

void Reactor::onTimeout() {
  constexpr Wait maxWait = 1s;
  endIteration();
  Wait wait = timers_.empty() ? maxWait : timers_.begin()->first.first - Clock::now();
  if (!pendingFlushes_.empty()) wait = 0s;  // added while other connections were flushed
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(std::clamp<Wait>(wait, 0s, maxWait));
  constexpr Poco::Timespan::TimeDiff microsPerMilli = 1000;
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(millis.count()) * microsPerMilli));
}

void Reactor::endIteration() {
  fireDueTimers();
  if (iterationEndHandler_) iterationEndHandler_();
  for (const auto& flush : std::exchange(pendingFlushes_, {})) flush();
  retired_.clear();
}

// A timer that one of these callbacks sets fires in the next iteration at the earliest, even if it is due
// immediately.
void Reactor::fireDueTimers() {
  const auto now = Clock::now();
  const auto lastNumberBefore = lastTimerNumber_;
  for (auto it = timers_.begin(); it != timers_.end() && it->first.first <= now;) {
    if (it->first.second > lastNumberBefore) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second);
    timers_.erase(it);
    callback();
    it = timers_.begin();
  }
}

}  // namespace rainhook::net
