// The embedded store: a LogStructuredStore with a thread of its own that does all the writing. Any thread may
// call; what is put is seen by `get` at once, and its callback comes once it is on the disk. Callbacks run in
// `deliver`, which the owner calls when `eventFd` is readable, so that a reactor never waits for the disk.
//
// Bounds: what was taken counts against queueBytes until its callback has been delivered, a read with the
// longest value that it may bring; beyond that a call is refused at once. `close` writes all that was taken,
// then ends the thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "store/disk.h"
#include "store/log_structured_store.h"
#include "store/store_settings.h"

namespace rainhook::store {

class Store {
 public:
  using Clock =
      std::function<UnixTime()>;  // asked on the writer's thread and on those that call `get` and scans
  using StatusCallback = std::function<void(StoreStatus)>;
  using ReadCallback = std::function<void(ReadResult)>;

  // The disk is the store's own; `tell` gets one line for the log, on any of these threads.
  Store(std::unique_ptr<Disk> disk, const StoreSettings& bounds, Clock clock,
        LogStructuredStore::LogCallback tell);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Recovers; may take seconds, so before the reactor runs. Errors: locked (the other pid named), failed.
  StoreStatus open(std::uint64_t seed);

  // Taken (done) or refused at once (queueFull, tooLong, closed); `heard` is called only where it was taken.
  [[nodiscard]] StoreStatus put(std::string key, std::string value, UnixTime expiry, StatusCallback heard);
  [[nodiscard]] StoreStatus erase(std::string key, StatusCallback heard);
  // What was put and not refused since, or what is on the disk. May wait for a read from the disk.
  ReadResult get(std::string_view key) const;
  // The same without waiting: the writer reads between two commits.
  [[nodiscard]] StoreStatus fetch(std::string key, ReadCallback heard);
  // What is on the disk, in pages.
  ScanPage scanByKey(std::string_view from, bool beyond, std::size_t most) const;
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& behind, std::size_t most) const;
  struct Statistics {
    StoreStatistics book;
    std::uint64_t queueBytes = 0, peakQueueBytes = 0, rejectedWrites = 0;
  };
  Statistics statistics() const;
  // Copies the store into an empty folder while writes go on.
  [[nodiscard]] StoreStatus snapshot(std::unique_ptr<Disk> into, StatusCallback heard);
  // Compacts all that holds anything dead.
  [[nodiscard]] StoreStatus compact(StatusCallback heard);

  int eventFd() const { return event_; }
  void dispatchCompletions();
  // Delivers until nothing that was taken is under way; for commands and tests.
  void waitUntilIdle();
  void close();
  StoreId id() const { return book_.id(); }

 private:
  struct Queued {
    WriteRequest write;
    StatusCallback heard;
    std::uint64_t bytes = 0, number = 0;
  };
  struct Waiting {
    std::uint64_t number = 0;
    bool erase = false;
    std::string value;
    UnixTime expiry = neverExpires;
  };
  struct Called {
    std::function<void()> call;
    std::uint64_t bytes = 0;  // free once it has been delivered
  };
  StoreStatus take(WriteRequest write, StatusCallback heard);
  StoreStatus order(std::uint64_t bytes, std::function<void()> work);
  StoreStatus charge(std::uint64_t bytes);  // with the lock held
  void run();
  void commit(std::vector<Queued> batch);
  void done(std::uint64_t bytes, std::function<void()> call);

  const std::unique_ptr<Disk> disk_;
  const StoreSettings bounds_;
  const Clock clock_;
  LogStructuredStore book_;
  const int event_;

  mutable std::mutex mutex_;  // over all below
  std::condition_variable wake_;
  std::deque<Queued> queue_;                          // this and what follows: queueBytes at most
  std::unordered_map<std::string, Waiting> waiting_;  // the latest write of a key until it is committed
  std::vector<std::function<void()>> orders_;         // fetches, snapshots, compactions
  std::vector<Called> called_;                        // until `deliver`
  std::uint64_t charged_ = 0, chargedMost_ = 0, refused_ = 0, numbered_ = 0;
  bool open_ = false, stop_ = false;
  std::thread writer_;
};

}  // namespace rainhook::store
