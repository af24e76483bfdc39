// What is known of every key: where its latest record stands, whether it lives, and how many records of it
// are on disk. Pure.
//
// Invariants: an entry stands as long as any record of its key does (at or above the floor), so that an
// erased key is remembered until nothing on disk could bring it back; of two records the one with the higher
// sequence holds, of two copies of one the erased one, then the one in the newer segment. Emptied by what
// removes segments and by the floor; bounded by the plan, from `bytes`.
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
#include <vector>

#include "store/format.h"
#include "store/ids.h"

namespace rainhook::store {

struct RecordLocation {
  SegmentNumber segment{};
  std::uint32_t offset = 0, bytes = 0;

  bool operator==(const RecordLocation&) const = default;
};

enum class EntryState : std::uint8_t {
  live,
  deleted,  // erased or expired; the record that says so stands on disk
  lost,     // its latest record can't be read any more, so nothing older may be served
};

struct IndexEntry {
  std::string key;
  SequenceNumber sequence{}, born{};  // born: the lowest that `records` counts
  UnixTime expiry = neverExpires;
  RecordLocation location;
  std::uint32_t records = 0;
  EntryState state = EntryState::live;
};

class KeyIndex {
 public:
  const IndexEntry* find(std::string_view key) const;

  // A record that stands on disk. True where it is the latest of its key now.
  bool addRecord(std::string_view key, RecordKind kind, SequenceNumber sequence, UnixTime expiry,
                 RecordLocation where);
  // A copy that a compaction wrote of the latest record of a key, or of its absence: what is there to be
  // served stands here now. Whether it lives does not change by that.
  void addCopy(std::string_view key, SequenceNumber sequence, RecordLocation where);
  // A record that stood there and can't be read; true where it suppresses anything, and has to be remembered.
  bool markLost(std::string_view key, SequenceNumber sequence, SegmentNumber segment);
  // A record that has left the disk with its segment.
  void removeRecord(std::string_view key, SequenceNumber sequence);
  // It was seen as expired: whatever the clock says later, it is gone.
  void expireKey(std::string_view key);
  // The same for all that were good until `now` at most, at most so many; gives how many.
  std::size_t expireUpTo(UnixTime now, std::size_t most);
  // Forgets all below; gives how many living ones that were.
  std::size_t raiseFloor(SequenceNumber floor);
  SequenceNumber floor() const { return floor_; }
  // The floor under which so many bytes (living on disk, of the index) are forgotten.
  SequenceNumber floorToFree(std::uint64_t disk, std::uint64_t index) const;
  // After recovery, which reads in no order of age.
  void sortByAge();

  // What a compaction of a segment has to copy, with the hint entries.
  std::uint64_t liveBytesIn(SegmentNumber segment) const;
  std::uint64_t liveBytes() const { return liveBytes_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t size() const { return entries_.size(); }
  std::size_t liveEntries() const { return liveEntries_; }

  // Living entries in order of their keys, from `from` on (beyond it where told), until `hear` says false.
  void scanByKey(std::string_view from, bool beyond,
                 const std::function<bool(const IndexEntry&)>& hear) const;
  // Living entries, the oldest first, from the one behind this key and sequence on, until `hear` says false.
  struct AgeCursor {
    std::string key;
    SequenceNumber sequence{};
  };
  void scanByAge(const std::optional<AgeCursor>& behind,
                 const std::function<bool(const IndexEntry&)>& hear) const;

  // What a gone entry needs on disk while older records of its key stand there.
  static std::uint64_t tombstoneBytes(std::size_t key) { return recordBytes(key, 0) + hintEntryBytes(key); }

 private:
  struct ByAge {};
  struct ByEnd {};
  using Entries = boost::multi_index_container<
      IndexEntry, boost::multi_index::indexed_by<
                      boost::multi_index::ordered_unique<
                          boost::multi_index::member<IndexEntry, std::string, &IndexEntry::key>, std::less<>>,
                      boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                      boost::multi_index::ordered_non_unique<
                          boost::multi_index::tag<ByEnd>,
                          boost::multi_index::member<IndexEntry, UnixTime, &IndexEntry::expiry>>>>;
  using At = Entries::iterator;

  At at(std::string_view key) const { return entries_.find(key); }

  void drop(At at);
  template <typename Change>
  void change(At at, Change change);
  void count(const IndexEntry& entry, bool in);

  Entries entries_;
  std::unordered_map<SegmentNumber, std::uint64_t> living_;  // a segment leaves with its last living entry
  std::uint64_t bytes_ = 0, liveBytes_ = 0;
  std::size_t liveEntries_ = 0;
  SequenceNumber floor_{}, newest_{};
  bool inOrder_ = true;  // of age
};

}  // namespace rainhook::store
