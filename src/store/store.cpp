#include "store/store.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace rainhook::store {
namespace {

/// How long the writer thread sleeps without work before it checks for expired entries.
constexpr std::chrono::milliseconds idleInterval{500};
/// How long `waitUntilIdle` waits for the next completion before it checks again.
constexpr int pollTimeoutMs = 1000;
/// The memory that an accepted call uses besides its key and value.
constexpr std::uint64_t queueEntryOverhead = 256;

}  // namespace

Store::Store(std::unique_ptr<Disk> disk, const StoreSettings& settings, Clock clock, LogCallback log)
    : disk_(std::move(disk)),
      settings_(settings),
      clock_(std::move(clock)),
      store_(*disk_, settings, std::move(log)),
      eventDescriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Store::~Store() {
  close();
  ::close(eventDescriptor_);
}

StoreStatus Store::open(std::uint64_t seed) {
  auto status = store_.open(seed);
  if (!status.isOk()) return status;
  isOpen_ = true;
  writer_ = std::thread([this] { runWriter(); });
  return status;
}

StoreStatus Store::put(std::string key, std::string value, UnixTime expiry, StatusCallback onDone) {
  return enqueueWrite(WriteRequest::put(std::move(key), std::move(value), expiry), std::move(onDone));
}

StoreStatus Store::erase(std::string key, StatusCallback onDone) {
  return enqueueWrite(WriteRequest::erase(std::move(key)), std::move(onDone));
}

StoreStatus Store::reserveQueueBytes(std::uint64_t bytes) {
  if (!isOpen_ || isStopping_) return {StoreErrorCode::closed, "the store is closed"};
  if (queueBytes_ + bytes > settings_.maxQueueBytes) {
    ++rejectedCalls_;
    return {StoreErrorCode::queueFull,
            fmt::format("the queue is full: {} of {} bytes are pending, the call needs {}", queueBytes_,
                        settings_.maxQueueBytes, bytes)};
  }
  queueBytes_ += bytes;
  peakQueueBytes_ = std::max(peakQueueBytes_, queueBytes_);
  return {};
}

StoreStatus Store::enqueueWrite(WriteRequest request, StatusCallback onDone) {
  if (auto status = validateWrite(request, settings_); !status.isOk()) return status;
  // The key and the value are held twice: in `queue_` and in `uncommitted_`.
  const std::uint64_t bytes = 2 * (request.key.size() + request.value.size()) + queueEntryOverhead;
  const std::lock_guard lock(mutex_);
  if (auto status = reserveQueueBytes(bytes); !status.isOk()) return status;
  const std::uint64_t writeNumber = ++lastWriteNumber_;
  uncommitted_[request.key] = {writeNumber, request.kind, request.value, request.expiry};
  queue_.push_back({std::move(request), std::move(onDone), bytes, writeNumber});
  wakeWriter_.notify_one();
  return {};
}

StoreStatus Store::enqueueTask(std::uint64_t queueBytes, std::function<void()> task) {
  const std::lock_guard lock(mutex_);
  if (auto status = reserveQueueBytes(queueBytes); !status.isOk()) return status;
  tasks_.push_back(std::move(task));
  wakeWriter_.notify_one();
  return {};
}

ReadResult Store::get(std::string_view key) const {
  const UnixTime now = clock_();
  {
    const std::lock_guard lock(mutex_);
    if (const auto found = uncommitted_.find(std::string(key)); found != uncommitted_.end()) {
      const UncommittedValue& latest = found->second;
      if (latest.kind == WriteKind::erase || latest.expiry <= now) return {};
      return {latest.value, latest.expiry, {}};
    }
  }
  return store_.get(key, now);
}

StoreStatus Store::getAsync(std::string key, ReadCallback onDone) {
  const std::uint64_t bytes = key.size() + settings_.maxValueBytes + queueEntryOverhead;
  return enqueueTask(bytes, [this, bytes, key = std::move(key), onDone = std::move(onDone)] {
    postCompletion(bytes, [onDone, result = get(key)] { onDone(result); });
  });
}

StatusCallback Store::postingCallback(std::uint64_t queueBytes, StatusCallback onDone) {
  return [this, queueBytes, onDone = std::move(onDone)](StoreStatus status) {
    postCompletion(queueBytes, [onDone, status = std::move(status)] { onDone(status); });
  };
}

