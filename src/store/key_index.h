/// @file
/// The in-memory index of all keys: the location of each key's latest record, whether the key is live, and
/// how many records of it are on disk. No I/O, no clock, no lock: the owner synchronizes access.
///
/// Invariants: an entry exists as long as any record of its key exists on disk (at or above the floor), so
/// that a deleted key is remembered until no record on disk could restore it. Of two records of a key, the
/// one with the higher sequence number is current. Of two copies of one record, an erasure takes precedence,
/// then the copy in the segment with the higher number. CompactionPolicy bounds the memory, based on
/// `memoryBytes`.
#pragma once

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "store/ids.h"
#include "store/record_format.h"
#include "store/requests.h"

namespace rainhook::store {

/// The location of a record.
struct RecordLocation {
  SegmentNumber segment{};   ///< The segment that contains it.
  std::uint32_t offset = 0;  ///< Offset from the beginning of the segment file.
  std::uint32_t bytes = 0;   ///< Length of the record.

  /// Compares all members.
  bool operator==(const RecordLocation&) const = default;
};

/// Whether a key has a value.
enum class EntryState : std::uint8_t {
  live,
  deleted,  ///< Erased or expired; the record of the erasure or the expired value is on disk.
  lost,     ///< Its latest record can no longer be read, so older records must not be served.
};

/// The index entry of one key.
struct IndexEntry {
  std::string key;                      ///< The key.
  SequenceNumber sequence{};            ///< Sequence number of the current record.
  SequenceNumber oldestSequence{};      ///< The lowest sequence number that `recordCount` includes.
  UnixTime expiry = neverExpires;       ///< Expiry of the current record.
  RecordLocation location;              ///< Location of the current record.
  std::uint32_t recordCount = 0;        ///< The number of records of the key on disk.
  EntryState state = EntryState::live;  ///< Whether the key has a value.
};

/// An ordered map of all keys that can also be traversed by age and by expiry.
class KeyIndex {
 public:
  /// Returns false to end the scan.
  using Visitor = std::function<bool(const IndexEntry&)>;

  /// The position of a scan by age: the entry that was visited last.
  struct AgeCursor {
    std::string key;            ///< Key of that entry.
    SequenceNumber sequence{};  ///< Sequence number of that entry.
  };

  /// Returns null if there is no entry; the pointer is valid until the next change.
  const IndexEntry* find(std::string_view key) const;

  /// Adds a record that is on disk. Returns whether it is now the current record of its key.
  bool addRecord(std::string_view key, RecordKind kind, SequenceNumber sequence, UnixTime expiry,
                 RecordLocation location);
  /// Adds a copy that a compaction wrote of the latest record of a key, or of its erasure. Subsequent reads
  /// use the copy; whether the key is live does not change.
  void addCopy(std::string_view key, SequenceNumber sequence, RecordLocation location);
  /// Marks a record as unreadable. Returns true if it hides older records and must be remembered.
  bool markLost(std::string_view key, SequenceNumber sequence, SegmentNumber segment);
  /// Removes a record whose segment was removed from the disk.
  void removeRecord(std::string_view key, SequenceNumber sequence);

  /// Deletes a key that was observed as expired; it stays deleted even if the clock steps back later.
  void expireKey(std::string_view key);
  /// Deletes at most `maxEntries` keys that have expired at `now`; returns the number of deleted keys.
  std::size_t expireUpTo(UnixTime now, std::size_t maxEntries);

  /// Removes all entries below the floor; returns how many of them were live.
  std::size_t raiseFloor(SequenceNumber floor);
  /// Records with a sequence number below the floor are not in the index.
  SequenceNumber floor() const { return floor_; }
  /// The floor that removes entries with at least `diskBytes` on disk and `indexBytes` in the index.
  SequenceNumber floorToFree(std::uint64_t diskBytes, std::uint64_t indexBytes) const;
  /// Restores the order by age after recovery, which adds records in any order.
  void sortByAge();

  /// The bytes that a compaction of this segment would have to copy, including the hint entries.
  std::uint64_t liveBytesIn(SegmentNumber segment) const;
  /// The bytes that a compaction of all segments would copy.
  std::uint64_t liveBytes() const { return liveBytes_; }
  /// The memory that the index uses.
  std::uint64_t memoryBytes() const { return memoryBytes_; }
  /// The number of live, deleted and lost keys.
  std::size_t entryCount() const { return entries_.size(); }
  /// The number of keys that have a value.
  std::size_t liveEntryCount() const { return liveEntryCount_; }

  /// Visits live entries in key order.
  void scanByKey(std::string_view from, ScanStart start, const Visitor& visit) const;
  /// Visits live entries, the oldest first, starting after the cursor.
  void scanByAge(const std::optional<AgeCursor>& cursor, const Visitor& visit) const;

  /// The size on disk of a tombstone, which must be kept while older records of its key are on disk.
  static std::uint64_t tombstoneBytes(std::size_t keyBytes) {
    return recordBytes(keyBytes, 0) + hintEntryBytes(keyBytes);
  }

 private:
  struct ByAge {};
  struct ByExpiry {};
  using Entries = boost::multi_index_container<
      IndexEntry, boost::multi_index::indexed_by<
                      boost::multi_index::ordered_unique<
                          boost::multi_index::member<IndexEntry, std::string, &IndexEntry::key>, std::less<>>,
                      boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                      boost::multi_index::ordered_non_unique<
                          boost::multi_index::tag<ByExpiry>,
                          boost::multi_index::member<IndexEntry, UnixTime, &IndexEntry::expiry>>>>;
  using Iterator = Entries::iterator;

  void remove(Iterator entry);
  template <typename Change>
  void modify(Iterator entry, Change change);
  void addToTotals(const IndexEntry& entry);
  void subtractFromTotals(const IndexEntry& entry);

  Entries entries_;
  std::unordered_map<SegmentNumber, std::uint64_t> liveBytesBySegment_;  // has no entry for a value of 0
  std::uint64_t memoryBytes_ = 0;
  std::uint64_t liveBytes_ = 0;
  std::size_t liveEntryCount_ = 0;
  SequenceNumber floor_{};
  SequenceNumber newestSequence_{};
  bool isSortedByAge_ = true;
};

}  // namespace rainhook::store
