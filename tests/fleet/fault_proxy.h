/// @file
/// The links between the processes of a test. Each ordered pair of processes has a UDP proxy and a TCP proxy
/// that inject faults in one direction.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace rainhook::fleet {

/// The faults that a link injects in one direction. Ratios are shares of all datagrams, from 0 to 1.
struct Fault {
  double lossRatio = 0;  ///< the ratio 1 also blocks TCP
  double duplicateRatio = 0;
  double reorderRatio = 0;
  double corruptRatio = 0;
  std::chrono::milliseconds delay{0};
  std::size_t bytesPerSecond = 0;  ///< datagrams above this rate are dropped; 0: unlimited
  bool isBlackhole = false;        ///< TCP connections are accepted, and nothing is forwarded
};

/// Forwards datagrams and TCP connections between processes on a separate thread. One seed determines the
/// random faults. Faults may be changed at any time and from any thread.
class FaultProxy {
 public:
  explicit FaultProxy(std::uint64_t seed);
  ~FaultProxy();

  /// Opens the link from `from` to `to`, which listens at `address`. Returns the address at which `from`
  /// reaches `to` through this link. Throws std::runtime_error if no port is free.
  std::string open(std::size_t from, std::size_t to, const std::string& address);
  /// Makes all links to the process `to` forward to `address`.
  void redirect(std::size_t to, const std::string& address);
  void setFault(std::size_t from, std::size_t to, const Fault& fault);
  void setAllFaults(const Fault& fault);
  /// Returns the number of datagrams forwarded so far.
  [[nodiscard]] std::uint64_t forwardedDatagrams() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace rainhook::fleet
