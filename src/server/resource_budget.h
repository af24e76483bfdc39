/// @file
/// How the descriptors and the memory of the process are divided.
#pragma once

#include <cstddef>

namespace rainhook::server {

/// Upper bounds that follow from the limits of the process.
struct ResourceBudget {
  std::size_t maxClientConnections = 0;  ///< Open at once.
  std::size_t maxDownstreamCalls = 0;    ///< Open at once.
  std::size_t maxRequestsInFlight = 0;   ///< What comes beyond is failed.
  std::size_t maxOutputBytes = 0;        ///< Waiting to be sent, over all client connections.
  std::size_t maxResultBytes = 0;        ///< Cached for duplicates.
};

/// Divides the limits.
///
/// Descriptors: half of them are the clients' to open, a sixteenth more is for connections that they have
/// closed and we have not yet; some are for the listener, the links to other peers, signals and the log; all
/// others are for downstream calls.
///
/// Memory: a quarter for requests in flight, an eighth for what waits to be sent, and one for cached results.
ResourceBudget divideResources(std::size_t maxDescriptors, int memoryMb);

}  // namespace rainhook::server
