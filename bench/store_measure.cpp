/// @file
/// `make measure-store`: measures the store in a real folder and compares it with the same store without
/// group commit and without hint files. Usage: store_measure FOLDER [ENTRIES], where ENTRIES is the number of
/// entries in the measurement of the start. Takes about a minute and removes the folder at the end.
#include <fcntl.h>
#include <fmt/format.h>
#include <malloc.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "store/compaction_policy.h"
#include "store/posix_disk.h"
#include "store/record_format.h"
#include "store/store.h"

namespace {

using namespace rainhook::store;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr int runs = 3;
constexpr double microsecondsPerSecond = 1e6;
constexpr double millisecondsPerSecond = 1e3;

UnixTime systemTime() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}
double secondsSince(Clock::time_point begin) { return Seconds(Clock::now() - begin).count(); }

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}
double medianOfRuns(const std::function<double()>& measure) {
  std::vector<double> values;
  for (int i = 0; i < runs; ++i) values.push_back(measure());
  return median(values);
}
double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

std::string keyOf(std::uint64_t i) { return fmt::format("key{:08}", i); }

/// Returns random bytes, which zstd can't compress.
std::string randomValue(pcg32& random, std::size_t bytes) {
  std::string out(bytes, '\0');
  for (char& c : out) c = static_cast<char>(random());
  return out;
}

/// Prints each row when it is measured, and all rows as one line at the end.
class Report {
 public:
  void row(const std::string& text, const std::string& name, double value, int digits) {
    fmt::print("  {:<42}{:>12.{}f}\n", text, value, digits);
    values_.emplace_back(name, value);
  }
  /// Returns the value of an earlier row; `rowsAgo` 1 is the last row.
  double valueOfRow(std::size_t rowsAgo) const { return values_[values_.size() - rowsAgo].second; }
  void printSummary() const {
    fmt::print("\nmeasure store:");
    for (const auto& [name, value] : values_) fmt::print(" {}={:.2f}", name, value);
    fmt::print("\n");
  }

 private:
  std::vector<std::pair<std::string, double>> values_;
};

/// The folder and the settings of the measured stores.
struct StoreSetup {
  std::string folder;
  StoreSettings settings;

  std::unique_ptr<Store> openStore() const {
    auto out = std::make_unique<Store>(std::make_unique<PosixDisk>(folder), settings, systemTime,
                                       [](const std::string& line) { fmt::print(stderr, "{}\n", line); });
    if (const auto status = out->open(1); !status.isOk()) {
      fmt::print(stderr, "{}\n", status.message);
      std::exit(1);
    }
    return out;
  }
  void clear() const { std::filesystem::remove_all(folder); }
};

struct PutMeasurement {
  double perSecond = 0;
  double p99Ms = 0;
};

/// Keeps `inFlight` writes pending for the given time; starts the next write when one is acknowledged.
PutMeasurement measurePuts(Store& store, std::uint64_t inFlight, double seconds,
                           const std::function<std::string()>& nextKey, std::size_t valueBytes) {
  pcg32 random(7);
  const auto value = randomValue(random, valueBytes);
  std::vector<double> latenciesMs;
  std::uint64_t pending = 0;
  const auto begin = Clock::now();
  while (secondsSince(begin) < seconds || pending > 0) {
    while (pending < inFlight && secondsSince(begin) < seconds) {
      const auto sent = Clock::now();
      const auto status = store.put(nextKey(), value, neverExpires, [&, sent](const StoreStatus& result) {
        --pending;
        if (result.isOk()) latenciesMs.push_back(secondsSince(sent) * millisecondsPerSecond);
      });
      if (status.isOk()) ++pending;
    }
    pollfd readable{store.eventFd(), POLLIN, 0};
    ::poll(&readable, 1, 100);
    store.dispatchCompletions();
  }
  PutMeasurement out;
  out.perSecond = static_cast<double>(latenciesMs.size()) / secondsSince(begin);
  out.p99Ms = quantile(latenciesMs, 0.99);
  return out;
}

