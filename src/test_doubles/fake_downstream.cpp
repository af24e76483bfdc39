#include "test_doubles/fake_downstream.h"

#include <algorithm>
#include <utility>

namespace rainhook::testDoubles {

using namespace std::chrono_literals;

Next::Next(std::chrono::milliseconds takes) : takes_(takes) {
  thread_ = std::thread([this] { run(); });
}
Next::~Next() {
  over_ = true;
  thread_.join();
  for (const auto& [fd, talk] : talks_) ::close(fd);
}

std::vector<double> Next::inHand() const {
  const std::lock_guard lock(mutex_);
  return inHand_;
}

void Next::run() {
  const auto began = Clock::now();
  auto then = began;
  double sum = 0;  // call-seconds in this tenth
  while (!over_) {
    std::vector<pollfd> on{{listener_.fd(), POLLIN, 0}};
    for (const auto& [fd, talk] : talks_) on.push_back({fd, POLLIN, 0});
    ::poll(on.data(), on.size(), 1);
    const auto now = Clock::now();
    const auto busy =
        std::count_if(talks_.begin(), talks_.end(), [](const auto& t) { return t.second.due.has_value(); });
    sum += std::chrono::duration<double>(now - std::exchange(then, now)).count() * static_cast<double>(busy);
    const auto tenth = static_cast<std::size_t>((now - began) / 100ms);
    if (const std::lock_guard lock(mutex_); inHand_.size() < tenth) {
      inHand_.resize(tenth, 0);
      inHand_.back() = std::exchange(sum, 0) / 0.1;
    }
    for (std::size_t i = 1; i < on.size(); ++i) {
      if (on[i].revents == 0) continue;
      Talk& talk = talks_.at(on[i].fd);
      if (!receive(on[i].fd, talk.in)) {  // given up by closing
        ::close(on[i].fd);
        talks_.erase(on[i].fd);
        continue;
      }
      const auto head = talk.in.find("\r\n\r\n"), length = talk.in.find("Content-Length: ");
      if (talk.due || head == std::string::npos || length == std::string::npos) continue;
      const auto whole = head + 4 + std::stoul(talk.in.substr(length + 16));
      if (talk.in.size() < whole) continue;
      talk.in.erase(0, whole);
      talk.due = now + takes_;
      ++calls_;
    }
    for (auto& [fd, talk] : talks_)
      if (talk.due && *talk.due <= now)
        talk.due.reset(), send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    if ((on[0].revents & POLLIN) != 0)
      if (const int fd = listener_.accept(); fd >= 0) talks_[fd];
  }
}

}  // namespace rainhook::testDoubles
