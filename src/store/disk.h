/// @file
/// The folder that a store lives in: one flat directory of files. PosixDisk in service; the tests have one
/// that simulates crashes and failures. Nothing here throws: every operation returns its error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace rainhook::store {

/// An error of the operating system in the generic category; compares with std::errc.
using DiskError = std::error_code;

/// The error of an errno value; 0 is success.
inline DiskError diskError(int errorNumber) { return {errorNumber, std::generic_category()}; }

/// How a read or a write ended.
struct IoResult {
  std::size_t bytes = 0;  ///< May be fewer than asked for; 0 without an error is the end of the file.
  DiskError error;        ///< Why nothing more was moved.
};

/// An open file; closed with its destruction.
class File {
 public:
  virtual ~File() = default;
  /// Reads from the offset; may read less than asked for.
  virtual IoResult read(std::uint64_t offset, std::span<char> into) = 0;
  /// Writes at the offset; may write less than given.
  virtual IoResult write(std::uint64_t offset, std::string_view bytes) = 0;
  /// What was written before is durable once this succeeds.
  virtual DiskError sync() = 0;
  /// A hint to begin writing back what was written, so that a later sync finds less to do.
  virtual void startWriteback() = 0;
  /// Shortens the file to this size.
  virtual DiskError truncate(std::uint64_t size) = 0;
  /// The present size, 0 where it can't be told.
  virtual std::uint64_t size() = 0;
};

/// The operations on the folder.
class Disk {
 public:
  /// A name in the folder.
  struct DirectoryEntry {
    std::string name;          ///< Without a path.
    std::uint64_t bytes = 0;   ///< The file's size.
    bool isDirectory = false;  ///< Or anything else that is no regular file.
  };
  /// How an opening ended.
  struct OpenResult {
    std::shared_ptr<File> file;  ///< Null with an error.
    DiskError error;             ///< Why there is no file.
  };
  /// How a locking ended.
  struct LockResult {
    DiskError error;     ///< operation_would_block where another process holds the lock.
    std::string holder;  ///< The process id that holds the lock, where that is known.
  };

  virtual ~Disk() = default;
  /// Appends all names in the folder.
  virtual DiskError list(std::vector<DirectoryEntry>& into) = 0;
  /// Opens an existing file for reading.
  virtual OpenResult open(const std::string& name) = 0;
  /// Opens a file for reading and writing; truncates one that exists.
  virtual OpenResult create(const std::string& name) = 0;
  /// A hint that the whole file will be read soon.
  virtual void prefetch(const std::string& name) = 0;
  /// Replaces `to` where it exists.
  virtual DiskError rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; whoever has it open can read on.
  virtual DiskError remove(const std::string& name) = 0;
  /// Names created, changed and removed before are durable once this succeeds.
  virtual DiskError syncDirectory() = 0;
  /// Locks the folder until `unlock`, the end of this object or of its process.
  virtual LockResult lock(const std::string& name) = 0;
  /// Releases the lock, if it is held.
  virtual void unlock() = 0;
};

/// Continues after short writes; a write that moves nothing is an I/O error.
DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes);
/// Reads until `into` is full or the file ends; `bytes` tells how many were read, also with an error.
IoResult readAll(File& file, std::uint64_t offset, std::span<char> into);

}  // namespace rainhook::store
