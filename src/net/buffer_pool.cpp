#include "net/buffer_pool.h"

#include <algorithm>
#include <cstring>

namespace rainhook::net {

BufferPool::Lease BufferPool::acquire() {
  ++acquiredCount_;
  if (freeBuffers_.empty()) return Lease(new Buffer, Releaser{this});
  Lease lease(freeBuffers_.back().release(), Releaser{this});
  freeBuffers_.pop_back();
  return lease;
}

void BufferPool::release(Buffer* buffer) {
  --acquiredCount_;
  std::unique_ptr<Buffer> owned(buffer);
  if (freeBuffers_.size() < maxFreeBuffers) freeBuffers_.push_back(std::move(owned));
}

void SendBuffer::append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (chunks_.empty() || chunks_.back().end == BufferPool::bufferSize) chunks_.push_back({pool_.acquire()});
    Chunk& last = chunks_.back();
    const std::size_t count = std::min(bytes.size(), BufferPool::bufferSize - last.end);
    std::memcpy(last.buffer->data() + last.end, bytes.data(), count);
    last.end += count;
    bytes.remove_prefix(count);
  }
}

std::string_view SendBuffer::front() const {
  if (chunks_.empty()) return {};
  const Chunk& first = chunks_.front();
  return {first.buffer->data() + first.begin, first.end - first.begin};
}

void SendBuffer::consume(std::size_t count) {
  size_ -= count;
  Chunk& first = chunks_.front();
  first.begin += count;
  if (first.begin == first.end) chunks_.pop_front();
}

void SendBuffer::clear() {
  chunks_.clear();
  size_ = 0;
}

}  // namespace rainhook::net
