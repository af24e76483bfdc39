/// @file
/// A simulated disk for the store's tests that loses unsynced data and fails on demand.
#pragma once

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "store/disk.h"

namespace rainhook::store {

using RandomSource = pcg32;
inline std::uint32_t randomBelow(RandomSource& random, std::uint32_t bound) { return random(bound); }

/// The data of a simulated machine: the durable data, which survives a power loss, and the data that has not
/// been synced yet. CrashSimulatingDisk is the Disk interface to it.
class SimulatedDisk {
 public:
  /// A fault in which a write stores only half of its bytes without an error; any other operation fails with
  /// EIO.
  static constexpr int shortWrite = -1;
  static constexpr std::uint64_t never = ~std::uint64_t{0};      // for crashAt
  static constexpr std::uint64_t unlimited = ~std::uint64_t{0};  // for capacity

  /// A change of a file's bytes.
  struct Change {
    bool isTruncation = false;
    std::uint64_t offset = 0;
    std::string bytes;
  };
  struct Inode {
    std::string bytes;         // the contents that the running system sees
    std::string durableBytes;  // the contents after a power loss
    std::vector<Change> unsynced;
    std::vector<Change> failedSync;  // changes whose sync failed; no later sync makes them durable
  };
  struct NameChange {
    enum class Kind { create, rename, remove } kind;
    std::string name;
    std::string newName;
    std::shared_ptr<Inode> inode;
  };
  /// Which unsynced changes survive a power loss. Higher numbers are seeds of a random choice.
  enum Survival { nothingSurvives = 0, everythingSurvives = 1 };

  std::map<std::string, std::shared_ptr<Inode>> files;
  std::map<std::string, std::shared_ptr<Inode>> durableFiles;
  std::vector<NameChange> unsyncedNames;
  std::uint64_t capacity = unlimited;
  std::uint64_t peakBytes = 0;
  std::uint64_t operations = 0;  // the number of operations that change data
  std::uint64_t crashAt = never;
  std::map<std::uint64_t, int> faults;  // errno or shortWrite, by operation number
  int everySyncFault = 0;               // errno
  int everyOpenFault = 0;               // errno

  static void apply(std::string& bytes, const Change& change) {
    if (change.isTruncation) return bytes.resize(std::min<std::size_t>(bytes.size(), change.offset));
    bytes.resize(std::max<std::size_t>(bytes.size(), change.offset + change.bytes.size()));
    bytes.replace(change.offset, change.bytes.size(), change.bytes);
  }

  std::uint64_t usedBytes() const {
    std::uint64_t sum = 0;
    for (const auto& [name, inode] : files) sum += inode->bytes.size();
    return sum;
  }

  /// Returns the disk after a power loss. With a random choice, each write survives completely, partly or not
  /// at all, independently of the order of the writes.
  SimulatedDisk afterPowerLoss(int survival) const {
    RandomSource random(static_cast<std::uint64_t>(survival) * 7919 + operations);
    const bool isRandom = survival > everythingSurvives;
    const auto survives = [&] {
      return survival == everythingSurvives || (isRandom && randomBelow(random, 2) == 0);
    };
    std::map<const Inode*, std::shared_ptr<Inode>> copies;
    const auto copy = [&](const std::shared_ptr<Inode>& inode) {
      auto& out = copies[inode.get()];
      if (out) return out;
      out = std::make_shared<Inode>();
      out->durableBytes = inode->durableBytes;
      for (const auto* changes : {&inode->failedSync, &inode->unsynced})
        for (Change change : *changes) {
          if (!survives()) continue;
          if (isRandom && !change.isTruncation && randomBelow(random, 2) == 0)
            change.bytes.resize(randomBelow(random, static_cast<std::uint32_t>(change.bytes.size()) + 1));
          apply(out->durableBytes, change);
        }
      out->bytes = out->durableBytes;
      return out;
    };
    SimulatedDisk out;
    out.capacity = capacity;
    for (const auto& [name, inode] : durableFiles) out.files[name] = copy(inode);
    for (const NameChange& change : unsyncedNames) {
      if (!survives()) continue;
      if (change.kind != NameChange::Kind::create) out.files.erase(change.name);
      if (change.kind == NameChange::Kind::create) out.files[change.name] = copy(change.inode);
      if (change.kind == NameChange::Kind::rename) out.files[change.newName] = copy(change.inode);
    }
    out.durableFiles = out.files;
    return out;
  }

  /// Returns a disk that contains these files durably, so that a test can use one image many times. An image
  /// maps file names to contents.
  static SimulatedDisk withFiles(const std::map<std::string, std::string>& image) {
    SimulatedDisk out;
    for (const auto& [name, bytes] : image) {
      auto inode = std::make_shared<Inode>();
      inode->bytes = bytes;
      inode->durableBytes = bytes;
      out.files[name] = std::move(inode);
    }
    out.durableFiles = out.files;
    return out;
  }
  std::map<std::string, std::string> image() const {
    std::map<std::string, std::string> out;
    for (const auto& [name, inode] : files) out[name] = inode->bytes;
    return out;
  }

  /// Counts an operation and returns its fault, or 0 for none. After the crash, every operation fails and
  /// changes nothing.
  int nextFault() {
    const std::uint64_t number = operations++;
    if (number >= crashAt) return EIO;
    const auto found = faults.find(number);
    return found == faults.end() ? 0 : found->second;
  }
};

/// The Disk interface to a SimulatedDisk, which must outlive it.
class CrashSimulatingDisk final : public Disk {
 public:
  explicit CrashSimulatingDisk(SimulatedDisk& disk) : disk_(disk) {}

