// The embedded store: a Book with a thread of its own that does all the writing. Any thread may call; what is
// put is seen by `get` at once, and its callback comes once it is on the disk. Callbacks run in `deliver`,
// which the owner calls when `eventFd` is readable, so that a reactor never waits for the disk.
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

#include "store/log_structured_store.h"
#include "store/bounds.h"
#include "store/disk.h"

namespace rainhook::store {

class Store {
 public:
  using Clock =
      std::function<UnixTime()>;  // asked on the writer's thread and on those that call `get` and scans
  using Heard = std::function<void(Outcome)>;
  using HeardGot = std::function<void(Got)>;

  // The disk is the store's own; `tell` gets one line for the log, on any of these threads.
  Store(std::unique_ptr<Disk> disk, const StoreBounds& bounds, Clock clock, Book::Tell tell);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Recovers; may take seconds, so before the reactor runs. Errors: locked (the other pid named), failed.
  Outcome open(std::uint64_t seed);

  // Taken (done) or refused at once (queueFull, tooLong, closed); `heard` is called only where it was taken.
  [[nodiscard]] Outcome put(std::string key, std::string value, UnixTime goodUntil, Heard heard);
  [[nodiscard]] Outcome erase(std::string key, Heard heard);
  // What was put and not refused since, or what is on the disk. May wait for a read from the disk.
  Got get(std::string_view key) const;
  // The same without waiting: the writer reads between two commits.
  [[nodiscard]] Outcome fetch(std::string key, HeardGot heard);
  // What is on the disk, in pages.
  Page byKey(std::string_view from, bool beyond, std::size_t most) const;
  Page byAge(const std::optional<Index::Behind>& behind, std::size_t most) const;
  struct Figures {
    Stats book;
    std::uint64_t queueBytes = 0, queueMost = 0, queueRefused = 0;
  };
  Figures figures() const;
  // Copies the store into an empty folder while writes go on.
  [[nodiscard]] Outcome snapshot(std::unique_ptr<Disk> into, Heard heard);
  // Compacts all that holds anything dead.
  [[nodiscard]] Outcome compact(Heard heard);

  int eventFd() const { return event_; }
  void deliver();
  // Delivers until nothing that was taken is under way; for commands and tests.
  void settle();
  void close();
  StoreId id() const { return book_.id(); }

 private:
  struct Queued {
    Write write;
    Heard heard;
    std::uint64_t bytes = 0, number = 0;
  };
  struct Waiting {
    std::uint64_t number = 0;
    bool erase = false;
    std::string value;
    UnixTime goodUntil = forever;
  };
  struct Called {
    std::function<void()> call;
    std::uint64_t bytes = 0;  // free once it has been delivered
  };
  Outcome take(Write write, Heard heard);
  Outcome order(std::uint64_t bytes, std::function<void()> work);
  Outcome charge(std::uint64_t bytes);  // with the lock held
  void run();
  void commit(std::vector<Queued> batch);
  void done(std::uint64_t bytes, std::function<void()> call);

  const std::unique_ptr<Disk> disk_;
  const StoreBounds bounds_;
  const Clock clock_;
  Book book_;
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
