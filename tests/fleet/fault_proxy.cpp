#include "fleet/fault_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "test_doubles/socket_helpers.h"

namespace rainhook::fleet {
namespace {

using Clock = std::chrono::steady_clock;
using testDoubles::asSockaddr;

/// The sending and the receiving process.
using LinkId = std::pair<std::size_t, std::size_t>;

constexpr int pollIntervalMs = 2;
constexpr int maxDatagramsPerRead = 256;
constexpr int maxReorderDelayMs = 100;
constexpr int maxPortAttempts = 100;
constexpr int listenBacklog = 16;
constexpr char corruptedBit = 0x20;

LinkId reversed(const LinkId& link) { return {link.second, link.first}; }

}  // namespace

class FaultProxy::Worker {
 public:
  explicit Worker(std::uint64_t seed) : random_(seed), poll_(::epoll_create1(EPOLL_CLOEXEC)) {
    thread_ = std::thread([this] { run(); });
  }
  ~Worker() {
    isStopped_ = true;
    thread_.join();
    for (auto& [id, link] : links_) {
      ::close(link.datagramSocket);
      ::close(link.listener);
    }
    for (auto& [descriptor, connection] : connections_) ::close(descriptor);
    ::close(poll_);
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  std::string open(const LinkId& id, const std::string& address) {
    const std::lock_guard lock(mutex_);
    Link& link = links_[id];
    link.id = id;
    link.target = testDoubles::parseSocketAddress(address);
    for (int attempt = 0; attempt < maxPortAttempts; ++attempt)
      if (const int port = bindSockets(link); port != 0) return "127.0.0.1:" + std::to_string(port);
    throw std::runtime_error("no port of 127.0.0.1 that is free for UDP and TCP found in " +
                             std::to_string(maxPortAttempts) + " attempts for the fault proxy to " + address);
  }

  void redirect(std::size_t to, const std::string& address) {
    const std::lock_guard lock(mutex_);
    for (auto& [id, link] : links_)
      if (id.second == to) link.target = testDoubles::parseSocketAddress(address);
  }

  void setFault(const LinkId& id, const Fault& fault) {
    const std::lock_guard lock(mutex_);
    if (const auto found = links_.find(id); found != links_.end()) found->second.fault = fault;
  }

  void setAllFaults(const Fault& fault) {
    const std::lock_guard lock(mutex_);
    for (auto& [id, link] : links_) link.fault = fault;
  }

  [[nodiscard]] std::uint64_t forwardedDatagrams() const { return forwardedDatagrams_; }

 private:
  struct Link {
    LinkId id;
    sockaddr_in target{};
    int datagramSocket = -1;
    int listener = -1;
    Fault fault;
    Clock::time_point rateWindowStart{};
    std::size_t bytesInRateWindow = 0;
  };
  /// A forwarded TCP connection. Bytes from the client's side go in the direction of the link, bytes from the
  /// server's side in the opposite direction.
  struct Connection {
    int clientSide = -1;
    int serverSide = -1;
    LinkId link;
  };
  struct DelayedBytes {
    Clock::time_point due;
    std::uint64_t sequence;  ///< keeps the order of bytes that are due at the same time
    int descriptor;
    bool isDatagram;
    sockaddr_in target;
    std::string bytes;
    bool operator<(const DelayedBytes& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };

  /// Binds both sockets of the link to one port. Returns the port, or 0 if the port that the system chose for
  /// UDP is not free for TCP.
  int bindSockets(Link& link) {
    sockaddr_in address = testDoubles::parseSocketAddress("127.0.0.1:0");
    socklen_t size = sizeof address;
    link.datagramSocket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    link.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::bind(link.datagramSocket, asSockaddr(address), sizeof address) == 0 &&
        ::getsockname(link.datagramSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
        ::bind(link.listener, asSockaddr(address), sizeof address) == 0 &&
        ::listen(link.listener, listenBacklog) == 0) {
      linkOfSocket_[link.datagramSocket] = link.id;
      linkOfSocket_[link.listener] = link.id;
      watch(link.datagramSocket);
      watch(link.listener);
      return ntohs(address.sin_port);
    }
    ::close(link.datagramSocket);
    ::close(link.listener);
    return 0;
  }

  void watch(int descriptor) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    ::epoll_ctl(poll_, EPOLL_CTL_ADD, descriptor, &event);
  }

  bool happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<>()(random_) < probability;
  }

  void run() {
    std::array<epoll_event, 64> events{};
    while (!isStopped_) {
      const int count = ::epoll_wait(poll_, events.data(), static_cast<int>(events.size()), pollIntervalMs);
      const std::lock_guard lock(mutex_);
      for (int i = 0; i < count; ++i) onReadable(events[static_cast<std::size_t>(i)].data.fd);
      sendDueBytes();
    }
  }

  void onReadable(int descriptor) {
    const auto found = linkOfSocket_.find(descriptor);
    if (found == linkOfSocket_.end()) {
      if (connections_.contains(descriptor)) forward(descriptor);
      return;
    }
    Link& link = links_.at(found->second);
    if (descriptor == link.datagramSocket)
      receiveDatagrams(link);
    else
      accept(link);
  }

