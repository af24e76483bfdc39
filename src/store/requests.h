/// @file
/// The arguments and results of the store's operations.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/ids.h"
#include "store/status.h"
#include "store/store_settings.h"

namespace rainhook::store {

/// Receives one log line at a time, on the thread that writes the line.
using LogCallback = std::function<void(const std::string&)>;
/// Receives the status of a completed operation; called once.
using StatusCallback = std::function<void(StoreStatus)>;

/// The kind of a write.
enum class WriteKind { put, erase };

/// One write.
struct WriteRequest {
  WriteKind kind = WriteKind::put;  ///< The kind of the write.
  std::string key;                  ///< Not empty, at most maxKeyBytes long.
  std::string value;                ///< At most maxValueBytes long; empty in an erasure.
  UnixTime expiry = neverExpires;   ///< The time from which the key has no value.

  /// Sets the key to this value.
  static WriteRequest put(std::string key, std::string value, UnixTime expiry = neverExpires) {
    return {WriteKind::put, std::move(key), std::move(value), expiry};
  }
  /// Removes the key's value.
  static WriteRequest erase(std::string key) { return {WriteKind::erase, std::move(key), {}, neverExpires}; }

  /// Whether it is an erasure.
  bool isErase() const { return kind == WriteKind::erase; }
};

/// Checks a write against the limits: invalidArgument for an empty key, entryTooLarge beyond the limits.
StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& settings);

/// The result of a read.
struct ReadResult {
  std::optional<std::string> value;  ///< Absent if the key has no value or `status` is an error.
  UnixTime expiry = neverExpires;    ///< The value's expiry.
  StoreStatus status;                ///< An error only if the value could not be read.
};
/// Receives the result of a read; called once.
using ReadCallback = std::function<void(ReadResult)>;

/// Whether a scan by key includes its start key.
enum class ScanStart { atKey, afterKey };

/// One page of a scan over the live entries.
struct ScanPage {
  /// One live entry.
  struct Row {
    std::string key;          ///< The entry's key.
    UnixTime expiry;          ///< When the value expires.
    SequenceNumber sequence;  ///< Sequence number of the current record.
    std::uint64_t bytes;      ///< Size of the record on disk.
  };
  std::vector<Row> rows;  ///< The entries in scan order.
  bool hasMore = false;   ///< More entries follow this page.
};

}  // namespace rainhook::store
