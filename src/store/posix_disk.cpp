#include "store/posix_disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace rainhook::store {
namespace {

DiskError last() { return {errno}; }
DiskError faultOf(int result) { return result < 0 ? last() : DiskError{}; }

class PosixFile final : public File {
 public:
  explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
  ~PosixFile() override { ::close(descriptor_); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  IoResult read(std::uint64_t offset, std::span<char> into) override {
    return moved([&] { return ::pread(descriptor_, into.data(), into.size(), static_cast<off_t>(offset)); });
  }
  IoResult write(std::uint64_t offset, std::string_view bytes) override {
    return moved(
        [&] { return ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset)); });
  }
  DiskError sync() override { return faultOf(::fdatasync(descriptor_)); }
  void startWriteback() override { ::sync_file_range(descriptor_, 0, 0, SYNC_FILE_RANGE_WRITE); }
  DiskError truncate(std::uint64_t size) override {
    return faultOf(::ftruncate(descriptor_, static_cast<off_t>(size)));
  }
  std::uint64_t size() override {
    struct stat about {};
    return ::fstat(descriptor_, &about) < 0 ? 0 : static_cast<std::uint64_t>(about.st_size);
  }

 private:
  template <typename Call>
  static IoResult moved(Call call) {
    for (;;) {
      const ssize_t count = call();
      if (count >= 0) return {static_cast<std::size_t>(count), {}};
      if (errno != EINTR) return {0, last()};
    }
  }

  const int descriptor_;
};

}  // namespace

std::string DiskError::message() const { return std::generic_category().message(errorNumber); }

DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto moved = file.write(offset, bytes);
    if (moved.error) return moved.error;
    if (moved.bytes == 0) return {EIO};
    offset += moved.bytes;
    bytes.remove_prefix(moved.bytes);
  }
  return {};
}

IoResult readAll(File& file, std::uint64_t offset, std::span<char> into) {
  IoResult out;
  while (out.bytes < into.size()) {
    const auto moved = file.read(offset + out.bytes, into.subspan(out.bytes));
    out.error = moved.error;
    if (moved.error || moved.bytes == 0) break;
    out.bytes += moved.bytes;
  }
  return out;
}

PosixDisk::PosixDisk(std::string folder) : folder_(std::move(folder)) {
  if (::mkdir(folder_.c_str(), 0700) < 0 && errno != EEXIST) openError_ = last();
  directory_ = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory_ < 0 && !openError_) openError_ = last();
}

PosixDisk::~PosixDisk() {
  unlock();
  if (directory_ >= 0) ::close(directory_);
}

DiskError PosixDisk::list(std::vector<DirectoryEntry>& into) {
  if (directory_ < 0) return openError_;
  std::error_code error;
  for (std::filesystem::directory_iterator it(folder_, error), end; !error && it != end;
       it.increment(error)) {
    struct stat about {};
    const auto name = it->path().filename().string();
    if (::fstatat(directory_, name.c_str(), &about, AT_SYMLINK_NOFOLLOW) < 0) continue;  // gone meanwhile
    into.push_back({name, static_cast<std::uint64_t>(about.st_size), !S_ISREG(about.st_mode)});
  }
  return {error.value()};
}

Disk::OpenResult PosixDisk::openAt(const std::string& name, int flags) {
  if (directory_ < 0) return {nullptr, openError_};
  const int descriptor = ::openat(directory_, name.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (descriptor < 0) return {nullptr, last()};
  return {std::make_shared<PosixFile>(descriptor), {}};
}

Disk::OpenResult PosixDisk::open(const std::string& name) { return openAt(name, O_RDONLY); }
Disk::OpenResult PosixDisk::create(const std::string& name) {
  return openAt(name, O_RDWR | O_CREAT | O_TRUNC);
}

void PosixDisk::prefetch(const std::string& name) {
  const int descriptor = ::openat(directory_, name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW);
  if (descriptor < 0) return;
  ::posix_fadvise(descriptor, 0, 0, POSIX_FADV_WILLNEED);
  ::close(descriptor);
}

DiskError PosixDisk::rename(const std::string& from, const std::string& to) {
  return faultOf(::renameat(directory_, from.c_str(), directory_, to.c_str()));
}
DiskError PosixDisk::remove(const std::string& name) {
  return faultOf(::unlinkat(directory_, name.c_str(), 0));
}
DiskError PosixDisk::syncDirectory() { return directory_ < 0 ? openError_ : faultOf(::fsync(directory_)); }

void PosixDisk::unlock() {
  if (lock_ >= 0) ::close(std::exchange(lock_, -1));
}

Disk::LockResult PosixDisk::lock(const std::string& name) {
  if (directory_ < 0) return {openError_, {}};
  lock_ = ::openat(directory_, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (lock_ < 0) return {last(), {}};
  char pid[32] = {};
  if (::flock(lock_, LOCK_EX | LOCK_NB) < 0) {
    const auto error = last();
    if (::pread(lock_, pid, sizeof pid - 1, 0) < 0) pid[0] = 0;
    pid[std::strcspn(pid, "\n")] = 0;
    ::close(std::exchange(lock_, -1));
    return {error, pid};
  }
  const auto own = std::to_string(::getpid()) + "\n";
  if (::ftruncate(lock_, 0) < 0 || ::pwrite(lock_, own.data(), own.size(), 0) < 0) return {};  // only a help
  return {};
}

}  // namespace rainhook::store
