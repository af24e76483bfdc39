#include "store/posix_disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

namespace rainhook::store {
namespace {

constexpr mode_t folderMode = 0700;
constexpr mode_t fileMode = 0600;
constexpr std::size_t maxPidTextBytes = 31;
constexpr std::string_view lineEnds{"\n\0", 2};

DiskError lastError() { return diskError(errno); }
DiskError errorOf(int result) { return result < 0 ? lastError() : DiskError{}; }

class PosixFile final : public File {
 public:
  explicit PosixFile(int descriptor) : descriptor_(descriptor) {}
  ~PosixFile() override { ::close(descriptor_); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  IoResult read(std::uint64_t offset, std::span<char> into) override {
    return transfer(
        [&] { return ::pread(descriptor_, into.data(), into.size(), static_cast<off_t>(offset)); });
  }
  IoResult write(std::uint64_t offset, std::string_view bytes) override {
    return transfer(
        [&] { return ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(offset)); });
  }
  DiskError sync() override { return errorOf(::fdatasync(descriptor_)); }
  void startWriteback() override { ::sync_file_range(descriptor_, 0, 0, SYNC_FILE_RANGE_WRITE); }
  DiskError truncate(std::uint64_t size) override {
    return errorOf(::ftruncate(descriptor_, static_cast<off_t>(size)));
  }
  std::uint64_t size() override {
    struct stat status {};
    return ::fstat(descriptor_, &status) < 0 ? 0 : static_cast<std::uint64_t>(status.st_size);
  }

 private:
  /// Repeats the system call if a signal interrupts it.
  template <typename Call>
  static IoResult transfer(Call call) {
    for (;;) {
      const ssize_t count = call();
      if (count >= 0) return {static_cast<std::size_t>(count), {}};
      if (errno != EINTR) return {0, lastError()};
    }
  }

  const int descriptor_;
};

}  // namespace

PosixDisk::PosixDisk(std::string folder) : folder_(std::move(folder)) {
  if (::mkdir(folder_.c_str(), folderMode) < 0 && errno != EEXIST) openError_ = lastError();
  directoryDescriptor_ = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directoryDescriptor_ < 0 && !openError_) openError_ = lastError();
}

PosixDisk::~PosixDisk() {
  unlock();
  if (directoryDescriptor_ >= 0) ::close(directoryDescriptor_);
}

DiskError PosixDisk::list(std::vector<DirectoryEntry>& into) {
  if (directoryDescriptor_ < 0) return openError_;
  std::error_code error;
  for (std::filesystem::directory_iterator it(folder_, error), end; !error && it != end;
       it.increment(error)) {
    struct stat status {};
    const std::string name = it->path().filename().string();
    // Another process may have removed the file since it was listed.
    if (::fstatat(directoryDescriptor_, name.c_str(), &status, AT_SYMLINK_NOFOLLOW) < 0) continue;
    into.push_back({name, static_cast<std::uint64_t>(status.st_size), !S_ISREG(status.st_mode)});
  }
  return diskError(error.value());
}

Disk::OpenResult PosixDisk::openWithFlags(const std::string& name, int flags) const {
  if (directoryDescriptor_ < 0) return {nullptr, openError_};
  const int descriptor =
      ::openat(directoryDescriptor_, name.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, fileMode);
  if (descriptor < 0) return {nullptr, lastError()};
  return {std::make_shared<PosixFile>(descriptor), {}};
}

Disk::OpenResult PosixDisk::open(const std::string& name) { return openWithFlags(name, O_RDONLY); }

Disk::OpenResult PosixDisk::create(const std::string& name) {
  return openWithFlags(name, O_RDWR | O_CREAT | O_TRUNC);
}

void PosixDisk::prefetch(const std::string& name) {
  const int descriptor = ::openat(directoryDescriptor_, name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW);
  if (descriptor < 0) return;
  ::posix_fadvise(descriptor, 0, 0, POSIX_FADV_WILLNEED);
  ::close(descriptor);
}

DiskError PosixDisk::rename(const std::string& from, const std::string& to) {
  return errorOf(::renameat(directoryDescriptor_, from.c_str(), directoryDescriptor_, to.c_str()));
}

DiskError PosixDisk::remove(const std::string& name) {
  return errorOf(::unlinkat(directoryDescriptor_, name.c_str(), 0));
}

DiskError PosixDisk::syncDirectory() {
  return directoryDescriptor_ < 0 ? openError_ : errorOf(::fsync(directoryDescriptor_));
}

Disk::LockResult PosixDisk::lock(const std::string& name) {
  if (directoryDescriptor_ < 0) return {openError_, {}};
  lockDescriptor_ =
      ::openat(directoryDescriptor_, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, fileMode);
  if (lockDescriptor_ < 0) return {lastError(), {}};
  if (::flock(lockDescriptor_, LOCK_EX | LOCK_NB) < 0) {
    const DiskError error = lastError();
    const std::string holder = lockHolder();
    unlock();
    return {error, holder};
  }
  const std::string pid = std::to_string(::getpid()) + "\n";
  // The pid is only informational; the lock is effective without it.
  if (::ftruncate(lockDescriptor_, 0) == 0) {
    [[maybe_unused]] const ssize_t written = ::pwrite(lockDescriptor_, pid.data(), pid.size(), 0);
  }
  return {};
}

std::string PosixDisk::lockHolder() const {
  std::array<char, maxPidTextBytes> text{};
  const ssize_t size = ::pread(lockDescriptor_, text.data(), text.size(), 0);
  if (size < 0) return {};
  const std::string_view line(text.data(), static_cast<std::size_t>(size));
  return std::string(line.substr(0, line.find_first_of(lineEnds)));
}

void PosixDisk::unlock() {
  if (lockDescriptor_ >= 0) ::close(std::exchange(lockDescriptor_, -1));
}

}  // namespace rainhook::store
