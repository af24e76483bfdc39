#include "store/store.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace rainhook::store {
namespace {

// So long a store with nothing to do waits before it looks for what has expired.
constexpr std::chrono::milliseconds idleWait{500};
// What anything that was taken holds beside its key and value.
constexpr std::uint64_t queuedOverhead = 256;

}  // namespace

Store::Store(std::unique_ptr<Disk> disk, const StoreSettings& bounds, Clock clock,
             LogStructuredStore::LogCallback tell)
    : disk_(std::move(disk)),
      bounds_(bounds),
      clock_(std::move(clock)),
      book_(*disk_, bounds, std::move(tell)),
      event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Store::~Store() {
  close();
  ::close(event_);
}

StoreStatus Store::open(std::uint64_t seed) {
  auto outcome = book_.open(seed);
  if (!outcome.isOk()) return outcome;
  open_ = true;
  writer_ = std::thread([this] { run(); });
  return outcome;
}

StoreStatus Store::put(std::string key, std::string value, UnixTime expiry, StatusCallback heard) {
  return take({false, std::move(key), std::move(value), expiry}, std::move(heard));
}

StoreStatus Store::erase(std::string key, StatusCallback heard) {
  return take({true, std::move(key), {}, neverExpires}, std::move(heard));
}

StoreStatus Store::charge(std::uint64_t bytes) {
  if (!open_ || stop_) return {StoreErrorCode::closed, "the store is closed"};
  if (charged_ + bytes > bounds_.maxQueueBytes) {
    ++refused_;
    return {StoreErrorCode::queueFull, fmt::format("{} bytes wait to be written or heard", charged_)};
  }
  charged_ += bytes;
  chargedMost_ = std::max(chargedMost_, charged_);
  return {};
}

StoreStatus Store::take(WriteRequest write, StatusCallback heard) {
  if (auto refused = validateWrite(write, bounds_); !refused.isOk()) return refused;
  // Twice: once in the queue, once among what `get` sees.
  const auto bytes = 2 * (write.key.size() + write.value.size()) + queuedOverhead;
  const std::lock_guard lock(mutex_);
  if (auto refused = charge(bytes); !refused.isOk()) return refused;
  const auto number = ++numbered_;
  waiting_[write.key] = {number, write.erase, write.value, write.expiry};
  queue_.push_back({std::move(write), std::move(heard), bytes, number});
  wake_.notify_one();
  return {};
}

ReadResult Store::get(std::string_view key) const {
  const auto now = clock_();
  {
    const std::lock_guard lock(mutex_);
    if (const auto at = waiting_.find(std::string(key)); at != waiting_.end()) {
      if (at->second.erase || at->second.expiry <= now) return {};
      return {at->second.value, at->second.expiry, {}};
    }
  }
  return book_.get(key, now);
}

StoreStatus Store::order(std::uint64_t bytes, std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  if (auto refused = charge(bytes); !refused.isOk()) return refused;
  orders_.push_back(std::move(work));
  wake_.notify_one();
  return {};
}

StoreStatus Store::fetch(std::string key, ReadCallback heard) {
  const auto bytes = key.size() + bounds_.maxValueBytes + queuedOverhead;
  return order(bytes, [this, bytes, key = std::move(key), heard = std::move(heard)] {
    done(bytes, [heard, got = get(key)] { heard(got); });
  });
}

StoreStatus Store::snapshot(std::unique_ptr<Disk> into, StatusCallback heard) {
  // Shared only since std::function wants to copy.
  auto disk = std::make_shared<std::unique_ptr<Disk>>(std::move(into));
  return order(queuedOverhead, [this, disk, heard = std::move(heard)] {
    const auto ended = [this, heard](StoreStatus outcome) {
      done(queuedOverhead, [heard, outcome = std::move(outcome)] { heard(outcome); });
    };
    if (auto outcome = book_.startSnapshot(std::move(*disk), ended); !outcome.isOk())
      ended(std::move(outcome));
  });
}

StoreStatus Store::compact(StatusCallback heard) {
  return order(queuedOverhead, [this, heard = std::move(heard)] {
    book_.startCompaction([this, heard](StoreStatus outcome) {
      done(queuedOverhead, [heard, outcome = std::move(outcome)] { heard(outcome); });
    });
  });
}

void Store::done(std::uint64_t bytes, std::function<void()> call) {
  const std::lock_guard lock(mutex_);
  called_.push_back({std::move(call), bytes});
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(event_, &one, sizeof one);  // it is only full when readable
}

void Store::dispatchCompletions() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(event_, &count, sizeof count);
  std::vector<Called> called;
  {
    const std::lock_guard lock(mutex_);
    called.swap(called_);
  }
  for (const Called& one : called) {
    one.call();
    const std::lock_guard lock(mutex_);
    charged_ -= one.bytes;
  }
}

void Store::waitUntilIdle() {
  for (;;) {
    dispatchCompletions();
    {
      const std::lock_guard lock(mutex_);
      if (charged_ == 0 || !open_) return;
    }
    pollfd ready{event_, POLLIN, 0};
    ::poll(&ready, 1, 1000);
  }
}

void Store::run() {
  bool more = true;
  for (;;) {
    std::vector<Queued> batch;
    std::vector<std::function<void()>> orders;
    {
      std::unique_lock lock(mutex_);
      if (!more)
        wake_.wait_for(lock, idleWait, [this] { return stop_ || !queue_.empty() || !orders_.empty(); });
      for (; !queue_.empty() && batch.size() < bounds_.maxCommitWrites; queue_.pop_front())
        batch.push_back(std::move(queue_.front()));
      orders.swap(orders_);
      if (stop_ && batch.empty() && orders.empty()) break;
    }
    const bool writes = !batch.empty();  // whoever wrote now will soon again
    if (writes) commit(std::move(batch));
    for (const auto& work : orders) work();
    more = book_.runMaintenance(clock_(), writes);
  }
  book_.close();
}

void Store::commit(std::vector<Queued> batch) {
  std::vector<WriteRequest> writes;
  writes.reserve(batch.size());
  for (Queued& queued : batch) writes.push_back(std::move(queued.write));
  auto outcomes = book_.commit(writes, clock_());
  {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < batch.size(); ++i) {
      const auto at = waiting_.find(writes[i].key);
      if (at != waiting_.end() && at->second.number == batch[i].number) waiting_.erase(at);
    }
  }
  for (std::size_t i = 0; i < batch.size(); ++i)
    done(batch[i].bytes, [heard = std::move(batch[i].heard), outcome = std::move(outcomes[i])] {
      if (heard) heard(outcome);
    });
}

ScanPage Store::scanByKey(std::string_view from, bool beyond, std::size_t most) const {
  return book_.scanByKey(from, beyond, most, clock_());
}
ScanPage Store::scanByAge(const std::optional<KeyIndex::AgeCursor>& behind, std::size_t most) const {
  return book_.scanByAge(behind, most, clock_());
}

Store::Statistics Store::statistics() const {
  Statistics out{book_.stats(), 0, 0, 0};
  const std::lock_guard lock(mutex_);
  out.queueBytes = charged_, out.peakQueueBytes = chargedMost_, out.rejectedWrites = refused_;
  return out;
}

void Store::close() {
  {
    const std::lock_guard lock(mutex_);
    if (!open_) return;
    stop_ = true;
    wake_.notify_one();
  }
  writer_.join();
  dispatchCompletions();
  const std::lock_guard lock(mutex_);
  open_ = false;
}

}  // namespace rainhook::store
