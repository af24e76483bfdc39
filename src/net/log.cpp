#include "net/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

namespace rainhook::net {

bool Log::mayWrite(Matter matter) {
  Allowance& allowance = allowances_[static_cast<std::size_t>(matter)];
  const auto now = Clock::now();
  if (now - allowance.since >= std::chrono::seconds(1)) {
    if (allowance.left > 0) write(fmt::format("{} more lines of this kind were left out", allowance.left));
    allowance = {now, 0, 0};
  }
  if (++allowance.lines <= linesASecond) return true;
  ++allowance.left;
  return false;
}

void Log::write(std::string line) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto text = fmt::format("{:%H:%M:%S} {}\n", now.time_since_epoch(), line);
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return;
  [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text.data(), text.size());
}

}  // namespace rainhook::net