  DiskError list(std::vector<DirectoryEntry>& into) override {
    for (const auto& [name, inode] : disk_.files) into.push_back({name, inode->bytes.size(), false});
    return {};
  }
  OpenResult open(const std::string& name) override {
    if (disk_.everyOpenFault) return {nullptr, diskError(disk_.everyOpenFault)};
    const auto found = disk_.files.find(name);
    if (found == disk_.files.end()) return {nullptr, diskError(ENOENT)};
    return {std::make_shared<SimulatedFile>(disk_, found->second), {}};
  }
  OpenResult create(const std::string& name) override {
    if (disk_.everyOpenFault) return {nullptr, diskError(disk_.everyOpenFault)};
    if (const DiskError error = nextError()) return {nullptr, error};
    auto inode = std::make_shared<SimulatedDisk::Inode>();
    if (const auto found = disk_.files.find(name); found != disk_.files.end()) {
      inode = found->second;
      const SimulatedDisk::Change truncation{true, 0, {}};
      SimulatedDisk::apply(inode->bytes, truncation);
      inode->unsynced.push_back(truncation);
    } else {
      disk_.files[name] = inode;
      disk_.unsyncedNames.push_back({SimulatedDisk::NameChange::Kind::create, name, {}, inode});
    }
    return {std::make_shared<SimulatedFile>(disk_, inode), {}};
  }
  void prefetch(const std::string&) override {}
  DiskError rename(const std::string& from, const std::string& to) override {
    if (const DiskError error = nextError()) return error;
    const auto found = disk_.files.find(from);
    if (found == disk_.files.end()) return diskError(ENOENT);
    const auto inode = found->second;
    disk_.files.erase(found);
    disk_.files[to] = inode;
    disk_.unsyncedNames.push_back({SimulatedDisk::NameChange::Kind::rename, from, to, inode});
    return {};
  }
  DiskError remove(const std::string& name) override {
    if (const DiskError error = nextError()) return error;
    if (disk_.files.erase(name) == 0) return diskError(ENOENT);
    disk_.unsyncedNames.push_back({SimulatedDisk::NameChange::Kind::remove, name, {}, {}});
    return {};
  }
  DiskError syncDirectory() override {
    if (const DiskError error = nextError()) return error;
    if (disk_.everySyncFault) return diskError(disk_.everySyncFault);
    disk_.durableFiles = disk_.files;
    disk_.unsyncedNames.clear();
    return {};
  }
  LockResult lock(const std::string&) override { return {}; }
  void unlock() override {}

 private:
  static DiskError errorOf(int fault) { return diskError(fault == SimulatedDisk::shortWrite ? EIO : fault); }
  DiskError nextError() { return errorOf(disk_.nextFault()); }

  class SimulatedFile final : public File {
   public:
    SimulatedFile(SimulatedDisk& disk, std::shared_ptr<SimulatedDisk::Inode> inode)
        : disk_(disk), inode_(std::move(inode)) {}

    IoResult read(std::uint64_t offset, std::span<char> into) override {
      constexpr std::size_t maxReadBytes = 3000;  // causes short reads, after which the store must continue
      if (offset >= inode_->bytes.size()) return {};
      const auto count = std::min<std::size_t>({into.size(), inode_->bytes.size() - offset, maxReadBytes});
      std::copy_n(inode_->bytes.data() + offset, count, into.data());
      return {count, {}};
    }
    IoResult write(std::uint64_t offset, std::string_view bytes) override {
      const int fault = disk_.nextFault();
      if (fault > 0) return {0, diskError(fault)};
      if (fault == SimulatedDisk::shortWrite)
        bytes = bytes.substr(0, std::max<std::size_t>(1, bytes.size() / 2));
      const std::uint64_t used = disk_.usedBytes();
      if (used + bytes.size() > disk_.capacity)
        bytes = bytes.substr(0, disk_.capacity - std::min(disk_.capacity, used));
      if (bytes.empty()) return {0, diskError(ENOSPC)};
      const SimulatedDisk::Change change{false, offset, std::string(bytes)};
      SimulatedDisk::apply(inode_->bytes, change);
      inode_->unsynced.push_back(change);
      disk_.peakBytes = std::max(disk_.peakBytes, disk_.usedBytes());
      return {bytes.size(), {}};
    }
    DiskError sync() override {
      int fault = disk_.nextFault();
      if (fault == 0) fault = disk_.everySyncFault;
      if (fault != 0) {
        if (disk_.operations <= disk_.crashAt)
          for (auto& change : std::exchange(inode_->unsynced, {}))
            inode_->failedSync.push_back(std::move(change));
        return errorOf(fault);
      }
      for (const auto& change : std::exchange(inode_->unsynced, {}))
        SimulatedDisk::apply(inode_->durableBytes, change);
      return {};
    }
    void startWriteback() override {}
    DiskError truncate(std::uint64_t size) override {
      if (const DiskError error = errorOf(disk_.nextFault())) return error;
      const SimulatedDisk::Change truncation{true, size, {}};
      SimulatedDisk::apply(inode_->bytes, truncation);
      inode_->unsynced.push_back(truncation);
      return {};
    }
    std::uint64_t size() override { return inode_->bytes.size(); }

   private:
    SimulatedDisk& disk_;
    std::shared_ptr<SimulatedDisk::Inode> inode_;
  };

  SimulatedDisk& disk_;
};

}  // namespace rainhook::store
