#include "net/buffer_pool.h"

#include <algorithm>
#include <cstring>

namespace rainhook::net {

BufferPool::Lease BufferPool::acquire() {
  ++lent_;
  if (free_.empty()) return Lease(new Buffer, Releaser{this});
  Lease lease(free_.back().release(), Releaser{this});
  free_.pop_back();
  return lease;
}

void BufferPool::release(Buffer* buffer) {
  --lent_;
  std::unique_ptr<Buffer> back(buffer);
  if (free_.size() < keptAtMost) free_.push_back(std::move(back));
}

void SendBuffer::append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (pieces_.empty() || pieces_.back().to == BufferPool::bufferSize) pieces_.push_back({pool_.acquire()});
    Piece& last = pieces_.back();
    const std::size_t count = std::min(bytes.size(), BufferPool::bufferSize - last.to);
    std::memcpy(last.buffer->data() + last.to, bytes.data(), count);
    last.to += count;
    bytes.remove_prefix(count);
  }
}

std::string_view SendBuffer::front() const {
  if (pieces_.empty()) return {};
  const Piece& first = pieces_.front();
  return {first.buffer->data() + first.from, first.to - first.from};
}

void SendBuffer::consume(std::size_t count) {
  size_ -= count;
  Piece& first = pieces_.front();
  first.from += count;
  if (first.from == first.to) pieces_.pop_front();
}

}  // namespace rainhook::net
