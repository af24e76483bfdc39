// make measure-store: what the store does on a real folder, against itself with group commit off and without
// hints. Usage: store_measure FOLDER [entries of the start]. Takes about a minute; the folder is emptied at
// the end.
#include <fcntl.h>
#include <fmt/format.h>
#include <malloc.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "store/posix_disk.h"
#include "store/store.h"

namespace {

using namespace rainhook::store;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;
namespace files = std::filesystem;

constexpr int runs = 3;

UnixTime now() { return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()); }
double since(Clock::time_point begin) { return Seconds(Clock::now() - begin).count(); }

double median(std::vector<double> all) {
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}
double medianOf(const std::function<double()>& measure) {
  std::vector<double> all;
  for (int i = 0; i < runs; ++i) all.push_back(measure());
  return median(all);
}
double share(std::vector<double>& all, double part) {
  if (all.empty()) return 0;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(part * static_cast<double>(all.size())))];
}

std::string keyOf(std::uint64_t i) { return fmt::format("key{:08}", i); }

// Bytes that zstd can't make shorter.
std::string valueOf(pcg32& chance, std::size_t size) {
  std::string out(size, '\0');
  for (char& c : out) c = static_cast<char>(chance());
  return out;
}

struct Rig {
  std::string folder;
  StoreSettings bounds;
  std::unique_ptr<Store> open() const {
    auto out = std::make_unique<Store>(std::make_unique<PosixDisk>(folder), bounds, now,
                                       [](const std::string& line) { fmt::print(stderr, "{}\n", line); });
    if (const auto outcome = out->open(1); !outcome.isOk()) {
      fmt::print(stderr, "{}\n", outcome.message);
      std::exit(1);
    }
    return out;
  }
  void clear() const { files::remove_all(folder); }
};

struct Put {
  double perSecond = 0, p50 = 0, p99 = 0;  // milliseconds
  std::uint64_t refused = 0;
};

// So many writes under way at a time; the next begins when one is acknowledged.
Put puts(Store& store, std::uint64_t inFlight, double seconds, const std::function<std::string()>& key,
         std::size_t valueBytes) {
  pcg32 chance(7);
  const auto value = valueOf(chance, valueBytes);
  std::vector<double> took;
  std::uint64_t open = 0;
  Put out;
  const auto begin = Clock::now();
  while (since(begin) < seconds || open > 0) {
    while (open < inFlight && since(begin) < seconds) {
      const auto said = Clock::now();
      const auto outcome = store.put(key(), value, neverExpires, [&, said](const StoreStatus& o) {
        --open;
        o.isOk() ? took.push_back(since(said) * 1e3) : void(++out.refused);
      });
      outcome.isOk() ? ++open : ++out.refused;
    }
    pollfd ready{store.eventFd(), POLLIN, 0};
    ::poll(&ready, 1, 100);
    store.dispatchCompletions();
  }
  out.perSecond = static_cast<double>(took.size()) / since(begin);
  out.p50 = share(took, 0.5), out.p99 = share(took, 0.99);
  return out;
}

double putsASecond(Rig rig, std::uint64_t inFlight, std::uint64_t maxCommitWrites) {
  rig.bounds.maxCommitWrites = maxCommitWrites;
  return medianOf([&] {
    rig.clear();
    const auto store = rig.open();
    std::uint64_t number = 0;
    return puts(
               *store, inFlight, 1.0, [&] { return keyOf(number++); }, 100)
        .perSecond;
  });
}

