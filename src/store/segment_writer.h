/// @file
/// Writes one segment and its hint file.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/disk.h"
#include "store/folder_usage.h"
#include "store/key_index.h"
#include "store/record_format.h"

namespace rainhook::store {

/// Records go through `append` -> `flush` -> `sync` -> `commit`; `rollBack` drops them. The hint entry of a
/// record is written only by `commit`: a hint must never describe a write that a crash undid, because it
/// would hide the previous acknowledged record. Only the writer thread may use it. Keeps FolderUsage up to
/// date.
class SegmentWriter {
 public:
  /// The result of creating a segment.
  struct CreateResult {
    std::unique_ptr<SegmentWriter> segment;  ///< Null on an error.
    DiskError error;                         ///< Why the segment could not be created.
  };
  /// Creates both files with their headers; does not sync the directory. If the hint file can't be created,
  /// the segment has none until the next recovery creates it.
  static CreateResult create(Disk& disk, FolderUsage& usage, StoreId storeId, SegmentNumber number);

  /// Adds a record to those that the next `flush` writes; returns the location that it will have.
  RecordLocation append(const Record& record);
  /// Adds a record by which recovery discards all records below the floor, without the manifest.
  void appendFloor(SequenceNumber floor);
  /// Writes the appended records. On an error, drops all uncommitted records and truncates the file to the
  /// committed size.
  DiskError flush();
  /// Makes the flushed records durable if it succeeds.
  DiskError sync() { return file_->sync(); }
  /// Asks the system to start writing back the flushed records.
  void startWriteback() { file_->startWriteback(); }
  /// Drops the records that were appended or flushed since the last commit.
  void rollBack();
  /// Commits the flushed records and writes their hint entries.
  void commit();
  /// Writes the end of the hint file; the segment accepts no more records. A failure loses no data.
  void seal();

  /// The number of the segment.
  SegmentNumber number() const { return header_.segment; }
  /// Size of the segment file.
  std::uint64_t bytes() const { return writtenBytes_; }
  /// Size of the committed part of the file; data of a failed write may follow it.
  std::uint64_t committedBytes() const { return committedBytes_; }
  /// Size of the hint file.
  std::uint64_t hintBytes() const { return hintBytes_; }
  /// Size of both files after all pending data is written and the segment is sealed.
  std::uint64_t projectedBytes() const;
  /// The highest sequence number of all appended records.
  SequenceNumber lastSequence() const { return lastSequence_; }
  /// The highest floor that the committed records state; 0 if none does.
  SequenceNumber recordedFloor() const { return committedFloor_; }
  /// Whether a failed write could not be truncated. Nothing more may be written to the segment then.
  bool isBroken() const { return isBroken_; }

 private:
  /// Updates FolderUsage by the change in size of both files during its scope.
  class UsageUpdate;

  SegmentWriter(FolderUsage& usage, StoreId storeId, SegmentNumber number);
  void appendHint(RecordKind kind, const Record& record, const HintLocation& location);
  void truncateToCommitted();

  FolderUsage& usage_;
  FileHeader header_;
  std::shared_ptr<File> file_;
  std::shared_ptr<File> hintFile_;  // null after a failure or once the segment is sealed
  std::string pendingRecords_;      // not flushed yet
  std::string pendingHints_;        // not committed yet
  std::uint64_t writtenBytes_ = fileHeaderBytes;
  std::uint64_t committedBytes_ = fileHeaderBytes;
  std::uint64_t hintBytes_ = fileHeaderBytes;
  std::uint64_t committedRecords_ = 0;
  std::uint64_t pendingRecordCount_ = 0;
  SequenceNumber lastSequence_{};
  SequenceNumber pendingFloor_{};    // the floor in the records that are not committed yet
  SequenceNumber committedFloor_{};  // the floor in the committed records
  bool isBroken_ = false;
};

}  // namespace rainhook::store
