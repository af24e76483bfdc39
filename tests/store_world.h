// For the tests of the store: a disk that forgets what was not synced and fails on demand, and a small
// history of writes beside a plain map that says what may be served after any crash.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "store/log_structured_store.h"
#include "store/verify.h"

namespace rainhook::store {

inline std::string named(const char* before, std::uint64_t number) {
  std::string out(before);
  return out += std::to_string(number);
}

using Chance = pcg32;
inline std::uint32_t below(Chance& chance, std::uint32_t bound) { return chance(bound); }

// The bytes that a machine holds: what it would find after a loss of power, and what has not been synced yet.
class SimulatedDisk {
 public:
  struct Change {
    bool cut = false;
    std::uint64_t at = 0;
    std::string bytes;
  };
  struct Inode {
    std::string now, kept;
    std::vector<Change> unsynced, limbo;  // limbo: their sync failed, and no later one brings them back
  };
  struct NameChange {
    enum class What { create, rename, remove } what;
    std::string name, to;
    std::shared_ptr<Inode> inode;
  };

  std::map<std::string, std::shared_ptr<Inode>> names, keptNames;
  std::vector<NameChange> unsyncedNames;
  std::uint64_t capacity = ~std::uint64_t{0};
  std::uint64_t mostUsed = 0;                                 // at any moment
  std::uint64_t operations = 0, crashAt = ~std::uint64_t{0};  // of those that change something
  std::map<std::uint64_t, int> faults;                        // errno by operation; -1 is a short write
  int everySync = 0, everyOpen = 0;                           // errno of all of them

  static void apply(std::string& bytes, const Change& change) {
    if (change.cut) return bytes.resize(std::min<std::size_t>(bytes.size(), change.at));
    bytes.resize(std::max<std::size_t>(bytes.size(), change.at + change.bytes.size()));
    bytes.replace(change.at, change.bytes.size(), change.bytes);
  }

  std::uint64_t used() const {
    std::uint64_t sum = 0;
    for (const auto& [name, inode] : names) sum += inode->now.size();
    return sum;
  }

  // What is found after the power came back. 0: nothing unsynced survived, 1: all of it, else as chance has
  // it: each write whole, in part or not, in any order of the disk's liking.
  SimulatedDisk after(int choice) const {
    Chance chance(static_cast<std::uint64_t>(choice) * 7919 + operations);
    const auto survives = [&] { return choice == 1 || (choice > 1 && below(chance, 2) == 0); };
    std::map<const Inode*, std::shared_ptr<Inode>> copies;
    const auto copy = [&](const std::shared_ptr<Inode>& inode) {
      auto& out = copies[inode.get()];
      if (out) return out;
      out = std::make_shared<Inode>();
      out->kept = inode->kept;
      for (const auto* changes : {&inode->limbo, &inode->unsynced})
        for (Change change : *changes) {
          if (!survives()) continue;
          if (choice > 1 && !change.cut && below(chance, 2) == 0)
            change.bytes.resize(below(chance, static_cast<std::uint32_t>(change.bytes.size()) + 1));
          apply(out->kept, change);
        }
      out->now = out->kept;
      return out;
    };
    SimulatedDisk out;
    out.capacity = capacity;
    for (const auto& [name, inode] : keptNames) out.names[name] = copy(inode);
    for (const NameChange& change : unsyncedNames) {
      if (!survives()) continue;
      if (change.what != NameChange::What::create) out.names.erase(change.name);
      if (change.what == NameChange::What::create) out.names[change.name] = copy(change.inode);
      if (change.what == NameChange::What::rename) out.names[change.to] = copy(change.inode);
    }
    out.keptNames = out.names;
    return out;
  }

  // The same bytes again, all of them kept; for trying one image many times.
  static SimulatedDisk of(const std::map<std::string, std::string>& image) {
    SimulatedDisk out;
    for (const auto& [name, bytes] : image) {
      auto inode = std::make_shared<Inode>();
      inode->now = inode->kept = bytes;
      out.names[name] = std::move(inode);
    }
    out.keptNames = out.names;
    return out;
  }
  std::map<std::string, std::string> image() const {
    std::map<std::string, std::string> out;
    for (const auto& [name, inode] : names) out[name] = inode->now;
    return out;
  }

  // The fault of the next operation, 0 for none. After the crash nothing has an effect any more.
  int next() {
    const auto number = operations++;
    if (number >= crashAt) return EIO;
    const auto at = faults.find(number);
    return at == faults.end() ? 0 : at->second;
  }
};

class CrashSimulatingDisk final : public Disk {
 public:
  explicit CrashSimulatingDisk(SimulatedDisk& platter) : p_(platter) {}

