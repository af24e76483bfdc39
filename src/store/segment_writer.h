// One segment that is being written, with its hint file beside it. The hint entry of a record follows only
// once the record may be believed: a hint must never tell of a write that a crash undid, since it would
// suppress the acknowledged one before it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/disk.h"
#include "store/format.h"
#include "store/key_index.h"

namespace rainhook::store {

class SegmentWriter {
 public:
  // Makes both files with their heads; the folder is not synced yet. Where the hint file can't be had the
  // segment goes without, and the next start makes it.
  static std::unique_ptr<SegmentWriter> make(Disk& disk, StoreId store, SegmentNumber number,
                                             DiskError& error);

  // Encodes a record behind what was added and not written yet; gives where it will stand.
  RecordLocation add(const Record& record);
  // Writes what was added. On a fault nothing of it counts, and the file is cut back to before.
  DiskError write();
  DiskError sync() { return file_->sync(); }
  // Takes back what was written since the last `settle` (its sync failed).
  void takeBack();
  // What was written is believed: its hint entries go into the hint file.
  void waitUntilIdle();
  // The last entry of the hint; the segment takes no more. The hint is no loss where this fails.
  void seal();

  SegmentNumber number() const { return head_.number; }
  const FileHeader& head() const { return head_; }
  std::uint64_t bytes() const { return written_; }
  std::uint64_t committedBytes() const { return settled_; }  // what counts; behind it may stand what failed
  std::uint64_t hintEntryBytes() const { return hintWritten_; }
  std::uint64_t weight() const {
    return written_ + pending_.size() + hintWritten_ + hints_.size() + recordBytes(0, hintLocationBytes);
  }
  std::uint64_t records() const { return records_; }
  SequenceNumber last() const { return last_; }
  bool broken() const { return broken_; }  // a failed write could not be cut off: nothing more goes in
  const std::shared_ptr<File>& file() const { return file_; }

 private:
  SegmentWriter(StoreId store, SegmentNumber number) : head_{FileKind::segment, store, number} {}
  void hint(RecordKind kind, const Record& record, const HintLocation& place);

  FileHeader head_;
  std::shared_ptr<File> file_, hint_;  // hint_ is null where it failed
  std::string pending_, hints_;        // not written yet
  std::uint64_t written_ = fileHeaderBytes, settled_ = fileHeaderBytes, hintWritten_ = 0, records_ = 0,
                addedRecords_ = 0;
  SequenceNumber last_{};
  bool broken_ = false;
};

}  // namespace rainhook::store
