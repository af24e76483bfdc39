// An open-loop caller: sends a req each so often to one server, whatever becomes of those before, and keeps a
// history of what was sent and how each was answered. When its connection breaks it opens another.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

class Caller {
 public:
  struct Sent {
    Clock::time_point at{};
    int answers = 0;
    bool done = false, broken = false;  // broken: its connection broke before the answer
    std::chrono::milliseconds took{0};
  };
  Caller(std::string address, std::string handler, std::chrono::milliseconds each,
         std::chrono::milliseconds budget, int number);
  ~Caller();
  // Sends no more, and waits for the answers of what was sent, at most a budget and a half.
  void end();
  std::map<std::string, Sent> history() const;

 private:
  void run();
  void broke();
  void answered(std::string& in);

  const std::string address_, handler_;
  const std::chrono::milliseconds each_, budget_;
  const int caller_;
  int fd_ = -1, number_ = 0;
  std::string in_;
  std::map<int, std::string> open_;  // by number on this connection
  mutable std::mutex mutex_;
  std::map<std::string, Sent> history_;
  std::atomic<bool> ending_{false}, over_{false};
  std::thread thread_;
};

}  // namespace rainhook::testDoubles