  DiskError list(std::vector<DirectoryEntry>& into) override {
    for (const auto& [name, inode] : p_.names) into.push_back({name, inode->now.size(), false});
    return {};
  }
  OpenResult open(const std::string& name) override {
    if (p_.everyOpen) return {nullptr, {p_.everyOpen}};
    const auto at = p_.names.find(name);
    if (at == p_.names.end()) return {nullptr, {ENOENT}};
    return {std::make_shared<Handle>(p_, at->second), {}};
  }
  OpenResult create(const std::string& name) override {
    if (p_.everyOpen) return {nullptr, {p_.everyOpen}};
    if (const int error = p_.next()) return {nullptr, {error < 0 ? EIO : error}};
    auto inode = std::make_shared<SimulatedDisk::Inode>();
    if (const auto at = p_.names.find(name); at != p_.names.end()) {
      inode = at->second;
      const SimulatedDisk::Change cut{true, 0, {}};
      SimulatedDisk::apply(inode->now, cut);
      inode->unsynced.push_back(cut);
    } else {
      p_.names[name] = inode;
      p_.unsyncedNames.push_back({SimulatedDisk::NameChange::What::create, name, {}, inode});
    }
    return {std::make_shared<Handle>(p_, inode), {}};
  }
  void prefetch(const std::string&) override {}
  DiskError rename(const std::string& from, const std::string& to) override {
    if (const int error = p_.next()) return {error < 0 ? EIO : error};
    const auto at = p_.names.find(from);
    if (at == p_.names.end()) return {ENOENT};
    const auto inode = at->second;
    p_.names.erase(at);
    p_.names[to] = inode;
    p_.unsyncedNames.push_back({SimulatedDisk::NameChange::What::rename, from, to, inode});
    return {};
  }
  DiskError remove(const std::string& name) override {
    if (const int error = p_.next()) return {error < 0 ? EIO : error};
    if (p_.names.erase(name) == 0) return {ENOENT};
    p_.unsyncedNames.push_back({SimulatedDisk::NameChange::What::remove, name, {}, {}});
    return {};
  }
  DiskError syncDirectory() override {
    if (const int error = p_.next()) return {error < 0 ? EIO : error};
    if (p_.everySync) return {p_.everySync};
    p_.keptNames = p_.names;
    p_.unsyncedNames.clear();
    return {};
  }
  LockResult lock(const std::string&) override { return {}; }
  void unlock() override {}

 private:
  class Handle final : public File {
   public:
    Handle(SimulatedDisk& platter, std::shared_ptr<SimulatedDisk::Inode> inode)
        : p_(platter), inode_(std::move(inode)) {}
    IoResult read(std::uint64_t offset, std::span<char> into) override {
      if (offset >= inode_->now.size()) return {};
      // Short reads are as good as whole ones.
      const auto count = std::min<std::size_t>({into.size(), inode_->now.size() - offset, 3000});
      std::copy_n(inode_->now.data() + offset, count, into.data());
      return {count, {}};
    }
    IoResult write(std::uint64_t offset, std::string_view bytes) override {
      const int error = p_.next();
      if (error > 0) return {0, {error}};
      if (error < 0) bytes = bytes.substr(0, std::max<std::size_t>(1, bytes.size() / 2));
      const auto used = p_.used();
      if (used + bytes.size() > p_.capacity)
        bytes = bytes.substr(0, p_.capacity - std::min(p_.capacity, used));
      if (bytes.empty()) return {0, {ENOSPC}};
      const SimulatedDisk::Change change{false, offset, std::string(bytes)};
      SimulatedDisk::apply(inode_->now, change);
      inode_->unsynced.push_back(change);
      p_.mostUsed = std::max(p_.mostUsed, p_.used());
      return {bytes.size(), {}};
    }
    DiskError sync() override {
      int error = p_.next();
      if (error == 0) error = p_.everySync;
      if (error != 0) {
        if (p_.operations <= p_.crashAt)
          for (auto& change : std::exchange(inode_->unsynced, {})) inode_->limbo.push_back(std::move(change));
        return {error < 0 ? EIO : error};
      }
      for (const auto& change : std::exchange(inode_->unsynced, {}))
        SimulatedDisk::apply(inode_->kept, change);
      return {};
    }
    void startWriteback() override {}
    DiskError truncate(std::uint64_t size) override {
      if (const int error = p_.next()) return {error < 0 ? EIO : error};
      const SimulatedDisk::Change change{true, size, {}};
      SimulatedDisk::apply(inode_->now, change);
      inode_->unsynced.push_back(change);
      return {};
    }
    std::uint64_t size() override { return inode_->now.size(); }

   private:
    SimulatedDisk& p_;
    std::shared_ptr<SimulatedDisk::Inode> inode_;
  };

  SimulatedDisk& p_;
};

// What may be served for each key: one state once a write of it is acknowledged, more where a write came to
// nothing that is known.
class ReferenceModel {
 public:
  struct State {
    std::optional<std::string> value;
    UnixTime until = neverExpires;
    bool operator==(const State&) const = default;
  };

