/// @file
/// One segment that is being written, with its hint file beside it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/disk.h"
#include "store/folder_usage.h"
#include "store/key_index.h"
#include "store/record_format.h"

namespace rainhook::store {

/// Records go `append` -> `flush` -> `sync` -> `commit`, or back by `rollBack`. The hint entry of a record
/// follows only with the commit: a hint must never describe a write that a crash undid, since it would hide
/// the acknowledged record before it. Belongs to the writer's thread; keeps FolderUsage up to date.
class SegmentWriter {
 public:
  /// How the creation of a segment ended.
  struct CreateResult {
    std::unique_ptr<SegmentWriter> segment;  ///< Null with an error.
    DiskError error;                         ///< Why there is none.
  };
  /// Creates both files with their headers; the directory is not synced yet. Where the hint file can't be
  /// created the segment goes without, and the next start creates it.
  static CreateResult create(Disk& disk, FolderUsage& usage, StoreId storeId, SegmentNumber number);

  /// Encodes a record behind those that wait for `flush`; returns where it will stand.
  RecordLocation append(const Record& record);
  /// Writes what was appended. On an error all of it is dropped and the file truncated to before.
  DiskError flush();
  /// What was flushed is durable once this succeeds.
  DiskError sync() { return file_->sync(); }
  /// A hint to the system to write back what was flushed.
  void startWriteback() { file_->startWriteback(); }
  /// Drops what was appended or flushed since the last commit.
  void rollBack();
  /// What was flushed counts from now on: its entries go into the hint file.
  void commit();
  /// Ends the hint file; the segment takes no more. Nothing is lost where this fails.
  void seal();

  /// Which segment.
  SegmentNumber number() const { return header_.segment; }
  /// Of the segment's file.
  std::uint64_t bytes() const { return writtenBytes_; }
  /// What counts of the file; behind it may stand what failed.
  std::uint64_t committedBytes() const { return committedBytes_; }
  /// Of the hint file.
  std::uint64_t hintBytes() const { return hintBytes_; }
  /// Of both files once everything that waits has been written and the segment is sealed.
  std::uint64_t projectedBytes() const;
  /// The highest of all records that were appended.
  SequenceNumber lastSequence() const { return lastSequence_; }
  /// A failed write could not be truncated: nothing more may go in.
  bool isBroken() const { return isBroken_; }

 private:
  /// Reports the growth of both files during its scope.
  class UsageUpdate;

  SegmentWriter(FolderUsage& usage, StoreId storeId, SegmentNumber number);
  void appendHint(RecordKind kind, const Record& record, const HintLocation& location);
  void truncateToCommitted();

  FolderUsage& usage_;
  FileHeader header_;
  std::shared_ptr<File> file_;
  std::shared_ptr<File> hintFile_;  // null where it failed or the segment is sealed
  std::string pendingRecords_;      // not flushed yet
  std::string pendingHints_;        // not committed yet
  std::uint64_t writtenBytes_ = fileHeaderBytes;
  std::uint64_t committedBytes_ = fileHeaderBytes;
  std::uint64_t hintBytes_ = fileHeaderBytes;
  std::uint64_t committedRecords_ = 0;
  std::uint64_t pendingRecordCount_ = 0;
  SequenceNumber lastSequence_{};
  bool isBroken_ = false;
};

}  // namespace rainhook::store