StoreStatus Store::snapshot(std::unique_ptr<Disk> destination, StatusCallback onDone) {
  // The pointer is shared only because a std::function must be copyable.
  auto disk = std::make_shared<std::unique_ptr<Disk>>(std::move(destination));
  return enqueueTask(queueEntryOverhead, [this, disk, onDone = std::move(onDone)] {
    const StatusCallback onEnded = postingCallback(queueEntryOverhead, onDone);
    if (auto status = store_.startSnapshot(std::move(*disk), onEnded); !status.isOk())
      onEnded(std::move(status));
  });
}

StoreStatus Store::compact(StatusCallback onDone) {
  return enqueueTask(queueEntryOverhead, [this, onDone = std::move(onDone)] {
    store_.startCompaction(postingCallback(queueEntryOverhead, onDone));
  });
}

void Store::postCompletion(std::uint64_t queueBytes, std::function<void()> callback) {
  const std::lock_guard lock(mutex_);
  completions_.push_back({std::move(callback), queueBytes});
  const std::uint64_t increment = 1;
  // The write fails only if the counter is at its maximum, and then the descriptor is readable anyway.
  [[maybe_unused]] const auto written = ::write(eventDescriptor_, &increment, sizeof increment);
}

void Store::dispatchCompletions() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(eventDescriptor_, &count, sizeof count);
  std::vector<Completion> completions;
  {
    const std::lock_guard lock(mutex_);
    completions.swap(completions_);
  }
  for (const Completion& completion : completions) {
    completion.callback();
    const std::lock_guard lock(mutex_);
    queueBytes_ -= completion.queueBytes;
  }
}

void Store::waitUntilIdle() {
  for (;;) {
    dispatchCompletions();
    {
      const std::lock_guard lock(mutex_);
      if (queueBytes_ == 0 || !isOpen_) return;
    }
    pollfd readable{eventDescriptor_, POLLIN, 0};
    ::poll(&readable, 1, pollTimeoutMs);
  }
}

void Store::runWriter() {
  bool hasMaintenance = true;
  for (;;) {
    std::vector<QueuedWrite> batch;
    std::vector<std::function<void()>> tasks;
    {
      std::unique_lock lock(mutex_);
      const auto hasWork = [this] { return isStopping_ || !queue_.empty() || !tasks_.empty(); };
      if (!hasMaintenance) wakeWriter_.wait_for(lock, idleInterval, hasWork);
      while (!queue_.empty() && batch.size() < settings_.maxCommitWrites) {
        batch.push_back(std::move(queue_.front()));
        queue_.pop_front();
      }
      tasks.swap(tasks_);
      if (isStopping_ && batch.empty() && tasks.empty()) break;
    }
    const bool hasWrites = !batch.empty();  // more writes are likely to follow soon
    if (hasWrites) commit(std::move(batch));
    for (const auto& task : tasks) task();
    hasMaintenance = store_.runMaintenance(clock_(), hasWrites);
  }
  store_.close();
}

void Store::commit(std::vector<QueuedWrite> batch) {
  std::vector<WriteRequest> writes;
  writes.reserve(batch.size());
  for (QueuedWrite& queued : batch) writes.push_back(std::move(queued.request));
  auto statuses = store_.commit(writes, clock_());
  {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < batch.size(); ++i) {
      const auto found = uncommitted_.find(writes[i].key);
      if (found != uncommitted_.end() && found->second.writeNumber == batch[i].writeNumber)
        uncommitted_.erase(found);
    }
  }
  auto nextStatus = statuses.begin();
  for (QueuedWrite& queued : batch) {
    auto callback = [onDone = std::move(queued.onDone), status = std::move(*nextStatus++)] {
      if (onDone) onDone(status);
    };
    postCompletion(queued.queueBytes, std::move(callback));
  }
}

ScanPage Store::scanByKey(std::string_view from, ScanStart start, std::size_t maxRows) const {
  return store_.scanByKey(from, start, maxRows, clock_());
}

ScanPage Store::scanByAge(const std::optional<KeyIndex::AgeCursor>& cursor, std::size_t maxRows) const {
  return store_.scanByAge(cursor, maxRows, clock_());
}

Store::Statistics Store::statistics() const {
  Statistics out;
  out.log = store_.statistics();
  const std::lock_guard lock(mutex_);
  out.queueBytes = queueBytes_;
  out.peakQueueBytes = peakQueueBytes_;
  out.rejectedCalls = rejectedCalls_;
  return out;
}

void Store::close() {
  {
    const std::lock_guard lock(mutex_);
    if (!isOpen_) return;
    isStopping_ = true;
    wakeWriter_.notify_one();
  }
  writer_.join();
  dispatchCompletions();
  const std::lock_guard lock(mutex_);
  isOpen_ = false;
}

}  // namespace rainhook::store
