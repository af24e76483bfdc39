/// @file
/// The status of a call to the store.
#pragma once

#include <string>

namespace rainhook::store {

/// Why a call failed.
enum class StoreErrorCode {
  none,
  storeFull,        ///< The limits leave no room, and none could be freed.
  entryTooLarge,    ///< The key or the value is longer than the settings allow.
  queueFull,        ///< Too many bytes are pending; retry after some calls have completed.
  ioError,          ///< A disk error. A failed write may or may not be present after a restart.
  locked,           ///< Another process has the folder open.
  closed,           ///< The store is not open.
  corruptRecord,    ///< The entry's record can no longer be read.
  invalidArgument,  ///< An argument of the call is invalid.
};

/// The status of a call; a failure must not be ignored.
struct [[nodiscard]] StoreStatus {
  StoreErrorCode code = StoreErrorCode::none;  ///< Why the call failed.
  std::string message;                         ///< Human-readable: the file, limit or process concerned.

  /// Whether the call succeeded.
  bool isOk() const { return code == StoreErrorCode::none; }
};

}  // namespace rainhook::store