  void wrote(const WriteRequest& write, bool acknowledged) {
    auto& may = keys_[write.key];
    if (may.empty()) may.push_back({});
    if (acknowledged) may.clear();
    may.push_back(write.erase ? State{} : State{write.value, write.expiry});
  }
  // Expired once is expired for ever.
  void passed(UnixTime now) {
    for (auto& [key, may] : keys_)
      for (State& state : may)
        if (state.until <= now) state = {};
  }
  bool allows(const std::string& key, const std::optional<std::string>& value) const {
    const auto at = keys_.find(key);
    if (at == keys_.end()) return !value;
    return std::any_of(at->second.begin(), at->second.end(),
                       [&](const State& s) { return s.value == value; });
  }
  // The keys whose state is served wrongly, as text.
  std::string contradictions(const LogStructuredStore& book, UnixTime now,
                             const std::set<std::string>& mayMiss = {}) {
    passed(now);
    std::string out;
    for (const auto& [key, may] : keys_) {
      const auto got = book.get(key, now);
      if (!got.value && mayMiss.contains(key)) continue;
      if (!got.status.isOk()) out += key + " (" + got.status.message + ") ";
      if (!allows(key, got.value)) out += key + "=" + got.value.value_or("(none)") + " ";
    }
    return out;
  }
  const std::map<std::string, std::vector<State>>& keys() const { return keys_; }

 private:
  std::map<std::string, std::vector<State>> keys_;
};

inline StoreSettings smallBounds() {
  StoreSettings out;
  out.maxDiskBytes = 64 << 10, out.maxSegmentBytes = 1200, out.maintenanceStepBytes = 400,
  out.maxOpenFiles = 3;
  out.maxKeyBytes = 40, out.maxValueBytes = 200, out.minCompressedValueBytes = 64;
  return out;
}

// A history from a seed: puts, overwrites, erases, expiries, compactions, restarts.
class OperationHistory {
 public:
  explicit OperationHistory(SimulatedDisk& platter, std::uint64_t seed, StoreSettings bounds = smallBounds())
      : platter_(platter), bounds_(bounds), chance_(seed) {}

  // False once the disk is dead.
  bool open() {
    if (book_) compactions += book_->stats().compactions, expired += book_->stats().expiredEntries;
    disk_ = std::make_unique<CrashSimulatingDisk>(platter_);
    book_ = std::make_unique<LogStructuredStore>(*disk_, bounds_,
                                                 [this](const std::string& line) { log.push_back(line); });
    return book_->open(77).isOk();
  }
  void play(int steps) {
    for (int i = 0; i < steps; ++i) step();
  }
  void step() {
    const auto kind = below(chance_, 20);
    if (kind < 12) {
      std::vector<WriteRequest> writes;
      for (auto left = 1 + below(chance_, 3); left > 0; --left) writes.push_back(write());
      put(writes);
    } else if (kind < 17) {
      for (auto left = below(chance_, 12); left > 0; --left) book_->runMaintenance(now);
    } else if (kind < 19) {
      now += std::chrono::milliseconds(below(chance_, 40));
    } else if (platter_.operations < platter_.crashAt) {
      if (below(chance_, 3) == 0) {  // what tidies follow carry it on; a start ends it
        copy_ = SimulatedDisk();
        return void(book_->startSnapshot(std::make_unique<CrashSimulatingDisk>(copy_), {}));
      }
      if (below(chance_, 2) == 0) book_->close();
      open();
    }
  }
  void put(const std::vector<WriteRequest>& writes) {
    const auto outcomes = book_->commit(writes, now);
    for (std::size_t i = 0; i < writes.size(); ++i) ledger.wrote(writes[i], outcomes[i].isOk());
  }
  void runAllMaintenance() {
    for (int i = 0; i < 10000 && book_->runMaintenance(now); ++i) {
    }
  }
  void compactAll() {
    std::optional<StoreStatus> ended;
    book_->startCompaction([&](StoreStatus outcome) { ended = std::move(outcome); });
    for (int i = 0; i < 10000 && !ended; ++i) book_->runMaintenance(now);
    EXPECT_TRUE(ended);
  }
  LogStructuredStore& book() { return *book_; }
  void forget() { book_.reset(); }

  UnixTime now{std::chrono::milliseconds(1'000'000)};
  ReferenceModel ledger;
  std::vector<std::string> log;
  std::uint64_t compactions = 0, expired = 0;  // of the books before the last
  std::uint64_t erased = 0;

 private:
  WriteRequest write() {
    WriteRequest out;
    out.key = named("key", below(chance_, 12));
    out.erase = below(chance_, 5) == 0;
    erased += out.erase;
    if (out.erase) return out;
    out.value = std::to_string(++written_) + ":" + std::string(below(chance_, 90), 'v');
    if (below(chance_, 4) == 0) out.expiry = now + std::chrono::milliseconds(1 + below(chance_, 60));
    return out;
  }

  SimulatedDisk copy_;
  SimulatedDisk& platter_;
  StoreSettings bounds_;
  Chance chance_;
  std::unique_ptr<CrashSimulatingDisk> disk_;
  std::unique_ptr<LogStructuredStore> book_;
  int written_ = 0;
};

}  // namespace rainhook::store
