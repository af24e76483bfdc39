/// @file
/// The event loop: POCO's socket reactor with timers, signals, and an end to each iteration.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace rainhook::net {

/// Runs everything on one thread. An iteration handles the sockets that are ready; at its end, due timers
/// fire, then the iteration-end handler is called, then connections send what was written to them.
class Reactor final : public Poco::Net::SocketReactor {
 public:
  /// The time of all timers.
  using Clock = std::chrono::steady_clock;
  /// How long a timer waits.
  using Wait = std::chrono::nanoseconds;

  /// A timer that has not fired yet. Destroying or overwriting it cancels it. Must not outlive its reactor.
  class Timer {
   public:
    /// A timer that never fires.
    Timer() = default;
    /// Takes the other timer over.
    Timer(Timer&& other) noexcept { *this = std::move(other); }
    /// Cancels this timer and takes the other one over.
    Timer& operator=(Timer&& other) noexcept;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    /// Has no effect once the timer has fired.
    void cancel();

   private:
    friend class Reactor;
    /// The due time, and a number that tells timers of one due time apart.
    using Key = std::pair<Clock::time_point, std::uint64_t>;
    Timer(Reactor* reactor, Key key) : reactor_(reactor), key_(key) {}
    Reactor* reactor_ = nullptr;
    Key key_{};
  };

  /// Calls `callback` once, at the end of the first iteration after `wait`, at the earliest in the next
  /// iteration where it is set from a timer's callback.
  [[nodiscard]] Timer after(Wait wait, std::function<void()> callback);
  /// `handler` is called at the end of every iteration; replaces the one before, an empty one removes it.
  void setIterationEndHandler(std::function<void()> handler) { iterationEndHandler_ = std::move(handler); }
  /// Calls `flush` once at the end of this iteration, after the handler: for connections with output.
  void flushAtIterationEnd(std::function<void()> flush) { pendingFlushes_.push_back(std::move(flush)); }
  /// Keeps an event handler alive until nothing of this iteration can call it any more.
  void retire(std::shared_ptr<void> eventHandler) { retired_.push_back(std::move(eventHandler)); }
  /// Destroys what was retired. Only to be called while run() does not execute.
  void releaseRetired() { retired_.clear(); }
  /// Blocks the given signals for the process; from now on `handler` is called on the reactor's thread for
  /// each.
  void onSignals(std::initializer_list<int> signals, std::function<void(int)> handler);

 private:
  class SignalSocket;
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { onTimeout(); }
  void endIteration();
  void fireDueTimers();

  /// A timer leaves when it fires or is cancelled.
  std::map<Timer::Key, std::function<void()>> timers_;
  std::uint64_t lastTimerNumber_ = 0;
  std::function<void()> iterationEndHandler_;
  std::vector<std::function<void()>> pendingFlushes_;
  std::vector<std::shared_ptr<void>> retired_;
  std::shared_ptr<SignalSocket> signalSocket_;
};

}  // namespace rainhook::net
