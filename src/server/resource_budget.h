/// @file
/// Divides the file descriptors and the memory of the process among their uses.
#pragma once

#include <cstddef>

namespace rainhook::server {

/// Upper bounds that are derived from the limits of the process.
struct ResourceBudget {
  std::size_t maxClientConnections = 0;  ///< Client connections that are open at the same time.
  std::size_t maxDownstreamCalls = 0;    ///< Downstream calls that are open at the same time.
  std::size_t maxRequestsInFlight = 0;   ///< Requests in flight; further requests are failed.
  std::size_t maxOutputBytes = 0;        ///< Bytes waiting to be sent, over all client connections.
  std::size_t maxResultBytes = 0;        ///< Bytes of results that are cached for duplicates.
  std::size_t maxRetainedKeys = 0;       ///< Keys by which duplicates are found.
  std::size_t maxExecutedNames = 0;      ///< Names of executed requests that may not be repeated.
};

/// Divides the limits of the process.
///
/// Descriptors: half of them are for client connections, and another sixteenth is for connections that a
/// client has closed and the server has not yet closed. Some are reserved for the listener, the connections
/// to other peers, signals and the log. The rest is for downstream calls.
///
/// Memory: a quarter is for requests in flight, and an eighth each for output that waits to be sent, for
/// cached results and for the keys by which duplicates are found, and a thirty-second for the names of
/// executed requests.
ResourceBudget divideResources(std::size_t maxDescriptors, int memoryMb);

}  // namespace rainhook::server
