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

#include "store/compaction_policy.h"
#include "store/disk.h"
#include "store/format.h"
#include "store/key_index.h"
#include "store/record_scanner.h"
#include "store/segment_writer.h"
#include "store/store_settings.h"

namespace rainhook::store {

enum class StoreErrorCode {
  none,
  storeFull,      // no room under the bounds, and none to be made
  entryTooLarge,  // key or value
  queueFull,
  ioError,  // the disk; `message` names file and fault. Whether it is there after a restart is open
  locked,   // by another process
  closed,
  corruptRecord,  // a record that can't be read any more
  invalidArgument,
};

struct StoreStatus {
  StoreErrorCode code = StoreErrorCode::none;
  std::string message;

  bool isOk() const { return code == StoreErrorCode::none; }
};

struct WriteRequest {
  bool erase = false;
  std::string key, value;
  UnixTime expiry = neverExpires;
};

struct ReadResult {
  std::optional<std::string> value;  // absent: there is none, or `outcome` tells why it can't be had
  UnixTime expiry = neverExpires;
  StoreStatus status;
};

// Living entries in order; `more` where the page ended before they did.
struct ScanPage {
  struct Row {
    std::string key;
    UnixTime expiry;
    SequenceNumber sequence;
    std::uint64_t bytes;  // of the record on disk
  };
  std::vector<Row> rows;
  bool hasMore = false;
};

struct StoreStatistics {
  std::uint64_t entries = 0, tombstones = 0, indexBytes = 0;
  std::uint64_t folderBytes = 0, peakFolderBytes = 0, liveBytes = 0, quarantinedFiles = 0;
  std::uint64_t puts = 0, erases = 0, commits = 0, rejectedWrites = 0, failedWrites = 0, expiredEntries = 0,
                agedOutEntries = 0;
  std::uint64_t writtenBytes = 0, compactedBytes = 0, compactions = 0;
  std::uint64_t lostFiles = 0, lostRecords = 0, lostBytes = 0, tornBytes = 0, discardedEntries = 0,
                hintsRebuilt = 0, failedSyncs = 0;
};

// Whether a write may be taken at all: an empty key, or one of the lengths over its bound.
StoreStatus validateWrite(const WriteRequest& write, const StoreSettings& bounds);

class LogStructuredStore {
 public:
  using LogCallback = std::function<void(const std::string&)>;  // one line for the log

  LogStructuredStore(Disk& disk, const StoreSettings& bounds, LogCallback tell);
  ~LogStructuredStore();

  // Takes the lock and recovers. It fails only where the folder can't be had at all; `seed` makes the id of a
  // new store.
  StoreStatus open(std::uint64_t seed);
  // One group commit; an outcome for each write.
  std::vector<StoreStatus> commit(std::span<const WriteRequest> writes, UnixTime now);
  ReadResult get(std::string_view key, UnixTime now) const;
  ScanPage scanByKey(std::string_view from, bool beyond, std::size_t most, UnixTime now) const;
  ScanPage scanByAge(const std::optional<KeyIndex::AgeCursor>& behind, std::size_t most, UnixTime now) const;
  StoreStatistics stats() const;
  // A step of what has to be done beside: expiry, ageing out, compaction, a snapshot. False where nothing is
  // to be done or can be.
  bool runMaintenance(UnixTime now, bool writersWait = false);
  // Has every segment that holds anything dead written anew, by `tidy` and beside all else; `ended` hears of
  // it once none is left, or of what stood in the way.
  void startCompaction(std::function<void(StoreStatus)> ended);
  // Begins a copy into an empty folder, which `tidy` carries on; compaction rests meanwhile.
  StoreStatus startSnapshot(std::unique_ptr<Disk> into, std::function<void(StoreStatus)> ended);
  // Syncs and seals; the next start is the quickest.
  void close();
  StoreId id() const { return store_; }

 private:
  // A segment that takes no more.
  struct Sealed {
    std::uint64_t bytes = 0, hintEntryBytes = 0;
    std::uint64_t committedBytes = 0;  // what counts of it; behind may stand records of a write that failed
    SequenceNumber last{};
    bool isUntrusted = false, damaged = false;
    std::vector<std::pair<std::string, SequenceNumber>> lost;  // its records that suppress older ones
  };
  // A record that the index hears of once it is written.
  struct Move {
    std::string key;
    RecordKind kind{};
    SequenceNumber sequence{};
    UnixTime expiry = neverExpires;
    RecordLocation where;
  };
  struct Job;
  struct Copying;
  class Recovery;

