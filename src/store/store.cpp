#include "store/store.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace rainhook::store {
namespace {

constexpr std::size_t ordersMost = 4096;
// So long a store with nothing to do waits before it looks for what has expired.
constexpr std::chrono::milliseconds idleWait{500};
// What a queued write takes beside its key and value.
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
  auto outcome = book_.open(clock_(), seed);
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

Outcome Store::take(Write write, Heard heard) {
  if (write.key.empty()) return {Outcome::Code::misused, "the key is empty"};
  if (write.key.size() > bounds_.longestKey || write.value.size() > bounds_.longestValue)
    return {Outcome::Code::tooLong,
            fmt::format("a key of {} bytes with a value of {}; {} and {} are allowed", write.key.size(),
                        write.value.size(), bounds_.longestKey, bounds_.longestValue)};
  // Twice: once in the queue, once among what `get` sees.
  const auto bytes = 2 * (write.key.size() + write.value.size()) + queuedOverhead;
  const std::lock_guard lock(mutex_);
  if (!open_ || stop_) return {Outcome::Code::closed, "the store is closed"};
  if (queuedBytes_ + bytes > bounds_.queueBytes) {
    ++refused_;
    return {Outcome::Code::queueFull, fmt::format("{} bytes wait to be written", queuedBytes_)};
  }
  queuedBytes_ += bytes;
  queueMost_ = std::max(queueMost_, queuedBytes_);
  ++underWay_;
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

Outcome Store::order(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  if (!open_ || stop_) return {Outcome::Code::closed, "the store is closed"};
  if (orders_.size() >= ordersMost) {
    ++refused_;
    return {Outcome::Code::queueFull, fmt::format("{} reads wait", orders_.size())};
  }
  ++underWay_;
  orders_.push_back(std::move(work));
  wake_.notify_one();
  return {};
}

Outcome Store::fetch(std::string key, HeardGot heard) {
  return order([this, key = std::move(key), heard = std::move(heard)]() mutable {
    done([heard = std::move(heard), got = get(key)]() mutable { heard(std::move(got)); });
  });
}

Outcome Store::snapshot(std::unique_ptr<Disk> into, Heard heard) {
  // Shared only since std::function wants to copy.
  auto disk = std::make_shared<std::unique_ptr<Disk>>(std::move(into));
  return order([this, disk, heard = std::move(heard)] {
    const auto ended = [this, heard](Outcome outcome) {
      done([heard, outcome = std::move(outcome)] { heard(outcome); });
    };
    if (auto outcome = book_.beginSnapshot(std::move(*disk), ended); !outcome.ok()) ended(std::move(outcome));
  });
}

Outcome Store::compact(Heard heard) {
  return order([this, heard = std::move(heard)] {
    book_.compactAll(clock_());
    done([heard] {
      if (heard) heard({});
    });
  });
}

void Store::done(std::function<void()> call) {
  const std::lock_guard lock(mutex_);
  called_.push_back(std::move(call));
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(event_, &one, sizeof one);  // it is only full when readable
}

void Store::deliver() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(event_, &count, sizeof count);
  std::vector<std::function<void()>> called;
  {
    const std::lock_guard lock(mutex_);
    called.swap(called_);
    underWay_ -= called.size();
  }
  for (const auto& call : called) call();
}

void Store::settle() {
  for (;;) {
    deliver();
    {
      const std::lock_guard lock(mutex_);
      if (underWay_ == 0 || !open_) return;
    }
    pollfd ready{event_, POLLIN, 0};
    ::poll(&ready, 1, 1000);
  }
}

void Store::run() {
  bool more = true;
  for (;;) {
    std::vector<Queued> batch;
    std::deque<std::function<void()>> orders;
    std::uint64_t waiting = 0;  // bytes of writes; those of this round tell that more will come
    {
      std::unique_lock lock(mutex_);
      if (!more)
        wake_.wait_for(lock, idleWait, [this] { return stop_ || !queue_.empty() || !orders_.empty(); });
      for (; !queue_.empty() && batch.size() < bounds_.commitMost; queue_.pop_front())
        batch.push_back(std::move(queue_.front()));
      orders.swap(orders_);
      waiting = queuedBytes_;
      if (stop_ && batch.empty() && orders.empty()) break;
    }
    if (!batch.empty()) commit(std::move(batch));
    for (const auto& work : orders) work();
    more = book_.tidy(clock_(), waiting);
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
      queuedBytes_ -= batch[i].bytes;
      const auto at = waiting_.find(writes[i].key);
      if (at != waiting_.end() && at->second.number == batch[i].number) waiting_.erase(at);
    }
  }
  for (std::size_t i = 0; i < batch.size(); ++i)
    done([heard = std::move(batch[i].heard), outcome = std::move(outcomes[i])] {
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
  out.queueBytes = queuedBytes_, out.queueMost = queueMost_, out.queueRefused = refused_;
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