// Random overwrites with so large a part of the usable room living, once the folder has filled.
struct Amplified {
  double factor = 0;
  std::uint64_t most = 0, bound = 0, refused = 0;
};
Amplified amplification(Rig rig, double living) {
  rig.clear();
  rig.bounds.maxDiskBytes = 32 << 20, rig.bounds.maxSegmentBytes = 1 << 20;
  PosixDisk disk(rig.folder);
  LogStructuredStore book(disk, rig.bounds, {});
  if (!book.open(1).isOk()) std::exit(1);
  pcg32 chance(9);
  constexpr std::size_t valueBytes = 300;
  const double weight = static_cast<double>(recordBytes(11, valueBytes) + hintEntryBytes(11));
  const double usable = static_cast<double>(rig.bounds.maxDiskBytes - CompactionPolicy(rig.bounds).reserve());
  const auto entries = static_cast<std::uint32_t>(living * usable / weight);
  Amplified out;
  out.bound = rig.bounds.maxDiskBytes;
  const auto write = [&](std::uint64_t count, const std::function<std::uint64_t(std::uint64_t)>& key) {
    for (std::uint64_t i = 0; i < count;) {
      std::vector<WriteRequest> batch;
      for (int b = 0; b < 128 && i < count; ++b, ++i)
        batch.push_back({false, keyOf(key(i)), valueOf(chance, valueBytes), neverExpires});
      for (const auto& outcome : book.commit(batch, now())) out.refused += !outcome.isOk();
      book.runMaintenance(now());
      std::uint64_t folder = 0;
      for (const auto& entry : files::directory_iterator(rig.folder)) folder += entry.file_size();
      out.most = std::max(out.most, folder);
    }
  };
  write(entries, [](std::uint64_t i) { return i; });
  write(entries, [&](std::uint64_t) { return chance(entries); });
  const auto before = book.stats();
  write(entries * 3, [&](std::uint64_t) { return chance(entries); });
  const auto after = book.stats();
  const auto put = static_cast<double>(after.writtenBytes - before.writtenBytes);
  out.factor = (put + static_cast<double>(after.compactedBytes - before.compactedBytes)) / put;
  out.most = std::max(out.most, after.peakFolderBytes);
  book.close();
  return out;
}

std::uint64_t allocatedBytes() { return ::mallinfo2().uordblks; }

}  // namespace

