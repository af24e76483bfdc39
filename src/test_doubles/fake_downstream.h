// A stand-in for the next tier, shared by all servers: answers each call after a fixed time, and says how
// many calls it had in hand at most, by the time that each was there.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

class Next {
 public:
  explicit Next(std::chrono::milliseconds takes);
  ~Next();
  const std::string& address() const { return listener_.address(); }
  // Calls in hand, on average over each tenth of a second so far.
  std::vector<double> inHand() const;
  std::uint64_t calls() const { return calls_; }

 private:
  struct Talk {
    std::string in;
    std::optional<Clock::time_point> due;
  };
  void run();

  const std::chrono::milliseconds takes_;
  Listener listener_;
  std::map<int, Talk> talks_;
  mutable std::mutex mutex_;
  std::vector<double> inHand_;
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace rainhook::testDoubles
