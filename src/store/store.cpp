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

Store::Store(std::unique_ptr<Disk> disk, const StoreBounds& bounds, Clock clock, Book::Tell tell)
    : disk_(std::move(disk)),
      bounds_(bounds),
      clock_(std::move(clock)),
      book_(*disk_, bounds, std::move(tell)),
      event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Store::~Store() {
  close();
  ::close(event_);
}

Outcome Store::open(std::uint64_t seed) {
  auto outcome = book_.open(seed);
  if (!outcome.ok()) return outcome;
  open_ = true;
  writer_ = std::thread([this] { run(); });
  return outcome;
}

Outcome Store::put(std::string key, std::string value, UnixTime goodUntil, Heard heard) {
  return take({false, std::move(key), std::move(value), goodUntil}, std::move(heard));
}

Outcome Store::erase(std::string key, Heard heard) {
  return take({true, std::move(key), {}, forever}, std::move(heard));
}

Outcome Store::charge(std::uint64_t bytes) {
  if (!open_ || stop_) return {Outcome::Code::closed, "the store is closed"};
  if (charged_ + bytes > bounds_.queueBytes) {
    ++refused_;
    return {Outcome::Code::queueFull, fmt::format("{} bytes wait to be written or heard", charged_)};
  }
  charged_ += bytes;
  chargedMost_ = std::max(chargedMost_, charged_);
  return {};
}

Outcome Store::take(Write write, Heard heard) {
  if (auto refused = refusalOf(write, bounds_); !refused.ok()) return refused;
  // Twice: once in the queue, once among what `get` sees.
  const auto bytes = 2 * (write.key.size() + write.value.size()) + queuedOverhead;
  const std::lock_guard lock(mutex_);
  if (auto refused = charge(bytes); !refused.ok()) return refused;
  const auto number = ++numbered_;
  waiting_[write.key] = {number, write.erase, write.value, write.goodUntil};
  queue_.push_back({std::move(write), std::move(heard), bytes, number});
  wake_.notify_one();
  return {};
}

Got Store::get(std::string_view key) const {
  const auto now = clock_();
  {
    const std::lock_guard lock(mutex_);
    if (const auto at = waiting_.find(std::string(key)); at != waiting_.end()) {
      if (at->second.erase || at->second.goodUntil <= now) return {};
      return {at->second.value, at->second.goodUntil, {}};
    }
  }
  return book_.get(key, now);
}

Outcome Store::order(std::uint64_t bytes, std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  if (auto refused = charge(bytes); !refused.ok()) return refused;
  orders_.push_back(std::move(work));
  wake_.notify_one();
  return {};
}

Outcome Store::fetch(std::string key, HeardGot heard) {
  const auto bytes = key.size() + bounds_.longestValue + queuedOverhead;
  return order(bytes, [this, bytes, key = std::move(key), heard = std::move(heard)] {
    done(bytes, [heard, got = get(key)] { heard(got); });
  });
}

Outcome Store::snapshot(std::unique_ptr<Disk> into, Heard heard) {
  // Shared only since std::function wants to copy.
  auto disk = std::make_shared<std::unique_ptr<Disk>>(std::move(into));
  return order(queuedOverhead, [this, disk, heard = std::move(heard)] {
    const auto ended = [this, heard](Outcome outcome) {
      done(queuedOverhead, [heard, outcome = std::move(outcome)] { heard(outcome); });
    };
    if (auto outcome = book_.beginSnapshot(std::move(*disk), ended); !outcome.ok()) ended(std::move(outcome));
  });
}

Outcome Store::compact(Heard heard) {
  return order(queuedOverhead, [this, heard = std::move(heard)] {
    book_.beginCompaction([this, heard](Outcome outcome) {
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

void Store::deliver() {
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

void Store::settle() {
  for (;;) {
    deliver();
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
      for (; !queue_.empty() && batch.size() < bounds_.commitMost; queue_.pop_front())
        batch.push_back(std::move(queue_.front()));
      orders.swap(orders_);
      if (stop_ && batch.empty() && orders.empty()) break;
    }
    const bool writes = !batch.empty();  // whoever wrote now will soon again
    if (writes) commit(std::move(batch));
    for (const auto& work : orders) work();
    more = book_.tidy(clock_(), writes);
  }
  book_.close();
}

void Store::commit(std::vector<Queued> batch) {
  std::vector<Write> writes;
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

Page Store::byKey(std::string_view from, bool beyond, std::size_t most) const {
  return book_.byKey(from, beyond, most, clock_());
}
Page Store::byAge(const std::optional<Index::Behind>& behind, std::size_t most) const {
  return book_.byAge(behind, most, clock_());
}

Store::Figures Store::figures() const {
  Figures out{book_.stats(), 0, 0, 0};
  const std::lock_guard lock(mutex_);
  out.queueBytes = charged_, out.queueMost = chargedMost_, out.queueRefused = refused_;
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
  deliver();
  const std::lock_guard lock(mutex_);
  open_ = false;
}

}  // namespace rainhook::store
