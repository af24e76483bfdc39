#include "store/requests.h"

#include <fmt/format.h>

namespace rainhook::store {

StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& settings) {
  if (write.key.empty()) return {StoreErrorCode::invalidArgument, "the key is empty"};
  if (write.key.size() > settings.maxKeyBytes)
    return {StoreErrorCode::entryTooLarge,
            fmt::format("the key has {} bytes; the limit is {}", write.key.size(), settings.maxKeyBytes)};
  if (write.value.size() > settings.maxValueBytes)
    return {StoreErrorCode::entryTooLarge, fmt::format("the value has {} bytes; the limit is {}",
                                                       write.value.size(), settings.maxValueBytes)};
  return {};
}

}  // namespace rainhook::store
