/// @file
/// A pool of reusable buffers of one size, and a queue of output bytes that is kept in such buffers.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace rainhook::net {

/// Hands out reusable buffers. The pool must outlive its leases. Not thread-safe.
class BufferPool {
 public:
  /// Size of one buffer in bytes.
  static constexpr std::size_t bufferSize = 16 * 1024;
  /// A buffer of the pool.
  using Buffer = std::array<char, bufferSize>;

  /// Returns a buffer to its pool.
  struct Releaser {
    /// The pool that owns the buffer.
    BufferPool* pool;
    /// Releases the buffer into the pool.
    void operator()(Buffer* buffer) const { pool->release(buffer); }
  };
  /// Owns a buffer until it is destroyed or reset.
  using Lease = std::unique_ptr<Buffer, Releaser>;

  /// Returns a buffer with undefined content; allocates one if no buffer is free.
  [[nodiscard]] Lease acquire();
  /// Number of buffers that are currently leased.
  [[nodiscard]] std::size_t acquiredCount() const { return acquiredCount_; }

 private:
  /// The pool keeps at most this many free buffers and deallocates the others.
  static constexpr std::size_t maxFreeBuffers = 256;
  void release(Buffer* buffer);

  std::vector<std::unique_ptr<Buffer>> freeBuffers_;
  std::size_t acquiredCount_ = 0;
};

/// A FIFO queue of bytes to send, stored in buffers of a pool.
class SendBuffer {
 public:
  /// The pool must outlive the queue.
  explicit SendBuffer(BufferPool& pool) : pool_(pool) {}

  /// Copies the bytes to the end of the queue.
  void append(std::string_view bytes);
  /// Whether the queue is empty.
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Number of bytes in the queue.
  [[nodiscard]] std::size_t size() const { return size_; }
  /// The first bytes of the queue, as many as one buffer holds contiguously. The view is valid until the next
  /// call of a non-const function.
  [[nodiscard]] std::string_view front() const;
  /// Removes `count` bytes from the front; `count` must not exceed the size of front().
  void consume(std::size_t count);
  /// Removes all bytes and returns the buffers to the pool.
  void clear();

 private:
  struct Chunk {
    BufferPool::Lease buffer;
    std::size_t begin = 0;
    std::size_t end = 0;
  };

  BufferPool& pool_;
  std::deque<Chunk> chunks_;
  std::size_t size_ = 0;
};

}  // namespace rainhook::net
