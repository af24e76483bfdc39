#include "store/index.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {
namespace {

// A node with its links and what the allocator adds, measured; a key that does not fit into its string is a
// block of its own.
constexpr std::uint64_t nodeBytes = 192, inString = 15, blockBytes = 24;

std::uint64_t indexBytes(const Entry& entry) {
  return nodeBytes + (entry.key.size() > inString ? entry.key.size() + blockBytes : 0);
}

std::uint64_t weight(const Entry& entry) {
  if (entry.state == State::living) return entry.where.bytes + hintBytes(entry.key.size());
  if (entry.state == State::gone && entry.records > 1) return Index::tombstoneBytes(entry.key.size());
  return 0;
}

}  // namespace

const Entry* Index::find(std::string_view key) const {
  const auto at = this->at(key);
  return at == entries_.end() ? nullptr : &*at;
}

void Index::count(const Entry& entry, bool in) {
  if (const auto bytes = weight(entry)) {
    auto& sum = living_[entry.where.segment];
    in ? sum += bytes : sum -= bytes;
    in ? livingBytes_ += bytes : livingBytes_ -= bytes;
    if (sum == 0) living_.erase(entry.where.segment);
  }
  const auto own = indexBytes(entry);
  in ? bytes_ += own : bytes_ -= own;
  if (entry.state == State::living) in ? ++livingEntries_ : --livingEntries_;
}

template <typename Change>
void Index::change(At at, Change change) {
  count(*at, false);
  entries_.modify(at, change);
  count(*at, true);
}

void Index::drop(At at) {
  count(*at, false);
  entries_.erase(at);
}

bool Index::seen(std::string_view key, Kind kind, Sequence sequence, UnixTime goodUntil, Where where) {
  if (sequence < floor_) return false;
  const State state = kind == Kind::put ? State::living : State::gone;
  if (state != State::living) goodUntil = forever;
  const auto at = entries_.lower_bound(key);
  inOrder_ = inOrder_ && sequence >= newest_;
  newest_ = std::max(newest_, sequence);
  if (at == entries_.end() || at->key != key) {
    const auto made = entries_.insert(at, {std::string(key), sequence, sequence, goodUntil, where, 1, state});
    count(*made, true);
    return true;
  }
  const auto precedes = [&] {
    if (sequence != at->sequence) return sequence > at->sequence;
    if (at->state == State::lost) return true;
    if (state != at->state) return state == State::gone;
    return where.segment > at->where.segment;
  };
  const bool newer = sequence > at->sequence, latest = precedes();
  change(at, [&](Entry& entry) {
    ++entry.records;
    entry.born = std::min(entry.born, sequence);
    if (!latest) return;
    entry.sequence = sequence, entry.goodUntil = goodUntil, entry.where = where, entry.state = state;
  });
  if (newer) {
    auto& age = entries_.get<ByAge>();
    age.relocate(age.end(), entries_.project<ByAge>(at));
  }
  return latest;
}

void Index::copied(std::string_view key, Sequence sequence, Where where) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < at->born) return;
  change(at, [&](Entry& entry) {
    ++entry.records;
    if (entry.sequence != sequence) return;  // overwritten meanwhile
    entry.where = where;
    if (entry.state == State::lost) entry.state = State::gone;
  });
}

bool Index::lost(std::string_view key, Sequence sequence, SegmentNumber segment) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < floor_ || at->sequence > sequence) return false;
  // Another whole copy of the same record serves as well.
  if (at->sequence == sequence && at->where.segment != segment) return false;
  const bool own = at->sequence == sequence;  // it was counted as a record
  inOrder_ = inOrder_ && own;
  newest_ = std::max(newest_, sequence);
  if (own && at->records <= 1) return drop(at), false;
  change(at, [&](Entry& entry) {
    entry.records -= own;
    entry.sequence = sequence, entry.goodUntil = forever, entry.state = State::lost;
    entry.where = {segment, 0, 0};
  });
  return true;
}

void Index::left(std::string_view key, Sequence sequence) {
  const auto at = this->at(key);
  if (at == entries_.end() || sequence < at->born) return;
  if (at->records <= 1) return drop(at);
  change(at, [](Entry& entry) { --entry.records; });
}

void Index::expire(std::string_view key) {
  const auto at = this->at(key);
  if (at == entries_.end() || at->state != State::living) return;
  change(at, [](Entry& entry) { entry.state = State::gone, entry.goodUntil = forever; });
}

std::size_t Index::expireUntil(UnixTime now, std::size_t most) {
  auto& ends = entries_.get<ByEnd>();
  std::size_t count = 0;
  for (; count < most && !ends.empty() && ends.begin()->goodUntil <= now; ++count)
    expire(std::string(ends.begin()->key));
  return count;
}

std::size_t Index::raiseFloor(Sequence floor) {
  if (floor <= floor_) return 0;
  floor_ = floor;
  const auto before = livingEntries_;
  auto& age = entries_.get<ByAge>();
  while (!age.empty() && age.front().sequence < floor) drop(entries_.project<0>(age.begin()));
  return before - livingEntries_;
}

Sequence Index::floorFor(std::uint64_t disk, std::uint64_t index) const {
  std::uint64_t freedDisk = 0, freedIndex = 0;
  for (const Entry& entry : entries_.get<ByAge>()) {
    if (freedDisk >= disk && freedIndex >= index) return entry.sequence;
    freedDisk += weight(entry);
    freedIndex += indexBytes(entry);
  }
  return entries_.empty() ? floor_ : after(entries_.get<ByAge>().back().sequence);
}

void Index::orderByAge() {
  auto& age = entries_.get<ByAge>();
  if (std::exchange(inOrder_, true)) return;
  std::vector<std::pair<Sequence, const Entry*>> sorted;
  sorted.reserve(age.size());
  for (const Entry& entry : age) sorted.emplace_back(entry.sequence, &entry);
  std::sort(sorted.begin(), sorted.end());
  std::vector<std::reference_wrapper<const Entry>> order;
  order.reserve(sorted.size());
  for (const auto& [sequence, entry] : sorted) order.emplace_back(*entry);
  age.rearrange(order.begin());
}

std::uint64_t Index::living(SegmentNumber segment) const {
  const auto at = living_.find(segment);
  return at == living_.end() ? 0 : at->second;
}

void Index::byKey(std::string_view from, bool beyond, const std::function<bool(const Entry&)>& hear) const {
  for (auto next = beyond ? entries_.upper_bound(from) : entries_.lower_bound(from); next != entries_.end();
       ++next)
    if (next->state == State::living && !hear(*next)) return;
}

void Index::byAge(const std::optional<Behind>& behind, const std::function<bool(const Entry&)>& hear) const {
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
                          [&](const Entry& entry) { return entry.sequence > behind->sequence; });
  }
  for (; next != age.end(); ++next)
    if (next->state == State::living && !hear(*next)) return;
}

}  // namespace rainhook::store