int main(int count, char** words) {
  if (count < 2) return fmt::print(stderr, "usage: store_measure FOLDER [ENTRIES]\n"), 2;
  const std::uint64_t entries = count > 2 ? std::strtoull(words[2], nullptr, 10) : 1000000;
  Rig rig{words[1], {}};
  fmt::print("medians of {} runs, values of 100 bytes unless said\n\n", runs);

  fmt::print("{:<44}{:>12}\n", "durable puts a second", "");
  std::vector<std::pair<std::string, double>> named;
  const auto row = [&](const std::string& text, const std::string& name, double value, int digits) {
    fmt::print("  {:<42}{:>12.{}f}\n", text, value, digits);
    named.emplace_back(name, value);
  };
  for (const std::uint64_t flight : {1, 8, 64})
    row(fmt::format("{} in flight", flight), fmt::format("puts_{}", flight), putsASecond(rig, flight, 1024),
        0);
  row("64 in flight, a sync each", "puts_64_single", putsASecond(rig, 64, 1), 0);
  row("group commit, times as many", "group_gain", named[2].second / named[3].second, 1);

  {
    rig.clear();
    auto bounds = rig;
    bounds.bounds.maxDiskBytes = 512 << 20, bounds.bounds.maxIndexBytes = 512 << 20;
    const auto store = bounds.open();
    std::uint64_t number = 0;
    puts(
        *store, 512, 2.0, [&] { return keyOf(number++); }, 100);
    pcg32 chance(3);
    std::vector<double> took;
    const auto begin = Clock::now();
    std::uint64_t missing = 0;
    while (since(begin) < 2) {
      const auto key = keyOf(chance(static_cast<std::uint32_t>(number)));
      const auto said = Clock::now();
      missing += !store->get(key).value;
      took.push_back(since(said) * 1e6);
    }
    fmt::print("gets from {} entries\n", number);
    row("a second", "gets", static_cast<double>(took.size()) / since(begin), 0);
    row("p99, microseconds", "get_p99_us", share(took, 0.99), 1);
    if (missing > 0) fmt::print("  {} were missing\n", missing);
  }

  {
    rig.clear();
    auto large = rig;
    large.bounds.maxDiskBytes = std::uint64_t{4} << 30, large.bounds.maxIndexBytes = 1 << 30;
    large.bounds.maxSegmentBytes = 16 << 20, large.bounds.maxQueueBytes = 64 << 20;
    {
      PosixDisk disk(large.folder);
      LogStructuredStore book(disk, large.bounds, {});
      if (!book.open(1).isOk()) return 1;
      pcg32 chance(5);
      for (std::uint64_t i = 0; i < entries;) {
        std::vector<WriteRequest> batch;
        for (int b = 0; b < 1024 && i < entries; ++b, ++i)
          batch.push_back({false, keyOf(i * 7919 % entries), valueOf(chance, 1000), neverExpires});
        book.commit(batch, now());
      }
      book.close();
    }
    // A start after the machine's: nothing of the files is in the cache. Warm: a start after a stop.
    const auto forget = [&] {
      ::sync();
      for (const auto& entry : files::directory_iterator(large.folder)) {
        const int file = ::open(entry.path().c_str(), O_RDONLY);
        ::posix_fadvise(file, 0, 0, POSIX_FADV_DONTNEED);
        ::close(file);
      }
    };
    const auto start = [&](bool hints, bool cold) {
      return medianOf([&] {
        if (!hints)
          for (const auto& entry : files::directory_iterator(large.folder))
            if (entry.path().extension() == ".hint") files::remove(entry.path());
        if (cold) forget();
        const auto begin = Clock::now();
        PosixDisk disk(large.folder);
        LogStructuredStore book(disk, large.bounds, {});
        if (!book.open(1).isOk() || book.stats().entries != entries) std::exit(1);
        return since(begin);
      });
    };
    fmt::print("start with {} entries of 1000 bytes\n", entries);
    for (const bool cold : {true, false}) {
      const std::string how = cold ? "cold" : "warm";
      row(how + ", with hints, seconds", "start_" + how + "_hints_s", start(true, cold), 2);
      row(how + ", without, seconds", "start_" + how + "_scan_s", start(false, cold), 2);
      row("times as quick", "start_" + how + "_gain", named.back().second / named[named.size() - 2].second,
          1);
    }
    PosixDisk disk(large.folder);
    LogStructuredStore book(disk, large.bounds, {});
    const auto before = allocatedBytes();
    book.open(1);
    const auto stats = book.stats();
    row("index bytes an entry, as counted", "index_entry",
        static_cast<double>(stats.indexBytes) / static_cast<double>(entries), 0);
    row("allocated bytes an entry, as measured", "allocated_entry",
        static_cast<double>(allocatedBytes() - before) / static_cast<double>(entries), 0);
  }

  {
    // Quiet: nothing is written over. Then the same load over few keys, so that compaction never rests.
    std::vector<double> quiet, busy, compactions;
    for (int i = 0; i < runs; ++i) {
      auto small = rig;
      small.bounds.maxDiskBytes = 64 << 20, small.bounds.maxSegmentBytes = 2 << 20;
      rig.clear();
      const auto store = small.open();
      std::uint64_t number = 0;
      quiet.push_back(puts(
                          *store, 8, 1.5, [&] { return keyOf(number++); }, 1000)
                          .p99);
      pcg32 chance(4);
      for (std::uint64_t k = 0; k < 20000;)
        puts(
            *store, 64, 0.2, [&] { return keyOf(k++); }, 1000);
      const auto before = store->statistics().book;
      busy.push_back(puts(
                         *store, 8, 3.0, [&] { return keyOf(chance(20000)); }, 1000)
                         .p99);
      compactions.push_back(static_cast<double>(store->statistics().book.compactions - before.compactions));
    }
    fmt::print("acknowledgements, 8 in flight, values of 1000 bytes\n");
    row("p99 quiet, ms", "ack_quiet_p99_ms", median(quiet), 2);
    row("p99 while compacting, ms", "ack_compact_p99_ms", median(busy), 2);
    row("times as long", "ack_ratio", median(busy) / median(quiet), 1);
    row("segments compacted meanwhile", "compactions", median(compactions), 0);
  }

  for (const double living : {0.5, 0.8}) {
    const auto got = amplification(rig, living);
    fmt::print("random overwrites, {:.0f}% of the usable room living, {} refused\n", living * 100,
               got.refused);
    row("write amplification", fmt::format("amplification_{:.0f}", living * 100), got.factor, 2);
    row("largest folder, part of its bound", fmt::format("folder_most_{:.0f}", living * 100),
        static_cast<double>(got.most) / static_cast<double>(got.bound), 3);
  }
  rig.clear();

  fmt::print("\nmeasure store:");
  for (const auto& [name, value] : named) fmt::print(" {}={:.2f}", name, value);
  fmt::print("\n");
  return 0;
}