double putsPerSecond(StoreSetup setup, std::uint64_t inFlight, std::uint64_t maxCommitWrites) {
  setup.settings.maxCommitWrites = maxCommitWrites;
  return medianOfRuns([&] {
    setup.clear();
    const auto store = setup.openStore();
    std::uint64_t number = 0;
    const auto nextKey = [&] { return keyOf(number++); };
    return measurePuts(*store, inFlight, 1.0, nextKey, 100).perSecond;
  });
}

void measureGroupCommit(const StoreSetup& setup, Report& report) {
  fmt::print("{:<44}{:>12}\n", "durable puts per second", "");
  for (const std::uint64_t inFlight : {1, 8, 64})
    report.row(fmt::format("{} in flight", inFlight), fmt::format("puts_{}", inFlight),
               putsPerSecond(setup, inFlight, 1024), 0);
  report.row("64 in flight, one sync per put", "puts_64_single", putsPerSecond(setup, 64, 1), 0);
  report.row("speed-up by group commit", "group_gain", report.valueOfRow(2) / report.valueOfRow(1), 1);
}

void measureGets(StoreSetup setup, Report& report) {
  setup.clear();
  setup.settings.maxDiskBytes = 512 << 20;
  setup.settings.maxIndexBytes = 512 << 20;
  const auto store = setup.openStore();
  std::uint64_t entries = 0;
  const auto nextKey = [&] { return keyOf(entries++); };
  measurePuts(*store, 512, 2.0, nextKey, 100);
  pcg32 random(3);
  std::vector<double> latenciesUs;
  std::uint64_t missing = 0;
  const auto begin = Clock::now();
  while (secondsSince(begin) < 2) {
    const auto key = keyOf(random(static_cast<std::uint32_t>(entries)));
    const auto sent = Clock::now();
    missing += !store->get(key).value;
    latenciesUs.push_back(secondsSince(sent) * microsecondsPerSecond);
  }
  fmt::print("gets from {} entries\n", entries);
  report.row("gets per second", "gets", static_cast<double>(latenciesUs.size()) / secondsSince(begin), 0);
  report.row("p99, microseconds", "get_p99_us", quantile(latenciesUs, 0.99), 1);
  if (missing > 0) fmt::print("  {} gets found no value\n", missing);
}

void fillForStart(const StoreSetup& setup, std::uint64_t entries) {
  constexpr std::uint64_t keyStride = 7919;  // a prime number, so that the keys are not written in key order
  PosixDisk disk(setup.folder);
  LogStructuredStore store(disk, setup.settings, {});
  if (!store.open(1).isOk()) std::exit(1);
  pcg32 random(5);
  for (std::uint64_t i = 0; i < entries;) {
    std::vector<WriteRequest> batch;
    for (int b = 0; b < 1024 && i < entries; ++b, ++i)
      batch.push_back(WriteRequest::put(keyOf(i * keyStride % entries), randomValue(random, 1000)));
    store.commit(batch, systemTime());
  }
  store.close();
}

/// Drops the folder's files from the page cache, to simulate a restart of the machine.
void dropPageCache(const std::string& folder) {
  ::sync();
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const int descriptor = ::open(entry.path().c_str(), O_RDONLY);
    ::posix_fadvise(descriptor, 0, 0, POSIX_FADV_DONTNEED);
    ::close(descriptor);
  }
}

void removeHintFiles(const std::string& folder) {
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".hint") std::filesystem::remove(entry.path());
}

enum class Hints { present, absent };
enum class PageCache { cold, warm };

