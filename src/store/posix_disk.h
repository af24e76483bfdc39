/// @file
/// The production implementation of Disk: the files of one folder, accessed through POSIX. Source:
/// POSIX.1-2017 open, pread, pwrite, fdatasync, rename; flock(2) for the lock, which the kernel releases
/// whenever the process ends, even after a crash.
#pragma once

#include <string>

#include "store/disk.h"

namespace rainhook::store {

/// Owns the descriptors of the folder and of its lock. Any thread may open and read files; only one thread at
/// a time may change the folder.
class PosixDisk final : public Disk {
 public:
  /// Creates the folder if it does not exist, but not its parents. The operations that follow return any
  /// error of this constructor.
  explicit PosixDisk(std::string folder);
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  DiskError list(std::vector<DirectoryEntry>& into) override;
  OpenResult open(const std::string& name) override;
  OpenResult create(const std::string& name) override;
  void prefetch(const std::string& name) override;
  DiskError rename(const std::string& from, const std::string& to) override;
  DiskError remove(const std::string& name) override;
  DiskError syncDirectory() override;
  LockResult lock(const std::string& name) override;
  void unlock() override;

 private:
  OpenResult openWithFlags(const std::string& name, int flags) const;
  std::string lockHolder() const;

  std::string folder_;
  int directoryDescriptor_ = -1;
  int lockDescriptor_ = -1;
  DiskError openError_;
};

}  // namespace rainhook::store
