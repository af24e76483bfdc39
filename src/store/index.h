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

struct Where {
  SegmentNumber segment{};
  std::uint32_t offset = 0, bytes = 0;

  bool operator==(const Where&) const = default;
};

enum class State : std::uint8_t {
  living,
  gone,  // erased or expired; the record that says so stands on disk
  lost,  // its latest record can't be read any more, so nothing older may be served
};

struct Entry {
  std::string key;
  Sequence sequence{}, born{};  // born: the lowest that `records` counts
  UnixTime goodUntil = forever;
  Where where;
  std::uint32_t records = 0;
  State state = State::living;
};

class Index {
 public:
  const Entry* find(std::string_view key) const;

  // A record that stands on disk. True where it is the latest of its key now.
  bool seen(std::string_view key, Kind kind, Sequence sequence, UnixTime goodUntil, Where where);
  // A copy that a compaction wrote of the latest record of a key, or of its absence: what is there to be
  // served stands here now. Whether it lives does not change by that.
  void copied(std::string_view key, Sequence sequence, Where where);
  // A record that stood there and can't be read; true where it suppresses anything, and has to be remembered.
  bool lost(std::string_view key, Sequence sequence, SegmentNumber segment);
  // A record that has left the disk with its segment.
  void left(std::string_view key, Sequence sequence);
  // It was seen as expired: whatever the clock says later, it is gone.
  void expire(std::string_view key);
  // The same for all that were good until `now` at most, at most so many; gives how many.
  std::size_t expireUntil(UnixTime now, std::size_t most);
  // Forgets all below; gives how many living ones that were.
  std::size_t raiseFloor(Sequence floor);
  Sequence floor() const { return floor_; }
  // The floor under which so many bytes (living on disk, of the index) are forgotten.
  Sequence floorFor(std::uint64_t disk, std::uint64_t index) const;
  // After recovery, which reads in no order of age.
  void orderByAge();

  // What a compaction of a segment has to copy, with the hint entries.
  std::uint64_t living(SegmentNumber segment) const;
  std::uint64_t livingBytes() const { return livingBytes_; }
  std::uint64_t bytes() const { return bytes_; }
  std::size_t size() const { return entries_.size(); }
  std::size_t livingEntries() const { return livingEntries_; }

  // Living entries in order of their keys, from `from` on (beyond it where told), until `hear` says false.
  void byKey(std::string_view from, bool beyond, const std::function<bool(const Entry&)>& hear) const;
  // Living entries, the oldest first, from the one behind this key and sequence on, until `hear` says false.
  struct Behind {
    std::string key;
    Sequence sequence{};
  };
  void byAge(const std::optional<Behind>& behind, const std::function<bool(const Entry&)>& hear) const;

  // What a gone entry needs on disk while older records of its key stand there.
  static std::uint64_t tombstoneBytes(std::size_t key) { return recordBytes(key, 0) + hintBytes(key); }

 private:
  struct ByAge {};
  struct ByEnd {};
  using Entries = boost::multi_index_container<
      Entry, boost::multi_index::indexed_by<
                 boost::multi_index::ordered_unique<
                     boost::multi_index::member<Entry, std::string, &Entry::key>, std::less<>>,
                 boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                 boost::multi_index::ordered_non_unique<
                     boost::multi_index::tag<ByEnd>,
                     boost::multi_index::member<Entry, UnixTime, &Entry::goodUntil>>>>;
  using At = Entries::iterator;

  At at(std::string_view key) const { return entries_.find(key); }

  void drop(At at);
  template <typename Change>
  void change(At at, Change change);
  void count(const Entry& entry, bool in);

  Entries entries_;
  std::unordered_map<SegmentNumber, std::uint64_t> living_;  // a segment leaves with its last living entry
  std::uint64_t bytes_ = 0, livingBytes_ = 0;
  std::size_t livingEntries_ = 0;
  Sequence floor_{}, newest_{};
  bool inOrder_ = true;  // of age
};

}  // namespace rainhook::store
