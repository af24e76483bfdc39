// The one thread: POCO's reactor with timers, signals and a turn's end. A turn is one round of the reactor;
// at its end due timers ring, then whoever asked hears of it, then connections send what they were given.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace rainhook::net {

class Reactor final : public Poco::Net::SocketReactor {
 public:
  using Clock = std::chrono::steady_clock;
  using Wait = std::chrono::nanoseconds;

  // A timer that has not rung; letting go of it takes it back.
  class Timer {
   public:
    Timer() = default;
    Timer(Timer&& other) noexcept { *this = std::move(other); }
    Timer& operator=(Timer&& other) noexcept {
      cancel();
      reactor_ = std::exchange(other.reactor_, nullptr);
      key_ = other.key_;
      return *this;
    }
    ~Timer() { cancel(); }
    void cancel() {
      if (auto* reactor = std::exchange(reactor_, nullptr)) reactor->timers_.erase(key_);
    }

   private:
    friend class Reactor;
    using Key = std::pair<Clock::time_point, std::uint64_t>;
    Timer(Reactor* reactor, Key key) : reactor_(reactor), key_(key) {}
    Reactor* reactor_ = nullptr;
    Key key_{};
  };

  [[nodiscard]] Timer after(Wait wait, std::function<void()> ring);
  void atTurnEnd(std::function<void()> hear) { hear_ = std::move(hear); }
  // Calls once at the end of this turn, after the hearer: for connections with something to send.
  void flushAtIterationEnd(std::function<void()> flush) { flushes_.push_back(std::move(flush)); }
  // Keeps a handler alive until nothing of this turn can call it any more.
  void retire(std::shared_ptr<void> handler) { retired_.push_back(std::move(handler)); }
  // Lets go of what was retired, once no turn is under way.
  void releaseRetired() { retired_.clear(); }
  // The file descriptor of the given signals, which are blocked from now on, becomes a socket of the reactor.
  void onSignals(std::initializer_list<int> signals, std::function<void(int)> hear);

 private:
  class Signals;
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { onTimeout(); }
  void endIteration();
  void ring();

  std::map<Timer::Key, std::function<void()>> timers_;  // a timer leaves when it rings or is taken back
  std::uint64_t numbered_ = 0;
  std::function<void()> hear_;
  std::vector<std::function<void()>> flushes_;
  std::vector<std::shared_ptr<void>> retired_;
  std::shared_ptr<Signals> signals_;
};

}  // namespace rainhook::net
