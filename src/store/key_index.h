/// @file
/// What is known of every key: where its latest record stands, whether it is live, and how many records of it
/// are on disk. No I/O, no clock, no lock: the owner synchronizes.
///
/// Invariants: an entry stands as long as any record of its key does (at or above the floor), so that a
/// deleted key is remembered until nothing on disk could bring it back. Of two records the one with the
/// higher sequence number is current; of two copies of one record the erasure, then the one in the segment
/// with the higher number. Memory is bounded by CompactionPolicy, from `memoryBytes`.
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

/// Where a record stands.
struct RecordLocation {
  SegmentNumber segment{};   ///< In which segment.
  std::uint32_t offset = 0;  ///< From the beginning of its file.
  std::uint32_t bytes = 0;   ///< Length of the record.

  /// Compares all members.
  bool operator==(const RecordLocation&) const = default;
};

/// Whether a key has a value.
enum class EntryState : std::uint8_t {
  live,
  deleted,  ///< Erased or expired; the record that says so stands on disk.
  lost,     ///< Its latest record can't be read any more, so nothing older may be served.
};

/// What is known of one key.
struct IndexEntry {
  std::string key;                      ///< The key.
  SequenceNumber sequence{};            ///< Of its current record.
  SequenceNumber oldestSequence{};      ///< The lowest that `recordCount` includes.
  UnixTime expiry = neverExpires;       ///< Of its current record.
  RecordLocation location;              ///< Of its current record.
  std::uint32_t recordCount = 0;        ///< Records of the key on disk.
  EntryState state = EntryState::live;  ///< Whether it has a value.
};

/// An ordered map of all keys, which can also be walked by age and by expiry.
class KeyIndex {
 public:
  /// Returns false to end the scan.
  using Visitor = std::function<bool(const IndexEntry&)>;

  /// The position of a scan by age: the entry that was visited last.
  struct AgeCursor {
    std::string key;            ///< Of that entry.
    SequenceNumber sequence{};  ///< Of that entry.
  };

  /// Null where nothing is known; valid until the next change.
  const IndexEntry* find(std::string_view key) const;

  /// Adds a record that stands on disk. True where it is now the latest of its key.
  bool addRecord(std::string_view key, RecordKind kind, SequenceNumber sequence, UnixTime expiry,
                 RecordLocation location);
  /// Adds a copy that a compaction wrote of the latest record of a key, or of its erasure. Reads go to the
  /// copy from now on; whether the key is live does not change.
  void addCopy(std::string_view key, SequenceNumber sequence, RecordLocation location);
  /// Notes that a record can't be read. True where it hides older records and has to be remembered.
  bool markLost(std::string_view key, SequenceNumber sequence, SegmentNumber segment);
  /// Removes a record that has left the disk with its segment.
  void removeRecord(std::string_view key, SequenceNumber sequence);

  /// Deletes a key that was seen as expired; it stays deleted whatever the clock says later.
  void expireKey(std::string_view key);
  /// Deletes keys that have expired at `now`, at most `maxEntries`; returns how many.
  std::size_t expireUpTo(UnixTime now, std::size_t maxEntries);

  /// Forgets all entries below the floor; returns how many live ones that were.
  std::size_t raiseFloor(SequenceNumber floor);
  /// Records below it are forgotten.
  SequenceNumber floor() const { return floor_; }
  /// The floor below which entries with so many bytes on disk and in the index stand.
  SequenceNumber floorToFree(std::uint64_t diskBytes, std::uint64_t indexBytes) const;
  /// Restores the order of age after recovery, which adds records in any order.
  void sortByAge();

  /// What a compaction of this segment would have to copy, with the hint entries.
  std::uint64_t liveBytesIn(SegmentNumber segment) const;
  /// What a compaction of everything would copy.
  std::uint64_t liveBytes() const { return liveBytes_; }
  /// Memory that the index takes.
  std::uint64_t memoryBytes() const { return memoryBytes_; }
  /// Live, deleted and lost keys.
  std::size_t entryCount() const { return entries_.size(); }
  /// Keys that have a value.
  std::size_t liveEntryCount() const { return liveEntryCount_; }

  /// Visits live entries in the order of their keys.
  void scanByKey(std::string_view from, ScanStart start, const Visitor& visit) const;
  /// Visits live entries, the oldest first, beginning after the cursor.
  void scanByAge(const std::optional<AgeCursor>& cursor, const Visitor& visit) const;

  /// Bytes on disk of a deletion that has to be kept while older records of its key stand there.
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
  std::unordered_map<SegmentNumber, std::uint64_t> liveBytesBySegment_;  // no entry where it would be 0
  std::uint64_t memoryBytes_ = 0;
  std::uint64_t liveBytes_ = 0;
  std::size_t liveEntryCount_ = 0;
  SequenceNumber floor_{};
  SequenceNumber newestSequence_{};
  bool isSortedByAge_ = true;
};

}  // namespace rainhook::store
