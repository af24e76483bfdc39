// The store without its thread: an append-only log in segments, the index of it in memory, recovery,
// compaction and snapshots. `commit`, `tidy`, `snapshot` and `close` belong to one writer; `get`, `scan` and
// `stats` may be asked from any thread. Nothing here starts a thread or reads a clock.
//
// Invariants: what `commit` gave as done is on the disk; a key's latest record holds, and where that one
// can't be read nothing older is served; a segment leaves the folder only once all that lives in it is on the
// disk elsewhere and the manifest no longer lists it; the folder never passes `diskBytes`.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/bounds.h"
#include "store/disk.h"
#include "store/format.h"
#include "store/index.h"
#include "store/compaction_policy.h"
#include "store/scanner.h"
#include "store/segment.h"

namespace rainhook::store {

struct Outcome {
  enum class Code {
    done,
    full,     // no room under the bounds, and none to be made
    tooLong,  // key or value
    queueFull,
    failed,  // the disk; `what` names file and fault. Whether it is there after a restart is open
    locked,  // by another process
    closed,
    damaged,  // a record that can't be read any more
    misused,
  } code = Code::done;
  std::string what;

  bool ok() const { return code == Code::done; }
};

struct Write {
  bool erase = false;
  std::string key, value;
  UnixTime goodUntil = forever;
};

struct Got {
  std::optional<std::string> value;  // absent: there is none, or `outcome` tells why it can't be had
  UnixTime goodUntil = forever;
  Outcome outcome;
};

// Living entries in order; `more` where the page ended before they did.
struct Page {
  struct Row {
    std::string key;
    UnixTime goodUntil;
    Sequence sequence;
    std::uint64_t bytes;  // of the record on disk
  };
  std::vector<Row> rows;
  bool more = false;
};

struct Stats {
  std::uint64_t entries = 0, gone = 0, indexBytes = 0;
  std::uint64_t folderBytes = 0, folderMost = 0, livingBytes = 0, asideFiles = 0;
  std::uint64_t puts = 0, erases = 0, commits = 0, refused = 0, failed = 0, expired = 0, agedOut = 0;
  std::uint64_t putBytes = 0, compactedBytes = 0, compactions = 0;
  std::uint64_t lostFiles = 0, lostRecords = 0, lostBytes = 0, tornBytes = 0, doubted = 0, hintsRebuilt = 0,
                failedSyncs = 0;
};

// Whether a write may be taken at all: an empty key, or one of the lengths over its bound.
Outcome refusalOf(const Write& write, const StoreBounds& bounds);

class Book {
 public:
  using Tell = std::function<void(const std::string&)>;  // one line for the log

  Book(Disk& disk, const StoreBounds& bounds, Tell tell);
  ~Book();

  // Takes the lock and recovers. It fails only where the folder can't be had at all; `seed` makes the id of a
  // new store.
  Outcome open(std::uint64_t seed);
  // One group commit; an outcome for each write.
  std::vector<Outcome> commit(std::span<const Write> writes, UnixTime now);
  Got get(std::string_view key, UnixTime now) const;
  Page byKey(std::string_view from, bool beyond, std::size_t most, UnixTime now) const;
  Page byAge(const std::optional<Index::Behind>& behind, std::size_t most, UnixTime now) const;
  Stats stats() const;
  // A step of what has to be done beside: expiry, ageing out, compaction, a snapshot. False where nothing is
  // to be done or can be.
  bool tidy(UnixTime now, bool writersWait = false);
  // Has every segment that holds anything dead written anew, by `tidy` and beside all else; `ended` hears of
  // it once none is left, or of what stood in the way.
  void beginCompaction(std::function<void(Outcome)> ended);
  // Begins a copy into an empty folder, which `tidy` carries on; compaction rests meanwhile.
  Outcome beginSnapshot(std::unique_ptr<Disk> into, std::function<void(Outcome)> ended);
  // Syncs and seals; the next start is the quickest.
  void close();
  StoreId id() const { return store_; }

