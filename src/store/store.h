/// @file
/// The embedded store: a LogStructuredStore with a thread of its own that does all the writing.
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

/// Any thread may call, unless said. What is put is seen by `get` at once, and its callback comes once it is
/// durable. Callbacks run in `dispatchCompletions`, which the owner calls when `eventFd` is readable, so that
/// a reactor never waits for the disk.
///
/// Bounds: what was accepted counts against `maxQueueBytes` until its callback has run, a read with the
/// longest value that it may bring; beyond that a call is refused at once.
class Store {
 public:
  /// Called on the writer's thread and on those that read.
  using Clock = std::function<UnixTime()>;

  /// Counters since the store was opened.
  struct Statistics {
    StoreStatistics log;               ///< Of the LogStructuredStore.
    std::uint64_t queueBytes = 0;      ///< What is pending at present.
    std::uint64_t peakQueueBytes = 0;  ///< The most that was pending.
    std::uint64_t rejectedCalls = 0;   ///< Because the queue was full.
  };

  /// Owns the disk. `log` receives lines on any of these threads.
  Store(std::unique_ptr<Disk> disk, const StoreSettings& settings, Clock clock, LogCallback log);
  /// Closes the store.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// Recovers, which may take seconds, and starts the writer; call once, before anything else. `seed` becomes
  /// the id of a store that is only now created. Errors: locked, ioError, invalidArgument for an interrupted
  /// snapshot.
  StoreStatus open(std::uint64_t seed);

  /// Accepts a write or refuses it at once (queueFull, entryTooLarge, invalidArgument, closed); `onDone` is
  /// called only where it was accepted.
  StoreStatus put(std::string key, std::string value, UnixTime expiry, StatusCallback onDone);
  /// The same for an erasure; it succeeds also where there is nothing to erase.
  StoreStatus erase(std::string key, StatusCallback onDone);
  /// What was put and has not been refused since, or what is on the disk. May wait for a read of the disk.
  ReadResult get(std::string_view key) const;
  /// The same without waiting: the writer reads between two commits.
  StoreStatus getAsync(std::string key, ReadCallback onDone);

  /// What is on the disk, a page at a time.
  ScanPage scanByKey(std::string_view from, ScanStart start, std::size_t maxRows) const;
  /// The oldest entries first, beginning after the cursor.
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows) const;
  /// Counters since `open`, and the present size.
  Statistics statistics() const;
  /// Of the open store.
  StoreId id() const { return store_.id(); }

  /// Copies the store into an empty folder while writes go on.
  StoreStatus snapshot(std::unique_ptr<Disk> destination, StatusCallback onDone);
  /// Writes every segment anew that holds anything dead.
  StoreStatus compact(StatusCallback onDone);

  /// Readable while callbacks wait to be run.
  int eventFd() const { return eventDescriptor_; }
  /// Runs the callbacks of what has completed, on this thread.
  void dispatchCompletions();
  /// Dispatches until nothing that was accepted is pending; for commands and tests.
  void waitUntilIdle();
  /// Writes all that was accepted, then ends the writer and runs the last callbacks.
  void close();

 private:
  struct QueuedWrite {
    WriteRequest request;
    StatusCallback onDone;
    std::uint64_t queueBytes = 0;
    std::uint64_t number = 0;
  };
  /// The latest write of a key that is not committed yet.
  struct UncommittedValue {
    std::uint64_t number = 0;
    WriteKind kind = WriteKind::put;
    std::string value;
    UnixTime expiry = neverExpires;
  };
  struct Completion {
    std::function<void()> callback;
    std::uint64_t queueBytes = 0;  // released once it has run
  };

  StoreStatus enqueueWrite(WriteRequest request, StatusCallback onDone);
  StoreStatus enqueueTask(std::uint64_t queueBytes, std::function<void()> task);
  StoreStatus reserveQueueBytes(std::uint64_t bytes);  // the caller holds the mutex
  void runWriter();
  void commit(std::vector<QueuedWrite> batch);
  void postCompletion(std::uint64_t queueBytes, std::function<void()> callback);
  /// A callback for an operation that ends later, on the writer's thread.
  StatusCallback postingCallback(std::uint64_t queueBytes, StatusCallback onDone);

  const std::unique_ptr<Disk> disk_;
  const StoreSettings settings_;
  const Clock clock_;
  LogStructuredStore store_;
  const int eventDescriptor_;

  mutable std::mutex mutex_;  // over what follows
  std::condition_variable wakeWriter_;
  std::deque<QueuedWrite> queue_;
  std::unordered_map<std::string, UncommittedValue> uncommitted_;
  std::vector<std::function<void()>> tasks_;  // reads, snapshots, compactions for the writer
  std::vector<Completion> completions_;       // until they are dispatched
  std::uint64_t queueBytes_ = 0;
  std::uint64_t peakQueueBytes_ = 0;
  std::uint64_t rejectedCalls_ = 0;
  std::uint64_t lastNumber_ = 0;
  bool isOpen_ = false;
  bool isStopping_ = false;
  std::thread writer_;
};

}  // namespace rainhook::store
