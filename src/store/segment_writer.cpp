#include "store/segment_writer.h"

#include <algorithm>
#include <utility>

#include "store/file_names.h"

namespace rainhook::store {

class SegmentWriter::UsageUpdate {
 public:
  explicit UsageUpdate(SegmentWriter& segment) : segment_(segment), before_(total()) {}
  ~UsageUpdate() {
    const std::uint64_t now = total();
    if (now > before_) segment_.usage_.add(now - before_);
    if (now < before_) segment_.usage_.subtract(before_ - now);
  }
  UsageUpdate(const UsageUpdate&) = delete;
  UsageUpdate& operator=(const UsageUpdate&) = delete;

 private:
  std::uint64_t total() const { return segment_.bytes() + segment_.hintBytes(); }

  SegmentWriter& segment_;
  const std::uint64_t before_;
};

SegmentWriter::SegmentWriter(FolderUsage& usage, StoreId storeId, SegmentNumber number)
    : usage_(usage), header_{FileKind::segment, storeId, number} {}

SegmentWriter::CreateResult SegmentWriter::create(Disk& disk, FolderUsage& usage, StoreId storeId,
                                                  SegmentNumber number) {
  std::unique_ptr<SegmentWriter> out(new SegmentWriter(usage, storeId, number));
  auto opened = disk.create(segmentFileName(number));
  if (opened.error) return {nullptr, opened.error};
  if (const DiskError error = writeAll(*opened.file, 0, encodeHeader(out->header_))) {
    disk.remove(segmentFileName(number));
    return {nullptr, error};
  }
  out->file_ = std::move(opened.file);
  out->hintFile_ = disk.create(hintFileName(number)).file;
  const std::string hintHeader = encodeHeader({FileKind::hint, storeId, number});
  if (out->hintFile_ && writeAll(*out->hintFile_, 0, hintHeader)) out->hintFile_.reset();
  usage.add(out->bytes() + out->hintBytes());
  return {std::move(out), {}};
}

std::uint64_t SegmentWriter::projectedBytes() const {
  const std::uint64_t hintEnd = recordBytes(0, hintLocationBytes);
  return writtenBytes_ + pendingRecords_.size() + hintBytes_ + pendingHints_.size() + hintEnd;
}

RecordLocation SegmentWriter::append(const Record& record) {
  const std::uint64_t offset = writtenBytes_ + pendingRecords_.size();
  const std::uint64_t bytes = recordBytes(record.key.size(), record.value.size());
  appendRecord(pendingRecords_, record, {header_, offset});
  appendHint(record.kind, record, {offset, bytes});
  ++pendingRecordCount_;
  lastSequence_ = std::max(lastSequence_, record.sequence);
  return {header_.segment, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(bytes)};
}

void SegmentWriter::appendFloor(SequenceNumber floor) {
  append({RecordKind::discard, false, predecessor(floor), neverExpires, {}, {}});
  pendingFloor_ = std::max(pendingFloor_, floor);
}

void SegmentWriter::appendHint(RecordKind kind, const Record& record, const HintLocation& location) {
  const std::string value = encodeHintLocation(location);
  const FileHeader hintHeader{FileKind::hint, header_.storeId, header_.segment};
  appendRecord(pendingHints_, {kind, false, record.sequence, record.expiry, record.key, value},
               {hintHeader, hintBytes_ + pendingHints_.size()});
}

DiskError SegmentWriter::flush() {
  const UsageUpdate update(*this);
  const DiskError error = writeAll(*file_, writtenBytes_, pendingRecords_);
  if (error) {
    truncateToCommitted();
    return error;
  }
  writtenBytes_ += pendingRecords_.size();
  pendingRecords_.clear();
  return {};
}

void SegmentWriter::rollBack() {
  const UsageUpdate update(*this);
  truncateToCommitted();
}

void SegmentWriter::truncateToCommitted() {
  pendingRecords_.clear();
  pendingHints_.clear();
  pendingRecordCount_ = 0;
  pendingFloor_ = {};
  writtenBytes_ = committedBytes_;
  if (file_->truncate(committedBytes_)) {
    isBroken_ = true;
    writtenBytes_ = std::max(writtenBytes_, file_->size());
  }
}

void SegmentWriter::commit() {
  const UsageUpdate update(*this);
  committedRecords_ += std::exchange(pendingRecordCount_, 0);
  committedFloor_ = std::max(committedFloor_, std::exchange(pendingFloor_, {}));
  committedBytes_ = writtenBytes_;
  const std::string hints = std::exchange(pendingHints_, {});
  if (!hintFile_) return;
  if (writeAll(*hintFile_, hintBytes_, hints))
    hintFile_.reset();  // recovery uses the intact entries and rewrites the file
  else
    hintBytes_ += hints.size();
}

void SegmentWriter::seal() {
  const UsageUpdate update(*this);
  if (!hintFile_) return;
  appendHint(RecordKind::hintEnd, {}, {committedBytes_, committedRecords_});
  const std::string hints = std::exchange(pendingHints_, {});
  if (!writeAll(*hintFile_, hintBytes_, hints)) hintBytes_ += hints.size();
  // No sync is needed: recovery reads the segment if the hint file is incomplete.
  hintFile_->startWriteback();
  hintFile_.reset();
}

}  // namespace rainhook::store
