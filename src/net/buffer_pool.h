// Buffers of one size, used again: a pool lends them, and a lease gives its buffer back where it ends.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace rainhook::net {

class BufferPool {
 public:
  static constexpr std::size_t bufferSize = 16 * 1024;
  using Buffer = std::array<char, bufferSize>;

  struct Releaser {
    BufferPool* pool;
    void operator()(Buffer* buffer) const { pool->release(buffer); }
  };
  using Lease = std::unique_ptr<Buffer, Releaser>;

  Lease acquire();
  std::size_t acquiredCount() const { return lent_; }

 private:
  static constexpr std::size_t keptAtMost = 256;  // what stands free beyond this goes back to the system
  void release(Buffer* buffer);

  std::vector<std::unique_ptr<Buffer>> free_;
  std::size_t lent_ = 0;
};

// Bytes that wait to be sent, in buffers of the pool; emptied by consume().
class SendBuffer {
 public:
  explicit SendBuffer(BufferPool& pool) : pool_(pool) {}

  void append(std::string_view bytes);
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::string_view front() const;
  void consume(std::size_t count);
  void clear() { pieces_.clear(), size_ = 0; }

 private:
  struct Piece {
    BufferPool::Lease buffer;
    std::size_t from = 0, to = 0;
  };
  BufferPool& pool_;
  std::deque<Piece> pieces_;
  std::size_t size_ = 0;
};

}  // namespace rainhook::net
