/// @file
/// What callers pass to the store and get back from it.
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

/// Receives one line of the log at a time, on whichever thread found something to report.
using LogCallback = std::function<void(const std::string&)>;
/// Receives how an operation ended, once.
using StatusCallback = std::function<void(StoreStatus)>;

/// What a write does with its key.
enum class WriteKind { put, erase };

/// One write.
struct WriteRequest {
  WriteKind kind = WriteKind::put;  ///< What it does.
  std::string key;                  ///< Not empty, maxKeyBytes at most.
  std::string value;                ///< maxValueBytes at most; empty in an erasure.
  UnixTime expiry = neverExpires;   ///< From then on the key has no value.

  /// Gives the key this value.
  static WriteRequest put(std::string key, std::string value, UnixTime expiry = neverExpires) {
    return {WriteKind::put, std::move(key), std::move(value), expiry};
  }
  /// Takes the key's value away.
  static WriteRequest erase(std::string key) { return {WriteKind::erase, std::move(key), {}, neverExpires}; }

  /// Whether it is an erasure.
  bool isErase() const { return kind == WriteKind::erase; }
};

/// Whether a write may be accepted at all: invalidArgument for an empty key, entryTooLarge beyond the limits.
StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& settings);

/// How a read ended.
struct ReadResult {
  std::optional<std::string> value;  ///< Absent: there is none, or `status` says why it can't be read.
  UnixTime expiry = neverExpires;    ///< Of the value.
  StoreStatus status;                ///< An error only where the value could not be read.
};
/// Receives how a read ended, once.
using ReadCallback = std::function<void(ReadResult)>;

/// Whether a scan by key includes the key that it starts from.
enum class ScanStart { atKey, afterKey };

/// A part of a scan over the live entries.
struct ScanPage {
  /// One live entry.
  struct Row {
    std::string key;          ///< Its key.
    UnixTime expiry;          ///< When its value expires.
    SequenceNumber sequence;  ///< Of its current record.
    std::uint64_t bytes;      ///< Of the record on disk.
  };
  std::vector<Row> rows;  ///< In the order of the scan.
  bool hasMore = false;   ///< The page ended before the entries did.
};

}  // namespace rainhook::store
