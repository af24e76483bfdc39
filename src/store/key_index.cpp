#include "store/key_index.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {
namespace {

// A node with its links and what the allocator adds, measured; a key that does not fit into its string is a
// block of its own.
constexpr std::uint64_t nodeBytes = 192, inString = 15, blockBytes = 24;

std::uint64_t indexBytes(const IndexEntry& entry) {
  return nodeBytes + (entry.key.size() > inString ? entry.key.size() + blockBytes : 0);
}

std::uint64_t weight(const IndexEntry& entry) {
  if (entry.state == EntryState::live) return entry.location.bytes + hintEntryBytes(entry.key.size());
  if (entry.state == EntryState::deleted && entry.records > 1)
    return KeyIndex::tombstoneBytes(entry.key.size());
  return 0;
}

}  // namespace

const IndexEntry* KeyIndex::find(std::string_view key) const {
  const auto at = this->at(key);
  return at == entries_.end() ? nullptr : &*at;
}

void KeyIndex::count(const IndexEntry& entry, bool in) {
  if (const auto bytes = weight(entry)) {
    auto& sum = living_[entry.location.segment];
    in ? sum += bytes : sum -= bytes;
    in ? liveBytes_ += bytes : liveBytes_ -= bytes;
    if (sum == 0) living_.erase(entry.location.segment);
  }
  const auto own = indexBytes(entry);
  in ? bytes_ += own : bytes_ -= own;
  if (entry.state == EntryState::live) in ? ++liveEntries_ : --liveEntries_;
}

template <typename Change>
void KeyIndex::change(At at, Change change) {
  count(*at, false);
  entries_.modify(at, change);
  count(*at, true);
}

void KeyIndex::drop(At at) {
  count(*at, false);
  entries_.erase(at);
}

bool KeyIndex::addRecord(std::string_view key, RecordKind kind, SequenceNumber sequence, UnixTime expiry,
                         RecordLocation where) {
  if (sequence < floor_) return false;
  const EntryState state = kind == RecordKind::put ? EntryState::live : EntryState::deleted;
  if (state != EntryState::live) expiry = neverExpires;
  const auto at = entries_.lower_bound(key);
  inOrder_ = inOrder_ && sequence >= newest_;
  newest_ = std::max(newest_, sequence);
  if (at == entries_.end() || at->key != key) {
    const auto made = entries_.insert(at, {std::string(key), sequence, sequence, expiry, where, 1, state});
    count(*made, true);
    return true;
  }
  const auto precedes = [&] {
    if (sequence != at->sequence) return sequence > at->sequence;
    if (at->state == EntryState::lost) return true;
    if (state != at->state) return state == EntryState::deleted;
    return where.segment > at->location.segment;
  };
  const bool newer = sequence > at->sequence, latest = precedes();
  change(at, [&](IndexEntry& entry) {
    ++entry.records;
    entry.born = std::min(entry.born, sequence);
    if (!latest) return;
    entry.sequence = sequence, entry.expiry = expiry, entry.location = where, entry.state = state;
  });
  if (newer) {
    auto& age = entries_.get<ByAge>();
    age.relocate(age.end(), entries_.project<ByAge>(at));
  }
  return latest;
}

void KeyIndex::addCopy(std::string_view key, SequenceNumber sequence, RecordLocation where) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < at->born) return;
  change(at, [&](IndexEntry& entry) {
    ++entry.records;
    if (entry.sequence != sequence) return;  // overwritten meanwhile
    entry.location = where;
    if (entry.state == EntryState::lost) entry.state = EntryState::deleted;
  });
}

bool KeyIndex::markLost(std::string_view key, SequenceNumber sequence, SegmentNumber segment) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < floor_ || at->sequence > sequence) return false;
  // Another whole copy of the same record serves as well.
  if (at->sequence == sequence && at->location.segment != segment) return false;
  const bool own = at->sequence == sequence;  // it was counted as a record
  inOrder_ = inOrder_ && own;
  newest_ = std::max(newest_, sequence);
  if (own && at->records <= 1) return drop(at), false;
  change(at, [&](IndexEntry& entry) {
    entry.records -= own;
    entry.sequence = sequence, entry.expiry = neverExpires, entry.state = EntryState::lost;
    entry.location = {segment, 0, 0};
  });
  return true;
}

