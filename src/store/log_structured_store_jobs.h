// The work that a LogStructuredStore carries on from step to step; private to it.
#pragma once

#include "store/log_structured_store.h"

namespace rainhook::store {

// One segment on its way out: what lives in it is copied, the manifest forgets it, then the index hears of
// each record that has left. Letting go of a job before its end loses nothing: the input still stands.
struct LogStructuredStore::Job {
  SegmentNumber input{};
  std::optional<RecordScanner> scanner;  // none where the file is gone and only its hint is left
  enum class Stage { copying, removing, leaving } stage = Stage::copying;
  std::vector<std::pair<std::string, SequenceNumber>> records;  // of the input; as many as a segment holds
  std::vector<Move> moves;                                      // added to the output, not written yet
  std::size_t left = 0;
};

struct LogStructuredStore::Copying {
  std::unique_ptr<Disk> into;
  std::function<void(StoreStatus)> ended;
  std::string manifest;
  std::vector<std::string> names, made;  // to be copied, last first; copied so far
  std::shared_ptr<File> from, to;
  std::uint64_t offset = 0;
};

template <typename Work>
auto LogStructuredStore::counted(SegmentWriter& segment, Work work) {
  const auto before = segment.bytes() + segment.hintEntryBytes();
  const auto out = work();
  const auto now = segment.bytes() + segment.hintEntryBytes();
  now > before ? addBytes(now - before) : lessBytes(before - now);
  return out;
}

}  // namespace rainhook::store