double startSeconds(const StoreSetup& setup, std::uint64_t entries, Hints hints, PageCache cache) {
  return medianOfRuns([&] {
    if (hints == Hints::absent) removeHintFiles(setup.folder);
    if (cache == PageCache::cold) dropPageCache(setup.folder);
    const auto begin = Clock::now();
    PosixDisk disk(setup.folder);
    LogStructuredStore store(disk, setup.settings, {});
    if (!store.open(1).isOk() || store.statistics().entries != entries) std::exit(1);
    return secondsSince(begin);
  });
}

std::uint64_t allocatedBytes() { return ::mallinfo2().uordblks; }

void measureMemory(const StoreSetup& setup, std::uint64_t entries, Report& report) {
  PosixDisk disk(setup.folder);
  LogStructuredStore store(disk, setup.settings, {});
  const std::uint64_t allocatedBefore = allocatedBytes();
  if (!store.open(1).isOk()) std::exit(1);
  const auto perEntry = [&](std::uint64_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(entries);
  };
  report.row("counted index bytes per entry", "index_entry", perEntry(store.statistics().indexBytes), 0);
  report.row("allocated bytes per entry", "allocated_entry", perEntry(allocatedBytes() - allocatedBefore), 0);
}

void measureStart(StoreSetup setup, std::uint64_t entries, Report& report) {
  setup.clear();
  setup.settings.maxDiskBytes = std::uint64_t{4} << 30;
  setup.settings.maxIndexBytes = 1 << 30;
  setup.settings.maxSegmentBytes = 16 << 20;
  setup.settings.maxQueueBytes = 64 << 20;
  fillForStart(setup, entries);
  fmt::print("start with {} entries with values of 1000 bytes\n", entries);
  for (const PageCache cache : {PageCache::cold, PageCache::warm}) {
    const std::string name = cache == PageCache::cold ? "cold" : "warm";
    report.row(name + " page cache, with hint files, seconds", "start_" + name + "_hints_s",
               startSeconds(setup, entries, Hints::present, cache), 2);
    report.row(name + " page cache, without hint files, seconds", "start_" + name + "_scan_s",
               startSeconds(setup, entries, Hints::absent, cache), 2);
    report.row("speed-up by hint files", "start_" + name + "_gain",
               report.valueOfRow(1) / report.valueOfRow(2), 1);
  }
  measureMemory(setup, entries, report);
}

/// Measures the latency of acknowledgements while nothing is overwritten, and during continuous compaction.
void measureLatencyDuringCompaction(StoreSetup setup, Report& report) {
  constexpr std::uint32_t keys = 20000;
  setup.settings.maxDiskBytes = 64 << 20;
  setup.settings.maxSegmentBytes = 2 << 20;
  std::vector<double> quietMs;
  std::vector<double> compactingMs;
  std::vector<double> compactions;
  for (int i = 0; i < runs; ++i) {
    setup.clear();
    const auto store = setup.openStore();
    std::uint64_t number = 0;
    quietMs.push_back(measurePuts(
                          *store, 8, 1.5, [&] { return keyOf(number++); }, 1000)
                          .p99Ms);
    pcg32 random(4);
    for (std::uint64_t key = 0; key < keys;)
      measurePuts(
          *store, 64, 0.2, [&] { return keyOf(key++); }, 1000);
    const auto before = store->statistics().log;
    compactingMs.push_back(measurePuts(
                               *store, 8, 3.0, [&] { return keyOf(random(keys)); }, 1000)
                               .p99Ms);
    compactions.push_back(static_cast<double>(store->statistics().log.compactions - before.compactions));
  }
  fmt::print("acknowledgements, 8 in flight, values of 1000 bytes\n");
  report.row("p99 without compaction, ms", "ack_quiet_p99_ms", median(quietMs), 2);
  report.row("p99 during compaction, ms", "ack_compact_p99_ms", median(compactingMs), 2);
  report.row("ratio of the latencies", "ack_ratio", median(compactingMs) / median(quietMs), 1);
  report.row("segments compacted", "compactions", median(compactions), 0);
}

