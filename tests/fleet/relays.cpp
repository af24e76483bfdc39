#include "fleet/relays.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <deque>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <stdexcept>
#include <vector>

#include "test_doubles/socket_helpers.h"

namespace rainhook::fleet {

using Clock = std::chrono::steady_clock;
using Pair = std::pair<std::size_t, std::size_t>;

using testDoubles::plain;

struct Relays::Work {
  struct Link {
    Pair pair;
    sockaddr_in target{};
    int datagrams = -1, listener = -1;
    Fault fault;
    Clock::time_point spentFrom{};
    std::size_t spent = 0;
  };
  // One connection: what `near` sends goes the way of the pair, what `far` sends the way back.
  struct Talk {
    int near = -1, far = -1;
    Pair pair;
  };
  struct Late {
    Clock::time_point at;
    std::uint64_t number;
    int fd;
    bool datagram;
    sockaddr_in target;
    std::string bytes;
    bool operator<(const Late& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  explicit Work(std::uint64_t seed) : chance(seed), poll(::epoll_create1(EPOLL_CLOEXEC)) {
    thread = std::thread([this] { run(); });
  }
  ~Work() {
    over = true;
    thread.join();
    for (auto& [pair, link] : links) ::close(link.datagrams), ::close(link.listener);
    for (auto& [fd, talk] : talks) ::close(fd);
    ::close(poll);
  }

  void watch(int fd) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    ::epoll_ctl(poll, EPOLL_CTL_ADD, fd, &event);
  }
  bool happens(double share) { return share > 0 && std::uniform_real_distribution<>()(chance) < share; }

  void run() {
    std::array<epoll_event, 64> events{};
    while (!over) {
      const int got = ::epoll_wait(poll, events.data(), static_cast<int>(events.size()), 2);
      const std::lock_guard lock(mutex);
      for (int i = 0; i < got; ++i) {
        const int fd = events[static_cast<std::size_t>(i)].data.fd;
        if (const auto it = byFd.find(fd); it != byFd.end())
          fd == links.at(it->second).datagrams ? datagrams(links.at(it->second))
                                               : accept(links.at(it->second));
        else if (talks.contains(fd))
          pass(fd);
      }
      while (!late.empty() && late.top().at <= Clock::now()) {
        const Late& next = late.top();
        next.datagram ? static_cast<void>(::sendto(next.fd, next.bytes.data(), next.bytes.size(), 0,
                                                   plain(next.target), sizeof next.target))
                      : write(next.fd, next.bytes);
        late.pop();
      }
    }
  }
  void datagrams(Link& link) {
    std::array<char, 4096> part{};
    for (int i = 0; i < 256; ++i) {
      const auto size = ::recv(link.datagrams, part.data(), part.size(), MSG_DONTWAIT);
      if (size < 0) return;
      std::string bytes(part.data(), static_cast<std::size_t>(size));
      const Fault& fault = link.fault;
      if (happens(fault.loss)) continue;
      const auto now = Clock::now();
      if (fault.bytesASecond > 0) {
        if (now - link.spentFrom > std::chrono::seconds(1)) link.spentFrom = now, link.spent = 0;
        link.spent += bytes.size();
        if (link.spent > fault.bytesASecond) continue;
      }
      if (!bytes.empty() && happens(fault.spoilt))
        bytes[chance(static_cast<std::uint32_t>(bytes.size()))] ^= 0x20;
      const auto at =
          now + fault.delay +
          (happens(fault.reordered) ? std::chrono::milliseconds(chance(100)) : std::chrono::milliseconds(0));
      for (int times = happens(fault.doubled) ? 2 : 1; times > 0; --times)
        late.push({at, ++number, link.datagrams, true, link.target, bytes});
      ++passed;
    }
  }
  void accept(const Link& link) {
    const int near = ::accept4(link.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (near < 0) return;
    const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(far, plain(link.target), sizeof link.target) != 0) {
      ::close(near), ::close(far);
      return;
    }
    talks[near] = talks[far] = Talk{near, far, link.pair};
    watch(near), watch(far);
  }
  const Fault& faultOf(const Talk& talk, int from) const {
    const auto it = links.find(from == talk.near ? talk.pair : Pair{talk.pair.second, talk.pair.first});
    static const Fault none;
    return it == links.end() ? none : it->second.fault;
  }
  void pass(int fd) {
    const Talk talk = talks.at(fd);
    std::array<char, 16384> part{};
    const auto size = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
    if (size < 0) return;
    if (size == 0) {
      talks.erase(talk.near), talks.erase(talk.far);
      ::close(talk.near), ::close(talk.far);
      return;
    }
    const Fault& fault = faultOf(talk, fd);
    if (fault.loss >= 1 || fault.silent) return;  // it hangs
    const int onto = fd == talk.near ? talk.far : talk.near;
    std::string bytes(part.data(), static_cast<std::size_t>(size));
    if (fault.delay.count() > 0)
      late.push({Clock::now() + fault.delay, ++number, onto, false, {}, std::move(bytes)});
    else
      write(onto, bytes);
  }
  void write(int fd, const std::string& bytes) const {
    if (!talks.contains(fd)) return;
    for (std::size_t done = 0; done < bytes.size();) {
      const auto size = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size <= 0) return;
      done += static_cast<std::size_t>(size);
    }
  }

  pcg32 chance;
  const int poll;
  mutable std::mutex mutex;
  std::map<Pair, Link> links;
  std::map<int, Pair> byFd;
  std::map<int, Talk> talks;
  std::priority_queue<Late> late;
  std::uint64_t number = 0;
  std::atomic<std::uint64_t> passed{0};
  std::atomic<bool> over{false};
  std::thread thread;
};

Relays::Relays(std::uint64_t seed) : work_(std::make_unique<Work>(seed)) {}
Relays::~Relays() = default;

std::string Relays::open(std::size_t from, std::size_t to, const std::string& address) {
  const std::lock_guard lock(work_->mutex);
  Work::Link& link = work_->links[{from, to}];
  link.pair = {from, to};
  link.target = testDoubles::addressOf(address);
  // A port that is free for both; the system names one for the first.
  for (int attempt = 0; attempt < 100; ++attempt) {
    sockaddr_in at = testDoubles::addressOf("127.0.0.1:0");
    link.datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    link.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socklen_t size = sizeof at;
    if (::bind(link.datagrams, plain(at), sizeof at) == 0 &&
        ::getsockname(link.datagrams, reinterpret_cast<sockaddr*>(&at), &size) == 0 &&
        ::bind(link.listener, plain(at), sizeof at) == 0 && ::listen(link.listener, 16) == 0) {
      work_->byFd[link.datagrams] = work_->byFd[link.listener] = link.pair;
      work_->watch(link.datagrams), work_->watch(link.listener);
      return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }
    ::close(link.datagrams), ::close(link.listener);
  }
  throw std::runtime_error("no port for a relay");
}

void Relays::lead(std::size_t to, const std::string& address) {
  const std::lock_guard lock(work_->mutex);
  for (auto& [pair, link] : work_->links)
    if (pair.second == to) link.target = testDoubles::addressOf(address);
}

void Relays::set(std::size_t from, std::size_t to, const Fault& fault) {
  const std::lock_guard lock(work_->mutex);
  if (const auto it = work_->links.find({from, to}); it != work_->links.end()) it->second.fault = fault;
}

void Relays::setAll(const Fault& fault) {
  const std::lock_guard lock(work_->mutex);
  for (auto& [pair, link] : work_->links) link.fault = fault;
}

std::uint64_t Relays::passed() const { return work_->passed; }

}  // namespace rainhook::fleet
