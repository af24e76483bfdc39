#include "server/resource_budget.h"

#include <algorithm>

namespace rainhook::server {
namespace {

constexpr std::size_t reservedDescriptors = 14;
constexpr std::size_t minDownstreamCalls = 2;
// A body of at most 2 KiB, a downstream reply of at most 4 kB, and the entries of the tables.
constexpr std::size_t bytesPerRequestInFlight = 8 * 1024;
// The entry in the deduplication cache with its indexes, and the policy's entry.
constexpr std::size_t bytesPerRetainedKey = 512;
// Two copies of the name, each in a container's node.
constexpr std::size_t bytesPerExecutedName = 256;
constexpr int bytesPerMegabyteShift = 20;

}  // namespace

ResourceBudget divideResources(std::size_t maxDescriptors, int memoryMb) {
  const std::size_t memoryBytes = static_cast<std::size_t>(memoryMb) << bytesPerMegabyteShift;
  ResourceBudget budget;
  budget.maxClientConnections = std::min(maxDescriptors / 2 + maxDescriptors / 16,
                                         maxDescriptors - reservedDescriptors - minDownstreamCalls);
  budget.maxDownstreamCalls = maxDescriptors - budget.maxClientConnections - reservedDescriptors;
  budget.maxRequestsInFlight = memoryBytes / 4 / bytesPerRequestInFlight;
  budget.maxOutputBytes = memoryBytes / 8;
  budget.maxResultBytes = memoryBytes / 8;
  budget.maxRetainedKeys = memoryBytes / 8 / bytesPerRetainedKey;
  budget.maxExecutedNames = memoryBytes / 32 / bytesPerExecutedName;
  return budget;
}

}  // namespace rainhook::server
