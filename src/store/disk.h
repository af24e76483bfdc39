/// @file
/// The interface to the folder of a store: one flat directory of files. PosixDisk implements it in
/// production; the tests use an implementation that simulates crashes and failures. No operation throws; each
/// one returns its error.
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

/// An operating system error in the generic category; it can be compared with std::errc.
using DiskError = std::error_code;

/// Converts an errno value to an error; 0 means success.
inline DiskError diskError(int errorNumber) { return {errorNumber, std::generic_category()}; }

/// The result of a read or a write.
struct IoResult {
  std::size_t bytes = 0;  ///< May be fewer than requested; 0 without an error means end of file.
  DiskError error;        ///< Why no more bytes were transferred.
};

/// An open file. The destructor closes it.
class File {
 public:
  virtual ~File() = default;
  /// Reads from the offset; may read fewer bytes than requested.
  virtual IoResult read(std::uint64_t offset, std::span<char> into) = 0;
  /// Writes at the offset; may write fewer bytes than given.
  virtual IoResult write(std::uint64_t offset, std::string_view bytes) = 0;
  /// Makes all preceding writes durable if it succeeds.
  virtual DiskError sync() = 0;
  /// Asks the system to start writing back dirty pages, so that a later sync has less to do.
  virtual void startWriteback() = 0;
  /// Truncates the file to this size.
  virtual DiskError truncate(std::uint64_t size) = 0;
  /// The current size, or 0 if it can't be determined.
  virtual std::uint64_t size() = 0;
};

/// The operations on the folder.
class Disk {
 public:
  /// An entry of the folder.
  struct DirectoryEntry {
    std::string name;               ///< File name without a path.
    std::uint64_t bytes = 0;        ///< File size.
    bool isNotRegularFile = false;  ///< True for a directory, a link or a special file.
  };
  /// The result of opening or creating a file.
  struct OpenResult {
    std::shared_ptr<File> file;  ///< Null on an error.
    DiskError error;             ///< Why the file could not be opened.
  };
  /// The result of locking the folder.
  struct LockResult {
    DiskError error;     ///< operation_would_block if another process holds the lock.
    std::string holder;  ///< The pid of the process that holds the lock, if known.
  };

  virtual ~Disk() = default;
  /// Appends all entries of the folder to `into`.
  virtual DiskError list(std::vector<DirectoryEntry>& into) = 0;
  /// Opens an existing file for reading.
  virtual OpenResult open(const std::string& name) = 0;
  /// Opens a file for reading and writing; truncates an existing file.
  virtual OpenResult create(const std::string& name) = 0;
  /// Tells the system that the whole file will be read soon.
  virtual void prefetch(const std::string& name) = 0;
  /// Renames a file; replaces `to` if it exists.
  virtual DiskError rename(const std::string& from, const std::string& to) = 0;
  /// Removes a file; File objects that are already open can still be read.
  virtual DiskError remove(const std::string& name) = 0;
  /// Makes all preceding creations, renames and removals durable if it succeeds.
  virtual DiskError syncDirectory() = 0;
  /// Locks the folder until `unlock`, the destruction of this object or the end of its process.
  virtual LockResult lock(const std::string& name) = 0;
  /// Releases the lock if it is held.
  virtual void unlock() = 0;
};

/// Writes all bytes and continues after short writes; a write of 0 bytes is an I/O error.
DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes);
/// Reads until `into` is full or the file ends. `bytes` is the number of bytes read, even on an error.
IoResult readAll(File& file, std::uint64_t offset, std::span<char> into);

}  // namespace rainhook::store
