#include "store/segment_writer.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {

std::unique_ptr<SegmentWriter> SegmentWriter::make(Disk& disk, StoreId store, SegmentNumber number,
                                                   DiskError& error) {
  std::unique_ptr<SegmentWriter> out(new SegmentWriter(store, number));
  auto opened = disk.create(segmentFileName(number));
  error = opened.error ? opened.error : writeAll(*opened.file, 0, encodeHeader(out->head_));
  if (error) {
    if (opened.file) disk.remove(segmentFileName(number));
    return nullptr;
  }
  out->file_ = std::move(opened.file);
  out->hint_ = disk.create(hintFileName(number)).file;
  if (out->hint_ && writeAll(*out->hint_, 0, encodeHeader({FileKind::hint, store, number})))
    out->hint_.reset();
  out->hintWritten_ = fileHeaderBytes;
  return out;
}

RecordLocation SegmentWriter::add(const Record& record) {
  const auto offset = written_ + pending_.size();
  const auto bytes = recordBytes(record.key.size(), record.value.size());
  appendRecord(pending_, record, {head_, offset});
  hint(record.kind, record, {offset, bytes});
  ++addedRecords_;
  last_ = std::max(last_, record.sequence);
  return {head_.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(bytes)};
}

void SegmentWriter::hint(RecordKind kind, const Record& record, const HintLocation& place) {
  const auto value = encodeHintLocation(place);
  appendRecord(hints_, {kind, false, record.sequence, record.expiry, record.key, value},
               {{FileKind::hint, head_.store, head_.number}, hintWritten_ + hints_.size()});
}

DiskError SegmentWriter::write() {
  const auto error = writeAll(*file_, written_, pending_);
  if (!error) {
    written_ += pending_.size();
    pending_.clear();
  } else {
    takeBack();
  }
  return error;
}

void SegmentWriter::takeBack() {
  pending_.clear(), hints_.clear();
  addedRecords_ = 0;
  written_ = settled_;
  if (file_->truncate(settled_)) {
    broken_ = true;
    written_ = std::max(written_, file_->size());
  }
}

void SegmentWriter::waitUntilIdle() {
  records_ += std::exchange(addedRecords_, 0);
  settled_ = written_;
  const auto hints = std::exchange(hints_, {});
  if (!hint_) return;
  if (writeAll(*hint_, hintWritten_, hints))
    hint_.reset();  // what of it is whole still counts at the next start, which makes it anew
  else
    hintWritten_ += hints.size();
}

void SegmentWriter::seal() {
  if (!hint_) return;
  hint(RecordKind::hintEnd, {}, {settled_, records_});
  const auto hints = std::exchange(hints_, {});
  if (!writeAll(*hint_, hintWritten_, hints)) hintWritten_ += hints.size();
  hint_->startWriteback();  // no need to wait: a start that finds it cut short reads the segment
  hint_.reset();
}

}  // namespace rainhook::store
