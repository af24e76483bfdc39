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

struct Fault {
  int code = 0;  // errno; 0 is none

  explicit operator bool() const { return code != 0; }
  std::string text() const;
  bool operator==(const Fault&) const = default;
};

struct Transfer {
  std::size_t bytes = 0;  // may be fewer than asked for; 0 without a fault is the end of the file
  Fault fault;
};

class File {
 public:
  virtual ~File() = default;
  virtual Transfer read(std::uint64_t offset, std::span<char> into) = 0;
  virtual Transfer write(std::uint64_t offset, std::string_view bytes) = 0;
  virtual Fault sync() = 0;     // what was written before is on the disk when this says so
  virtual void willSync() = 0;  // what was written may go to the disk now, so that the sync finds less to do
  virtual Fault cut(std::uint64_t size) = 0;
  virtual std::uint64_t size() = 0;
};

class Disk {
 public:
  struct Listed {
    std::string name;
    std::uint64_t bytes = 0;
    bool folder = false;
  };
  struct Opened {
    std::shared_ptr<File> file;  // null with a fault
    Fault fault;
  };
  struct Locked {
    Fault fault;
    std::string holder;  // the pid that holds it, where that is known
  };

  virtual ~Disk() = default;
  virtual Fault list(std::vector<Listed>& into) = 0;
  virtual Opened open(const std::string& name) = 0;    // to read
  virtual Opened create(const std::string& name) = 0;  // to read and write; empties one that is there
  virtual void willRead(const std::string& name) = 0;  // soon and whole; only makes it quicker
  virtual Fault rename(const std::string& from, const std::string& to) = 0;
  virtual Fault remove(const std::string& name) = 0;
  virtual Fault syncFolder() = 0;                    // names made, changed and removed before are on the disk
  virtual Locked lock(const std::string& name) = 0;  // until unlocked, or the Disk goes, or its process
  virtual void unlock() = 0;
};

// Goes on after short transfers; a transfer that moves nothing is EIO.
Fault writeAll(File& file, std::uint64_t offset, std::string_view bytes);
// Up to the end of the file; `bytes` tells how far it came.
Transfer readAll(File& file, std::uint64_t offset, std::span<char> into);

}  // namespace rainhook::store