void KeyIndex::removeRecord(std::string_view key, SequenceNumber sequence) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < at->born) return;
  if (at->records <= 1) return drop(at);
  change(at, [](IndexEntry& entry) { --entry.records; });
}

void KeyIndex::expireKey(std::string_view key) {
  const auto at = this->at(key);
  if (at == entries_.end() || at->state != EntryState::live) return;
  change(at, [](IndexEntry& entry) { entry.state = EntryState::deleted, entry.expiry = neverExpires; });
}

std::size_t KeyIndex::expireUpTo(UnixTime now, std::size_t most) {
  auto& ends = entries_.get<ByEnd>();
  std::size_t count = 0;
  for (; count < most && !ends.empty() && ends.begin()->expiry <= now; ++count)
    expireKey(std::string(ends.begin()->key));
  return count;
}

std::size_t KeyIndex::raiseFloor(SequenceNumber floor) {
  if (floor <= floor_) return 0;
  floor_ = floor;
  const auto before = liveEntries_;
  auto& age = entries_.get<ByAge>();
  while (!age.empty() && age.front().sequence < floor) drop(entries_.project<0>(age.begin()));
  return before - liveEntries_;
}

SequenceNumber KeyIndex::floorToFree(std::uint64_t disk, std::uint64_t index) const {
  std::uint64_t freedDisk = 0, freedIndex = 0;
  for (const IndexEntry& entry : entries_.get<ByAge>()) {
    if (freedDisk >= disk && freedIndex >= index) return entry.sequence;
    freedDisk += weight(entry);
    freedIndex += indexBytes(entry);
  }
  return entries_.empty() ? floor_ : successor(entries_.get<ByAge>().back().sequence);
}

void KeyIndex::sortByAge() {
  auto& age = entries_.get<ByAge>();
  if (std::exchange(inOrder_, true)) return;
  std::vector<std::pair<SequenceNumber, const IndexEntry*>> sorted;
  sorted.reserve(age.size());
  for (const IndexEntry& entry : age) sorted.emplace_back(entry.sequence, &entry);
  std::sort(sorted.begin(), sorted.end());
  std::vector<std::reference_wrapper<const IndexEntry>> order;
  order.reserve(sorted.size());
  for (const auto& [sequence, entry] : sorted) order.emplace_back(*entry);
  age.rearrange(order.begin());
}

std::uint64_t KeyIndex::liveBytesIn(SegmentNumber segment) const {
  const auto at = living_.find(segment);
  return at == living_.end() ? 0 : at->second;
}

void KeyIndex::scanByKey(std::string_view from, bool beyond,
                         const std::function<bool(const IndexEntry&)>& hear) const {
  for (auto next = beyond ? entries_.upper_bound(from) : entries_.lower_bound(from); next != entries_.end();
       ++next)
    if (next->state == EntryState::live && !hear(*next)) return;
}

void KeyIndex::scanByAge(const std::optional<AgeCursor>& behind,
                         const std::function<bool(const IndexEntry&)>& hear) const {
  const auto& age = entries_.get<ByAge>();
  auto next = age.begin();
  if (behind) {
    // Where that one has been written again meanwhile, it stands at the end: the place is found by its
    // sequence.
    const auto known = at(behind->key);
    if (known != entries_.end() && known->sequence == behind->sequence)
      next = std::next(entries_.project<ByAge>(known));
    else
      next = std::find_if(next, age.end(),
                          [&](const IndexEntry& entry) { return entry.sequence > behind->sequence; });
  }
  for (; next != age.end(); ++next)
    if (next->state == EntryState::live && !hear(*next)) return;
}

}  // namespace rainhook::store
