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
using StatusCallback = std::function<void(StoreStatus)>;

enum class WriteKind { put, erase };

struct WriteRequest {
  WriteKind kind = WriteKind::put;
  std::string key;
  std::string value;
  UnixTime expiry = neverExpires;

  static WriteRequest put(std::string key, std::string value, UnixTime expiry = neverExpires) {
    return {WriteKind::put, std::move(key), std::move(value), expiry};
  }
  static WriteRequest erase(std::string key) { return {WriteKind::erase, std::move(key), {}, neverExpires}; }

  bool isErase() const { return kind == WriteKind::erase; }
};

/// Whether a write may be accepted at all: invalidArgument for an empty key, entryTooLarge beyond the limits.
StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& settings);

struct ReadResult {
  std::optional<std::string> value;  ///< Absent: there is none, or `status` says why it can't be read.
  UnixTime expiry = neverExpires;
  StoreStatus status;
};
using ReadCallback = std::function<void(ReadResult)>;

/// Whether a scan by key includes the key that it starts from.
enum class ScanStart { atKey, afterKey };

/// A part of a scan over the live entries.
struct ScanPage {
  struct Row {
    std::string key;
    UnixTime expiry;
    SequenceNumber sequence;
    std::uint64_t bytes;  ///< Of the record on disk.
  };
  std::vector<Row> rows;
  bool hasMore = false;  ///< The page ended before the entries did.
};

}  // namespace rainhook::store
