/// @file
/// The links between the processes of a test: for each ordered pair a proxy for UDP and one for TCP, which
/// injects faults in one direction.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace rainhook::fleet {

/// What a link does to what goes over it in one direction. Ratios count datagrams, from 0 to 1.
struct Fault {
  double lossRatio = 0;  ///< 1 blocks TCP too
  double duplicateRatio = 0;
  double reorderRatio = 0;
  double corruptRatio = 0;
  std::chrono::milliseconds delay{0};
  std::size_t bytesPerSecond = 0;  ///< datagrams beyond it are lost; 0: unlimited
  bool isBlackhole = false;        ///< TCP connections are accepted, and nothing is forwarded
};

/// Forwards between processes by a thread of its own. Its random faults come from one seed. Faults may be
/// changed at any time and from any thread.
class FaultProxy {
 public:
  explicit FaultProxy(std::uint64_t seed);
  ~FaultProxy();

  /// Opens the link to this address. Returns the address by which `from` reaches `to` from now on. Throws
  /// std::runtime_error where no port is free.
  std::string open(std::size_t from, std::size_t to, const std::string& address);
  /// Leads all links to this process to another address.
  void redirect(std::size_t to, const std::string& address);
  void setFault(std::size_t from, std::size_t to, const Fault& fault);
  void setAllFaults(const Fault& fault);
  /// Datagrams forwarded so far.
  [[nodiscard]] std::uint64_t forwardedDatagrams() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace rainhook::fleet
