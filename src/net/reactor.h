/// @file
/// The event loop: POCO's socket reactor with timers, signal handling and work at the end of each iteration.
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

/// Runs all handlers on one thread. An iteration handles the sockets that are ready. At its end, the reactor
/// fires due timers, then calls the iteration-end handler, and then lets connections send their output.
class Reactor final : public Poco::Net::SocketReactor {
 public:
  /// The clock of all timers.
  using Clock = std::chrono::steady_clock;
  /// The delay of a timer.
  using Wait = std::chrono::nanoseconds;

  /// Handle of a timer. Destroying or overwriting it cancels the timer. Must not outlive its reactor.
  class Timer {
   public:
    /// Creates a handle without a timer.
    Timer() = default;
    /// Takes over the other handle's timer.
    Timer(Timer&& other) noexcept { *this = std::move(other); }
    /// Cancels this timer and takes over the other handle's timer.
    Timer& operator=(Timer&& other) noexcept;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    /// Cancels the timer; has no effect once it has fired.
    void cancel();

   private:
    friend class Reactor;
    /// The due time, and a number that distinguishes timers with the same due time.
    using Key = std::pair<Clock::time_point, std::uint64_t>;
    Timer(Reactor* reactor, Key key) : reactor_(reactor), key_(key) {}
    Reactor* reactor_ = nullptr;
    Key key_{};
  };

  /// Calls `callback` once, at the end of the first iteration after `wait` has passed. A timer that is set in
  /// a timer's callback fires in the next iteration at the earliest.
  [[nodiscard]] Timer after(Wait wait, std::function<void()> callback);
  /// Calls `handler` at the end of every iteration. Replaces the previous handler; an empty one removes it.
  void setIterationEndHandler(std::function<void()> handler) { iterationEndHandler_ = std::move(handler); }
  /// Calls `flush` once at the end of this iteration, after the iteration-end handler. Connections use it to
  /// send their output.
  void flushAtIterationEnd(std::function<void()> flush) { pendingFlushes_.push_back(std::move(flush)); }
  /// Keeps an event handler alive until the end of this iteration, while the reactor may still call it.
  void retire(std::shared_ptr<void> eventHandler) { retired_.push_back(std::move(eventHandler)); }
  /// Drops the references to retired event handlers. Must not be called while run() executes.
  void releaseRetired() { retired_.clear(); }
  /// Blocks the given signals for the calling thread and the threads that it creates later. From now on, the
  /// reactor calls `handler` on its thread for each of these signals that arrives.
  void onSignals(std::initializer_list<int> signals, std::function<void(int)> handler);

 private:
  class SignalSocket;
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { onTimeout(); }
  void endIteration();
  void fireDueTimers();

  /// Timers that have neither fired nor been cancelled.
  std::map<Timer::Key, std::function<void()>> timers_;
  std::uint64_t lastTimerNumber_ = 0;
  std::function<void()> iterationEndHandler_;
  std::vector<std::function<void()>> pendingFlushes_;
  std::vector<std::shared_ptr<void>> retired_;
  std::shared_ptr<SignalSocket> signalSocket_;
};

}  // namespace rainhook::net
