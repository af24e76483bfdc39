#include "store/key_index.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rainhook::store {
namespace {

// The size of a container node with its links and the allocator's overhead. A key that does not fit into the
// string object needs a separate allocation.
constexpr std::uint64_t nodeBytes = 192;
constexpr std::size_t inlineKeyBytes = 15;
constexpr std::uint64_t allocationOverhead = 24;

std::uint64_t memoryBytesOf(const IndexEntry& entry) {
  if (entry.key.size() <= inlineKeyBytes) return nodeBytes;
  return nodeBytes + entry.key.size() + allocationOverhead;
}

/// The bytes that a compaction has to copy for this entry.
std::uint64_t diskBytesOf(const IndexEntry& entry) {
  if (entry.state == EntryState::live) return entry.location.bytes + hintEntryBytes(entry.key.size());
  if (entry.state == EntryState::deleted && entry.recordCount > 1)
    return KeyIndex::tombstoneBytes(entry.key.size());
  return 0;
}

/// Whether an added record becomes the current record of its key.
bool supersedes(SequenceNumber sequence, EntryState state, const RecordLocation& location,
                const IndexEntry& current) {
  if (sequence != current.sequence) return sequence > current.sequence;
  if (current.state == EntryState::lost) return true;
  if (state != current.state) return state == EntryState::deleted;
  return location.segment > current.location.segment;
}

}  // namespace

const IndexEntry* KeyIndex::find(std::string_view key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? nullptr : &*entry;
}

void KeyIndex::addToTotals(const IndexEntry& entry) {
  if (const std::uint64_t bytes = diskBytesOf(entry)) {
    liveBytesBySegment_[entry.location.segment] += bytes;
    liveBytes_ += bytes;
  }
  memoryBytes_ += memoryBytesOf(entry);
  if (entry.state == EntryState::live) ++liveEntryCount_;
}

void KeyIndex::subtractFromTotals(const IndexEntry& entry) {
  if (const std::uint64_t bytes = diskBytesOf(entry)) {
    const auto segment = liveBytesBySegment_.find(entry.location.segment);
    segment->second -= bytes;
    if (segment->second == 0) liveBytesBySegment_.erase(segment);
    liveBytes_ -= bytes;
  }
  memoryBytes_ -= memoryBytesOf(entry);
  if (entry.state == EntryState::live) --liveEntryCount_;
}

template <typename Change>
void KeyIndex::modify(Iterator entry, Change change) {
  subtractFromTotals(*entry);
  entries_.modify(entry, change);
  addToTotals(*entry);
}

void KeyIndex::remove(Iterator entry) {
  subtractFromTotals(*entry);
  entries_.erase(entry);
}

bool KeyIndex::addRecord(std::string_view key, RecordKind kind, SequenceNumber sequence, UnixTime expiry,
                         RecordLocation location) {
  if (sequence < floor_) return false;
  const EntryState state = kind == RecordKind::put ? EntryState::live : EntryState::deleted;
  if (state != EntryState::live) expiry = neverExpires;
  isSortedByAge_ = isSortedByAge_ && sequence >= newestSequence_;
  newestSequence_ = std::max(newestSequence_, sequence);

  const auto entry = entries_.lower_bound(key);
  if (entry == entries_.end() || entry->key != key) {
    const auto inserted =
        entries_.insert(entry, {std::string(key), sequence, sequence, expiry, location, 1, state});
    addToTotals(*inserted);
    return true;
  }
  const bool isNewer = sequence > entry->sequence;
  const bool isCurrent = supersedes(sequence, state, location, *entry);
  modify(entry, [&](IndexEntry& changed) {
    ++changed.recordCount;
    changed.oldestSequence = std::min(changed.oldestSequence, sequence);
    if (!isCurrent) return;
    changed.sequence = sequence;
    changed.expiry = expiry;
    changed.location = location;
    changed.state = state;
  });
  if (isNewer) {
    auto& byAge = entries_.get<ByAge>();
    byAge.relocate(byAge.end(), entries_.project<ByAge>(entry));
  }
  return isCurrent;
}

void KeyIndex::addCopy(std::string_view key, SequenceNumber sequence, RecordLocation location) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || sequence < entry->oldestSequence) return;
  modify(entry, [&](IndexEntry& changed) {
    ++changed.recordCount;
    if (changed.sequence != sequence) return;  // the key was overwritten after the record was copied
    changed.location = location;
    if (changed.state == EntryState::lost) changed.state = EntryState::deleted;
  });
}

