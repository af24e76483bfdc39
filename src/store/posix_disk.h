// The disk in service: files of one folder by POSIX. Source: POSIX.1-2017 open, pread, pwrite, fdatasync,
// rename; flock(2) for the lock, which the kernel gives back when its process ends, however it ends.
#pragma once

#include <string>

#include "store/disk.h"

namespace rainhook::store {

class PosixDisk final : public Disk {
 public:
  // Makes the folder where it is absent (not its parents).
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
  OpenResult openAt(const std::string& name, int flags);

  std::string folder_;
  int directory_ = -1, lock_ = -1;
  DiskError openError_;
};

}  // namespace rainhook::store
