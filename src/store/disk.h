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

struct IoResult {
  std::size_t bytes = 0;  ///< May be fewer than asked for; 0 without an error is the end of the file.
  DiskError error;
};

class File {
 public:
  virtual ~File() = default;
  virtual IoResult read(std::uint64_t offset, std::span<char> into) = 0;
  virtual IoResult write(std::uint64_t offset, std::string_view bytes) = 0;
  /// What was written before is durable once this succeeds.
  virtual DiskError sync() = 0;
  /// A hint to begin writing back what was written, so that a later sync finds less to do.
  virtual void startWriteback() = 0;
  virtual DiskError truncate(std::uint64_t size) = 0;
  virtual std::uint64_t size() = 0;
};

class Disk {
 public:
  struct DirectoryEntry {
    std::string name;
    std::uint64_t bytes = 0;
    bool isDirectory = false;
  };
  struct OpenResult {
    std::shared_ptr<File> file;  ///< Null with an error.
    DiskError error;
  };
  struct LockResult {
    DiskError error;
    std::string holder;  ///< The process id that holds the lock, where that is known.
  };

  virtual ~Disk() = default;
  virtual DiskError list(std::vector<DirectoryEntry>& into) = 0;
  /// Opens an existing file for reading.
  virtual OpenResult open(const std::string& name) = 0;
  /// Opens a file for reading and writing; truncates one that exists.
  virtual OpenResult create(const std::string& name) = 0;
  /// A hint that the whole file will be read soon.
  virtual void prefetch(const std::string& name) = 0;
  virtual DiskError rename(const std::string& from, const std::string& to) = 0;
  virtual DiskError remove(const std::string& name) = 0;
  /// Names created, changed and removed before are durable once this succeeds.
  virtual DiskError syncDirectory() = 0;
  /// Locks the folder until `unlock`, the end of this object or of its process.
  virtual LockResult lock(const std::string& name) = 0;
  virtual void unlock() = 0;
};

/// Continues after short writes; a write that moves nothing is an I/O error.
DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes);
/// Reads until `into` is full or the file ends; `bytes` tells how many were read, also with an error.
IoResult readAll(File& file, std::uint64_t offset, std::span<char> into);

}  // namespace rainhook::store