bool KeyIndex::markLost(std::string_view key, SequenceNumber sequence, SegmentNumber segment) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || sequence < floor_ || entry->sequence > sequence) return false;
  const bool isCurrent = entry->sequence == sequence;
  // Another intact copy of the same record is current, so nothing is lost.
  if (isCurrent && entry->location.segment != segment) return false;
  isSortedByAge_ = isSortedByAge_ && isCurrent;
  newestSequence_ = std::max(newestSequence_, sequence);
  if (isCurrent && entry->recordCount <= 1) {
    remove(entry);
    return false;
  }
  modify(entry, [&](IndexEntry& changed) {
    if (isCurrent) --changed.recordCount;
    changed.sequence = sequence;
    changed.expiry = neverExpires;
    changed.state = EntryState::lost;
    changed.location = {segment, 0, 0};
  });
  return true;
}

void KeyIndex::removeRecord(std::string_view key, SequenceNumber sequence) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || sequence < entry->oldestSequence) return;
  if (entry->recordCount <= 1) return remove(entry);
  modify(entry, [](IndexEntry& changed) { --changed.recordCount; });
}

void KeyIndex::expireKey(std::string_view key) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || entry->state != EntryState::live) return;
  modify(entry, [](IndexEntry& changed) {
    changed.state = EntryState::deleted;
    changed.expiry = neverExpires;
  });
}

std::size_t KeyIndex::expireUpTo(UnixTime now, std::size_t maxEntries) {
  auto& byExpiry = entries_.get<ByExpiry>();
  std::size_t count = 0;
  while (count < maxEntries && !byExpiry.empty() && byExpiry.begin()->expiry <= now) {
    expireKey(std::string(byExpiry.begin()->key));
    ++count;
  }
  return count;
}

std::size_t KeyIndex::raiseFloor(SequenceNumber floor) {
  if (floor <= floor_) return 0;
  floor_ = floor;
  const std::size_t liveBefore = liveEntryCount_;
  auto& byAge = entries_.get<ByAge>();
  while (!byAge.empty() && byAge.front().sequence < floor) remove(entries_.project<0>(byAge.begin()));
  return liveBefore - liveEntryCount_;
}

SequenceNumber KeyIndex::floorToFree(std::uint64_t diskBytes, std::uint64_t indexBytes) const {
  std::uint64_t freedDiskBytes = 0;
  std::uint64_t freedIndexBytes = 0;
  for (const IndexEntry& entry : entries_.get<ByAge>()) {
    if (freedDiskBytes >= diskBytes && freedIndexBytes >= indexBytes) return entry.sequence;
    freedDiskBytes += diskBytesOf(entry);
    freedIndexBytes += memoryBytesOf(entry);
  }
  return entries_.empty() ? floor_ : successor(entries_.get<ByAge>().back().sequence);
}

void KeyIndex::sortByAge() {
  if (std::exchange(isSortedByAge_, true)) return;
  auto& byAge = entries_.get<ByAge>();
  std::vector<std::pair<SequenceNumber, const IndexEntry*>> sorted;
  sorted.reserve(byAge.size());
  for (const IndexEntry& entry : byAge) sorted.emplace_back(entry.sequence, &entry);
  std::sort(sorted.begin(), sorted.end());
  std::vector<std::reference_wrapper<const IndexEntry>> order;
  order.reserve(sorted.size());
  for (const auto& [sequence, entry] : sorted) order.emplace_back(*entry);
  byAge.rearrange(order.begin());
}

std::uint64_t KeyIndex::liveBytesIn(SegmentNumber segment) const {
  const auto found = liveBytesBySegment_.find(segment);
  return found == liveBytesBySegment_.end() ? 0 : found->second;
}

void KeyIndex::scanByKey(std::string_view from, ScanStart start, const Visitor& visit) const {
  auto entry = start == ScanStart::afterKey ? entries_.upper_bound(from) : entries_.lower_bound(from);
  for (; entry != entries_.end(); ++entry)
    if (entry->state == EntryState::live && !visit(*entry)) return;
}

void KeyIndex::scanByAge(const std::optional<AgeCursor>& cursor, const Visitor& visit) const {
  const auto& byAge = entries_.get<ByAge>();
  auto entry = byAge.begin();
  if (cursor) {
    const auto visited = entries_.find(cursor->key);
    if (visited != entries_.end() && visited->sequence == cursor->sequence) {
      entry = std::next(entries_.project<ByAge>(visited));
    } else {
      // The entry was removed, or it was overwritten and moved to the end. The old position is found by its
      // sequence number.
      entry = std::find_if(entry, byAge.end(), [&](const IndexEntry& candidate) {
        return candidate.sequence > cursor->sequence;
      });
    }
  }
  for (; entry != byAge.end(); ++entry)
    if (entry->state == EntryState::live && !visit(*entry)) return;
}

}  // namespace rainhook::store