  // Committing.
  StoreStatus commitPortion(std::span<const WriteRequest> writes, std::uint64_t cost, UnixTime now);
  DiskError writePortion(std::span<const WriteRequest> writes, UnixTime now);
  void addWrite(const WriteRequest& write, std::span<const WriteRequest> before, UnixTime now,
                std::vector<Move>& moves);
  static std::uint64_t costOf(const WriteRequest& write);
  StoreStatus ensureActive();
  void seal(std::unique_ptr<SegmentWriter>& segment, bool isUntrusted);
  StoreStatus makeSegment(std::unique_ptr<SegmentWriter>& into);
  StoreStatus makeSpare();
  DiskError writeManifest();
  bool makeRoom(std::uint64_t cost, UnixTime now);
  void addSweep(SequenceNumber before, UnixTime until);

  // Reading.
  void sawExpired(UnixTime now) const;
  std::shared_ptr<File> fileOf(SegmentNumber number, DiskError& error) const;
  void forgetFile(SegmentNumber number);

  // Tidying.
  bool expire(UnixTime now);
  bool ageOut(std::uint64_t atLeast);
  bool makeAhead();
  bool compact(std::uint64_t budget);
  std::optional<SegmentNumber> nextInput();
  bool startJob(SegmentNumber next);
  void compactionEnded(const StoreStatus& outcome);
  bool copyStep(std::uint64_t budget);
  bool copyRecord(const Record& record, const RecordLocation& where);
  bool copyLost();
  bool putOut(const Record& record);
  bool flushOutput(bool sync);
  bool removeInput();
  bool leaveStep();
  bool dropJob(const std::string& why);
  bool copySnapshot(std::uint64_t budget);
  void endSnapshot(StoreStatus outcome);
  Manifest manifest(bool sealedOnly) const;
  StoreOccupancy facts() const;
  // Runs what makes a segment grow or shrink, and counts it.
  template <typename Work>
  auto counted(SegmentWriter& segment, Work work);
  void addBytes(std::uint64_t bytes) const;
  void lessBytes(std::uint64_t bytes) const;
  void say(const std::string& line) const;

  Disk& disk_;
  const StoreSettings bounds_;
  const CompactionPolicy plan_;
  LogCallback tell_;
  StoreId store_{};
  SegmentNumber nextNumber_{1};
  SequenceNumber nextSequence_{1};
  std::vector<ExpirySweep> sweeps_;  // a step goes once a later one covers it; sweepsMost at most
  bool opened_ = false, tidyFailed_ = false;
  bool uncertain_ = false;  // a write has failed, and may be found by a start all the same
  std::unique_ptr<SegmentWriter> active_, output_;
  std::unique_ptr<SegmentWriter> spare_;    // made ahead, or the manifest could not tell of it yet
  bool spareNamed_ = false;                 // its names are on the disk
  std::map<SegmentNumber, Sealed> sealed_;  // a segment leaves when it is removed
  std::unique_ptr<Job> job_;
  std::vector<SegmentNumber> asked_;  // by beginCompaction; each leaves when its turn comes
  std::vector<std::function<void(StoreStatus)>> asking_;  // until none is left
  std::unique_ptr<Copying> copying_;
  std::uint64_t manifestBytes_ = 0;

  mutable std::mutex mutex_;  // over what follows, which readers on other threads use
  mutable KeyIndex index_;
  mutable std::map<SegmentNumber, std::pair<std::shared_ptr<File>, std::uint64_t>>
      files_;  // openFiles at most
  mutable std::uint64_t uses_ = 0;
  mutable StoreStatistics stats_;
  mutable bool sweepDue_ = false;  // something was seen as expired up to sweptUntil_, and no record says so
  mutable UnixTime sweptUntil_{};
  struct Damaged {
    SegmentNumber segment;
    std::string key;
    SequenceNumber sequence;
  };
  mutable std::vector<Damaged> foundDamaged_;  // by readers; the writer takes them over at its next step
};

}  // namespace rainhook::store