 private:
  // A segment that takes no more.
  struct Sealed {
    std::uint64_t bytes = 0, hintBytes = 0;
    std::uint64_t settled = 0;  // what counts of it; behind may stand records of a write that failed
    Sequence last{};
    bool distrusted = false, damaged = false;
    std::vector<std::pair<std::string, Sequence>> lost;  // its records that suppress older ones
  };
  // A record that the index hears of once it is written.
  struct Move {
    std::string key;
    Kind kind{};
    Sequence sequence{};
    UnixTime goodUntil = forever;
    Where where;
  };
  struct Job;
  struct Copying;
  class Recovery;

  // Committing.
  Outcome commitPortion(std::span<const Write> writes, std::uint64_t cost, UnixTime now);
  Fault writePortion(std::span<const Write> writes, UnixTime now);
  void addWrite(const Write& write, std::span<const Write> before, UnixTime now, std::vector<Move>& moves);
  static std::uint64_t costOf(const Write& write);
  Outcome ensureActive();
  void seal(std::unique_ptr<Segment>& segment, bool distrusted);
  Outcome makeSegment(std::unique_ptr<Segment>& into);
  Outcome makeSpare();
  Fault writeManifest();
  bool makeRoom(std::uint64_t cost, UnixTime now);
  void addSweep(Sequence before, UnixTime until);

  // Reading.
  void sawExpired(UnixTime now) const;
  std::shared_ptr<File> fileOf(SegmentNumber number, Fault& fault) const;
  void forgetFile(SegmentNumber number);

  // Tidying.
  bool expire(UnixTime now);
  bool ageOut(std::uint64_t atLeast);
  bool makeAhead();
  bool compact(std::uint64_t budget);
  std::optional<SegmentNumber> nextInput();
  bool startJob(SegmentNumber next);
  void compactionEnded(const Outcome& outcome);
  bool copyStep(std::uint64_t budget);
  bool copyRecord(const Record& record, const Where& where);
  bool copyLost();
  bool putOut(const Record& record);
  bool flushOutput(bool sync);
  bool removeInput();
  bool leaveStep();
  bool dropJob(const std::string& why);
  bool copySnapshot(std::uint64_t budget);
  void endSnapshot(Outcome outcome);
  Manifest manifest(bool sealedOnly) const;
  FolderFacts facts() const;
  // Runs what makes a segment grow or shrink, and counts it.
  template <typename Work>
  auto counted(Segment& segment, Work work);
  void addBytes(std::uint64_t bytes) const;
  void lessBytes(std::uint64_t bytes) const;
  void say(const std::string& line) const;

  Disk& disk_;
  const StoreBounds bounds_;
  const Plan plan_;
  Tell tell_;
  StoreId store_{};
  SegmentNumber nextNumber_{1};
  Sequence nextSequence_{1};
  std::vector<Sweep> sweeps_;  // a step goes once a later one covers it; sweepsMost at most
  bool opened_ = false, tidyFailed_ = false;
  bool uncertain_ = false;  // a write has failed, and may be found by a start all the same
  std::unique_ptr<Segment> active_, output_;
  std::unique_ptr<Segment> spare_;          // made ahead, or the manifest could not tell of it yet
  bool spareNamed_ = false;                 // its names are on the disk
  std::map<SegmentNumber, Sealed> sealed_;  // a segment leaves when it is removed
  std::unique_ptr<Job> job_;
  std::vector<SegmentNumber> asked_;                  // by beginCompaction; each leaves when its turn comes
  std::vector<std::function<void(Outcome)>> asking_;  // until none is left
  std::unique_ptr<Copying> copying_;
  std::uint64_t manifestBytes_ = 0;

  mutable std::mutex mutex_;  // over what follows, which readers on other threads use
  mutable Index index_;
  mutable std::map<SegmentNumber, std::pair<std::shared_ptr<File>, std::uint64_t>>
      files_;  // openFiles at most
  mutable std::uint64_t uses_ = 0;
  mutable Stats stats_;
  mutable bool sweepDue_ = false;  // something was seen as expired up to sweptUntil_, and no record says so
  mutable UnixTime sweptUntil_{};
  struct Damaged {
    SegmentNumber segment;
    std::string key;
    Sequence sequence;
  };
  mutable std::vector<Damaged> foundDamaged_;  // by readers; the writer takes them over at its next step
};

}  // namespace rainhook::store
