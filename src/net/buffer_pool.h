/// @file
/// Buffers of one size that are used again, and output that waits in them.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace rainhook::net {

/// Lends buffers. It must outlive its leases. For one thread only.
class BufferPool {
 public:
  /// Bytes in one buffer.
  static constexpr std::size_t bufferSize = 16 * 1024;
  /// What the pool lends.
  using Buffer = std::array<char, bufferSize>;

  /// Returns a buffer to its pool.
  struct Releaser {
    /// Where the buffer came from.
    BufferPool* pool;
    /// Gives the buffer back.
    void operator()(Buffer* buffer) const { pool->release(buffer); }
  };
  /// Owns a buffer until it is destroyed or reset.
  using Lease = std::unique_ptr<Buffer, Releaser>;

  /// The buffer's content is undefined.
  [[nodiscard]] Lease acquire();
  /// How many buffers are lent now.
  [[nodiscard]] std::size_t acquiredCount() const { return acquiredCount_; }

 private:
  /// Free buffers beyond this many go back to the system.
  static constexpr std::size_t maxFreeBuffers = 256;
  void release(Buffer* buffer);

  std::vector<std::unique_ptr<Buffer>> freeBuffers_;
  std::size_t acquiredCount_ = 0;
};

/// A queue of bytes that wait to be sent, in buffers of a pool.
class SendBuffer {
 public:
  /// The pool must outlive it.
  explicit SendBuffer(BufferPool& pool) : pool_(pool) {}

  /// Copies the bytes to the end.
  void append(std::string_view bytes);
  /// Whether nothing waits.
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Bytes that wait.
  [[nodiscard]] std::size_t size() const { return size_; }
  /// The first bytes, as many as lie in one buffer; valid until the next call of a non-const function.
  [[nodiscard]] std::string_view front() const;
  /// Removes bytes from the front, at most the size of front().
  void consume(std::size_t count);
  /// Removes all bytes and returns the buffers.
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
