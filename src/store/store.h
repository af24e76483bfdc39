/// @file
/// The embedded store: a LogStructuredStore with its own thread that does all the writing.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "store/disk.h"
#include "store/key_index.h"
#include "store/log_structured_store.h"
#include "store/requests.h"
#include "store/statistics.h"
#include "store/store_settings.h"

namespace rainhook::store {

/// Thread-safe unless stated otherwise. `get` sees a put value immediately; the callback of the put runs once
/// the value is durable. Callbacks run in `dispatchCompletions`, which the owner calls when `eventFd` is
/// readable, so that a reactor never waits for the disk.
///
/// Bounds: an accepted call counts against `maxQueueBytes` until its callback has run; `getAsync` counts with
/// the longest value that it may return. A call that would exceed the limit is rejected immediately.
class Store {
 public:
  /// Returns the current time. It is called on the writer thread and on the threads that read.
  using Clock = std::function<UnixTime()>;

  /// Counters since the store was opened.
  struct Statistics {
    StoreStatistics log;               ///< The statistics of the LogStructuredStore.
    std::uint64_t queueBytes = 0;      ///< Bytes that are currently pending.
    std::uint64_t peakQueueBytes = 0;  ///< The largest `queueBytes`.
    std::uint64_t rejectedCalls = 0;   ///< Calls rejected because the queue was full.
  };

  /// Owns the disk. `log` receives lines on the writer thread and on the threads that read.
  Store(std::unique_ptr<Disk> disk, const StoreSettings& settings, Clock clock, LogCallback log);
  /// Closes the store.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Recovers the store, which may take seconds, and starts the writer thread; call it once, before all other
  /// functions. `seed` becomes the store's id if the folder contains no store yet. Errors: locked, ioError,
  /// invalidArgument for an interrupted snapshot.
  StoreStatus open(std::uint64_t seed);

  /// Accepts a write or rejects it immediately (queueFull, entryTooLarge, invalidArgument, closed); `onDone`
  /// is called only if the write was accepted.
  StoreStatus put(std::string key, std::string value, UnixTime expiry, StatusCallback onDone);
  /// Accepts an erasure like `put`; erasing a key without a value succeeds.
  StoreStatus erase(std::string key, StatusCallback onDone);
  /// Returns the latest accepted write that has not failed, or else the value on disk. May block on a disk
  /// read.
  ReadResult get(std::string_view key) const;
  /// Like `get`, but never blocks: the writer thread reads between two commits.
  StoreStatus getAsync(std::string key, ReadCallback onDone);

  /// Returns a page of the entries on disk in key order.
  ScanPage scanByKey(std::string_view from, ScanStart start, std::size_t maxRows) const;
  /// Returns a page of the entries on disk, the oldest first, starting after the cursor.
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows) const;
  /// The counters since `open` and the current sizes.
  Statistics statistics() const;
  /// The id of the open store.
  StoreId id() const { return store_.id(); }

  /// Copies the store into an empty folder while writes continue.
  StoreStatus snapshot(std::unique_ptr<Disk> destination, StatusCallback onDone);
  /// Rewrites every segment with dead bytes.
  StoreStatus compact(StatusCallback onDone);

  /// A file descriptor that is readable while completed calls have callbacks to run.
  int eventFd() const { return eventDescriptor_; }
  /// Runs the callbacks of completed calls on the calling thread.
  void dispatchCompletions();
  /// Dispatches completions until no accepted call is pending. Intended for commands and tests.
  void waitUntilIdle();
  /// Writes all accepted writes, stops the writer thread and runs the remaining callbacks.
  void close();

 private:
  struct QueuedWrite {
    WriteRequest request;
    StatusCallback onDone;
    std::uint64_t queueBytes = 0;
    std::uint64_t writeNumber = 0;  // the position in the order in which writes were accepted
  };
  /// The latest write of a key that has not been committed yet.
  struct UncommittedValue {
    std::uint64_t writeNumber = 0;
    WriteKind kind = WriteKind::put;
    std::string value;
    UnixTime expiry = neverExpires;
  };
  struct Completion {
    std::function<void()> callback;
    std::uint64_t queueBytes = 0;  // released after the callback has run
  };

  StoreStatus enqueueWrite(WriteRequest request, StatusCallback onDone);
  StoreStatus enqueueTask(std::uint64_t queueBytes, std::function<void()> task);
  StoreStatus reserveQueueBytes(std::uint64_t bytes);  // the caller holds the mutex
  void runWriter();
  void commit(std::vector<QueuedWrite> batch);
  void postCompletion(std::uint64_t queueBytes, std::function<void()> callback);
  /// Returns a callback that the writer thread calls when an operation ends; it posts `onDone` as a
  /// completion.
  StatusCallback postingCallback(std::uint64_t queueBytes, StatusCallback onDone);

  const std::unique_ptr<Disk> disk_;
  const StoreSettings settings_;
  const Clock clock_;
  LogStructuredStore store_;
  const int eventDescriptor_;

  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable wakeWriter_;
  std::deque<QueuedWrite> queue_;
  std::unordered_map<std::string, UncommittedValue> uncommitted_;
  std::vector<std::function<void()>> tasks_;  // reads, snapshots and compactions for the writer thread
  std::vector<Completion> completions_;       // completed calls that are not dispatched yet
  std::uint64_t queueBytes_ = 0;
  std::uint64_t peakQueueBytes_ = 0;
  std::uint64_t rejectedCalls_ = 0;
  std::uint64_t lastWriteNumber_ = 0;
  bool isOpen_ = false;
  bool isStopping_ = false;
  std::thread writer_;
};

}  // namespace rainhook::store