  void sendDueBytes() {
    while (!delayed_.empty() && delayed_.top().due <= Clock::now()) {
      const DelayedBytes& next = delayed_.top();
      if (next.isDatagram)
        ::sendto(next.descriptor, next.bytes.data(), next.bytes.size(), 0, asSockaddr(next.target),
                 sizeof next.target);
      else
        write(next.descriptor, next.bytes);
      delayed_.pop();
    }
  }

  void receiveDatagrams(Link& link) {
    std::array<char, 4096> buffer{};
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
      const auto size = ::recv(link.datagramSocket, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size < 0) return;
      forwardDatagram(link, std::string(buffer.data(), static_cast<std::size_t>(size)));
    }
  }

  void forwardDatagram(Link& link, std::string bytes) {
    const Fault& fault = link.fault;
    if (happens(fault.lossRatio)) return;
    const auto now = Clock::now();
    if (fault.bytesPerSecond > 0 && exceedsRate(link, bytes.size(), now)) return;
    if (!bytes.empty() && happens(fault.corruptRatio))
      bytes[random_(static_cast<std::uint32_t>(bytes.size()))] ^= corruptedBit;
    auto due = now + fault.delay;
    if (happens(fault.reorderRatio)) due += std::chrono::milliseconds(random_(maxReorderDelayMs));
    const int copies = happens(fault.duplicateRatio) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
      delayed_.push({due, ++sequence_, link.datagramSocket, true, link.target, bytes});
    ++forwardedDatagrams_;
  }

  static bool exceedsRate(Link& link, std::size_t size, Clock::time_point now) {
    if (now - link.rateWindowStart > std::chrono::seconds(1)) {
      link.rateWindowStart = now;
      link.bytesInRateWindow = 0;
    }
    link.bytesInRateWindow += size;
    return link.bytesInRateWindow > link.fault.bytesPerSecond;
  }

  void accept(const Link& link) {
    const int clientSide = ::accept4(link.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (clientSide < 0) return;
    const int serverSide = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(serverSide, asSockaddr(link.target), sizeof link.target) != 0) {
      ::close(clientSide);
      ::close(serverSide);
      return;
    }
    const Connection connection{clientSide, serverSide, link.id};
    connections_[clientSide] = connection;
    connections_[serverSide] = connection;
    watch(clientSide);
    watch(serverSide);
  }

  [[nodiscard]] const Fault& faultOf(const Connection& connection, int sender) const {
    static const Fault none;
    const bool isForward = sender == connection.clientSide;
    const auto found = links_.find(isForward ? connection.link : reversed(connection.link));
    return found == links_.end() ? none : found->second.fault;
  }

  void forward(int sender) {
    const Connection connection = connections_.at(sender);
    std::array<char, 16384> buffer{};
    const auto size = ::recv(sender, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0) return;
    if (size == 0) {
      close(connection);
      return;
    }
    const Fault& fault = faultOf(connection, sender);
    if (fault.lossRatio >= 1 || fault.isBlackhole) return;
    const int receiver = sender == connection.clientSide ? connection.serverSide : connection.clientSide;
    std::string bytes(buffer.data(), static_cast<std::size_t>(size));
    if (fault.delay.count() > 0)
      delayed_.push({Clock::now() + fault.delay, ++sequence_, receiver, false, {}, std::move(bytes)});
    else
      write(receiver, bytes);
  }

  void close(const Connection& connection) {
    connections_.erase(connection.clientSide);
    connections_.erase(connection.serverSide);
    ::close(connection.clientSide);
    ::close(connection.serverSide);
  }

  void write(int descriptor, const std::string& bytes) const {
    if (!connections_.contains(descriptor)) return;
    for (std::size_t sent = 0; sent < bytes.size();) {
      const auto size =
          ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size <= 0) return;
      sent += static_cast<std::size_t>(size);
    }
  }

  pcg32 random_;
  const int poll_;
  std::mutex mutex_;  ///< guards all members declared below except the atomics
  std::map<LinkId, Link> links_;
  std::map<int, LinkId> linkOfSocket_;
  std::map<int, Connection> connections_;  ///< each connection is stored under both of its descriptors
  std::priority_queue<DelayedBytes> delayed_;
  std::uint64_t sequence_ = 0;
  std::atomic<std::uint64_t> forwardedDatagrams_{0};
  std::atomic<bool> isStopped_{false};
  std::thread thread_;
};

FaultProxy::FaultProxy(std::uint64_t seed) : worker_(std::make_unique<Worker>(seed)) {}
FaultProxy::~FaultProxy() = default;

std::string FaultProxy::open(std::size_t from, std::size_t to, const std::string& address) {
  return worker_->open({from, to}, address);
}

void FaultProxy::redirect(std::size_t to, const std::string& address) { worker_->redirect(to, address); }

void FaultProxy::setFault(std::size_t from, std::size_t to, const Fault& fault) {
  worker_->setFault({from, to}, fault);
}

void FaultProxy::setAllFaults(const Fault& fault) { worker_->setAllFaults(fault); }

std::uint64_t FaultProxy::forwardedDatagrams() const { return worker_->forwardedDatagrams(); }

}  // namespace rainhook::fleet
