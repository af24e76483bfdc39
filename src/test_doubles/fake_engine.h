// A stand-in for the engine: runs each launch for a fixed time, half before and half after its one call, and
// can be made to hang. Says how often each req was launched, and how many ran when.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

class Engine {
 public:
  Engine(std::chrono::milliseconds work, bool calls, bool cold = false);
  ~Engine();
  const std::string& address() const { return listener_.address(); }
  // Keeps the link and says nothing more, as long as it is so.
  void hang(bool does) { hangs_ = does; }
  std::map<std::string, int> launches() const;
  // How many had begun and not ended, at calls too, after each change; by the time since this engine started.
  std::vector<std::pair<Clock::duration, std::size_t>> running() const;

 private:
  struct Due {
    Clock::time_point at;
    std::string name;
    bool ends = false, halts = false;  // neither: it comes to its call
    bool operator<(const Due& other) const { return at > other.at; }
  };
  void run();
  void heard(const std::string& line);
  void say(const std::string& line);
  void count();

  const std::chrono::milliseconds work_;
  const bool calls_, cold_;
  const Clock::time_point startedAt_ = Clock::now();
  Listener listener_;
  int link_ = -1;
  std::string in_;
  std::uint64_t notices_ = 0;
  std::priority_queue<Due> due_;
  std::map<std::string, int> running_;  // 0 first half, 1 at its call, 2 second half
  mutable std::mutex mutex_;
  std::map<std::string, int> launches_;
  std::vector<std::pair<Clock::duration, std::size_t>> counts_;
  std::atomic<bool> hangs_{false}, over_{false};
  std::thread thread_;
};

}  // namespace rainhook::testDoubles