struct Amplification {
  double factor = 0;
  std::uint64_t peakFolderBytes = 0;
  std::uint64_t maxFolderBytes = 0;
  std::uint64_t failedWrites = 0;
};

/// Measures random overwrites after the folder has filled, with this share of the usable bytes live.
Amplification measureAmplification(StoreSetup setup, double liveShare) {
  constexpr std::size_t valueBytes = 300;
  constexpr std::size_t keyBytes = 11;
  setup.clear();
  setup.settings.maxDiskBytes = 32 << 20;
  setup.settings.maxSegmentBytes = 1 << 20;
  PosixDisk disk(setup.folder);
  LogStructuredStore store(disk, setup.settings, {});
  if (!store.open(1).isOk()) std::exit(1);
  pcg32 random(9);
  const auto entryBytes = static_cast<double>(recordBytes(keyBytes, valueBytes) + hintEntryBytes(keyBytes));
  const auto usableBytes =
      static_cast<double>(setup.settings.maxDiskBytes - CompactionPolicy(setup.settings).reservedBytes());
  const auto entries = static_cast<std::uint32_t>(liveShare * usableBytes / entryBytes);
  Amplification out;
  out.maxFolderBytes = setup.settings.maxDiskBytes;
  const auto write = [&](std::uint64_t count, const std::function<std::uint64_t(std::uint64_t)>& keyNumber) {
    for (std::uint64_t i = 0; i < count;) {
      std::vector<WriteRequest> batch;
      for (int b = 0; b < 128 && i < count; ++b, ++i)
        batch.push_back(WriteRequest::put(keyOf(keyNumber(i)), randomValue(random, valueBytes)));
      for (const auto& status : store.commit(batch, systemTime())) out.failedWrites += !status.isOk();
      store.runMaintenance(systemTime());
      std::uint64_t folderBytes = 0;
      for (const auto& entry : std::filesystem::directory_iterator(setup.folder))
        folderBytes += entry.file_size();
      out.peakFolderBytes = std::max(out.peakFolderBytes, folderBytes);
    }
  };
  write(entries, [](std::uint64_t i) { return i; });
  write(entries, [&](std::uint64_t) { return random(entries); });
  const auto before = store.statistics();
  write(entries * 3, [&](std::uint64_t) { return random(entries); });
  const auto after = store.statistics();
  const auto writtenBytes = static_cast<double>(after.writtenBytes - before.writtenBytes);
  const auto compactedBytes = static_cast<double>(after.compactedBytes - before.compactedBytes);
  out.factor = (writtenBytes + compactedBytes) / writtenBytes;
  out.peakFolderBytes = std::max(out.peakFolderBytes, after.peakFolderBytes);
  store.close();
  return out;
}

void reportAmplification(const StoreSetup& setup, Report& report) {
  for (const double liveShare : {0.5, 0.8}) {
    const auto result = measureAmplification(setup, liveShare);
    fmt::print("random overwrites, {:.0f}% of the usable bytes live, {} failed\n", liveShare * 100,
               result.failedWrites);
    report.row("write amplification", fmt::format("amplification_{:.0f}", liveShare * 100), result.factor, 2);
    report.row("peak folder size, share of its limit", fmt::format("folder_most_{:.0f}", liveShare * 100),
               static_cast<double>(result.peakFolderBytes) / static_cast<double>(result.maxFolderBytes), 3);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    fmt::print(stderr, "usage: store_measure FOLDER [ENTRIES]\n");
    return 2;
  }
  const std::uint64_t entries = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1000000;
  const StoreSetup setup{argv[1], {}};
  Report report;
  fmt::print("medians of {} runs, values of 100 bytes unless stated otherwise\n\n", runs);
  measureGroupCommit(setup, report);
  measureGets(setup, report);
  measureStart(setup, entries, report);
  measureLatencyDuringCompaction(setup, report);
  reportAmplification(setup, report);
  setup.clear();
  report.printSummary();
  return 0;
}
