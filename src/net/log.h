// The log: one line a matter on standard error, never waiting for whoever reads it.
#pragma once

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace rainhook::net {

enum class Matter { start, drain, engine, servers, list, clients, count };

class Log {
 public:
  template <typename... Args>
  void line(Matter matter, fmt::format_string<Args...> text, Args&&... args) {
    if (mayWrite(matter)) write(fmt::format(text, std::forward<Args>(args)...));
  }

 private:
  using Clock = std::chrono::steady_clock;
  // A second's lines of one matter are few; what was left out is told with the next second's first.
  struct Allowance {
    Clock::time_point since{};
    int lines = 0, left = 0;
  };
  static constexpr int linesASecond = 5;

  bool mayWrite(Matter matter);
  void write(std::string line);

  std::array<Allowance, static_cast<std::size_t>(Matter::count)> allowances_;
};

}  // namespace rainhook::net
