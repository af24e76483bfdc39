/// @file
/// How a call on the store ended.
#pragma once

#include <string>

namespace rainhook::store {

/// Why a call failed.
enum class StoreErrorCode {
  none,
  storeFull,        ///< No room under the limits, and none could be made.
  entryTooLarge,    ///< The key or the value is longer than the settings allow.
  queueFull,        ///< Too much is pending; try again once some of it has completed.
  ioError,          ///< The disk failed. Whether a failed write is there after a restart is open.
  locked,           ///< Another process has the folder open.
  closed,           ///< The store is not open.
  corruptRecord,    ///< The entry's record can't be read any more.
  invalidArgument,  ///< The call makes no sense as it is.
};

/// How a call ended; a failure must not be dropped.
struct [[nodiscard]] StoreStatus {
  StoreErrorCode code = StoreErrorCode::none;  ///< Why it failed.
  std::string message;                         ///< For people: which file, which limit, which process.

  /// Whether it succeeded.
  bool isOk() const { return code == StoreErrorCode::none; }
};

}  // namespace rainhook::store
