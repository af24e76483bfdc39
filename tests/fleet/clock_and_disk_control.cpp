/// @file
/// The library that replaces functions of the C library; see clock_and_disk_control.h. It calls the kernel
/// directly, because it may be called before other libraries are initialized. Source: POSIX.1-2017
/// clock_gettime, gettimeofday, time, pwrite, fdatasync.
#include "fleet/clock_and_disk_control.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

namespace {

using rainhook::fleet::ClockAndDiskControl;

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;

/// Maps the control file. Returns null if the environment names none or it cannot be mapped.
ClockAndDiskControl* mapControl() {
  const char* file = ::getenv(rainhook::fleet::controlFileVariable);
  const int descriptor = file ? ::open(file, O_RDWR | O_CLOEXEC) : -1;
  if (descriptor < 0) return nullptr;
  void* address =
      ::mmap(nullptr, sizeof(ClockAndDiskControl), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  return address == MAP_FAILED ? nullptr : static_cast<ClockAndDiskControl*>(address);
}

ClockAndDiskControl* control() {
  static ClockAndDiskControl* const mapped = mapControl();
  return mapped;
}

/// Sets errno and returns true if the test set a disk fault.
bool failsOnDisk() {
  ClockAndDiskControl* const controlled = control();
  const int fault = controlled ? controlled->diskFault.load() : 0;
  if (fault == 0) return false;
  ++controlled->diskFaults;
  errno = fault;
  return true;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  const long result = ::syscall(SYS_clock_gettime, clock, out);
  ClockAndDiskControl* const controlled = clock == CLOCK_REALTIME ? control() : nullptr;
  const std::int64_t offset = controlled ? controlled->wallOffsetNs.load() : 0;
  if (result != 0 || offset == 0) return static_cast<int>(result);
  ++controlled->wallReads;
  const std::int64_t shifted = out->tv_sec * nanosecondsPerSecond + out->tv_nsec + offset;
  out->tv_sec = shifted / nanosecondsPerSecond;
  out->tv_nsec = shifted % nanosecondsPerSecond;
  return 0;
}
int gettimeofday(timeval* __restrict out, void* __restrict) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  out->tv_sec = now.tv_sec;
  out->tv_usec = now.tv_nsec / 1000;
  return 0;
}
time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out) *out = now.tv_sec;
  return now.tv_sec;
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t offset) {
  return failsOnDisk() ? -1 : ::syscall(SYS_pwrite64, fd, bytes, size, offset);
}
ssize_t pwrite64(int fd, const void* bytes, size_t size, off64_t offset) {
  return failsOnDisk() ? -1 : ::syscall(SYS_pwrite64, fd, bytes, size, offset);
}
int fdatasync(int fd) { return failsOnDisk() ? -1 : static_cast<int>(::syscall(SYS_fdatasync, fd)); }

}  // extern "C"
