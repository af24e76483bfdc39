// The folder that a store lives in, as the store sees it: one flat folder of files. POSIX in service
// (posix_disk.h); in tests one that forgets what was not synced. Faults are values: errno as it was.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rainhook::store {

struct DiskError {
  int errorNumber = 0;  // errno; 0 is none

  explicit operator bool() const { return errorNumber != 0; }
  std::string message() const;
  bool operator==(const DiskError&) const = default;
};

struct IoResult {
  std::size_t bytes = 0;  // may be fewer than asked for; 0 without a fault is the end of the file
  DiskError error;
};

class File {
 public:
  virtual ~File() = default;
  virtual IoResult read(std::uint64_t offset, std::span<char> into) = 0;
  virtual IoResult write(std::uint64_t offset, std::string_view bytes) = 0;
  virtual DiskError sync() = 0;  // what was written before is on the disk when this says so
  virtual void
  startWriteback() = 0;  // what was written may go to the disk now, so that the sync finds less to do
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
    std::shared_ptr<File> file;  // null with a fault
    DiskError error;
  };
  struct LockResult {
    DiskError error;
    std::string holder;  // the pid that holds it, where that is known
  };

  virtual ~Disk() = default;
  virtual DiskError list(std::vector<DirectoryEntry>& into) = 0;
  virtual OpenResult open(const std::string& name) = 0;    // to read
  virtual OpenResult create(const std::string& name) = 0;  // to read and write; empties one that is there
  virtual void prefetch(const std::string& name) = 0;      // soon and whole; only makes it quicker
  virtual DiskError rename(const std::string& from, const std::string& to) = 0;
  virtual DiskError remove(const std::string& name) = 0;
  virtual DiskError syncDirectory() = 0;  // names made, changed and removed before are on the disk
  virtual LockResult lock(const std::string& name) = 0;  // until unlocked, or the Disk goes, or its process
  virtual void unlock() = 0;
};

// Goes on after short transfers; a transfer that moves nothing is EIO.
DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes);
// Up to the end of the file; `bytes` tells how far it came.
IoResult readAll(File& file, std::uint64_t offset, std::span<char> into);

}  // namespace rainhook::store
