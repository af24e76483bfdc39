#include "store/segment.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {

std::unique_ptr<Segment> Segment::make(Disk& disk, StoreId store, SegmentNumber number, Fault& fault) {
  std::unique_ptr<Segment> out(new Segment(store, number));
  auto opened = disk.create(segmentName(number));
  fault = opened.fault ? opened.fault : writeAll(*opened.file, 0, encodeHead(out->head_));
  if (fault) {
    if (opened.file) disk.remove(segmentName(number));
    return nullptr;
  }
  out->file_ = std::move(opened.file);
  out->hint_ = disk.create(hintName(number)).file;
  if (out->hint_ && writeAll(*out->hint_, 0, encodeHead({FileKind::hint, store, number}))) out->hint_.reset();
  out->hintWritten_ = headBytes;
  return out;
}

Where Segment::add(const Record& record) {
  const auto offset = written_ + pending_.size();
  const auto bytes = recordBytes(record.key.size(), record.value.size());
  append(pending_, record, {head_, offset});
  hint(record.kind, record, {offset, bytes});
  ++addedRecords_;
  last_ = std::max(last_, record.sequence);
  return {head_.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(bytes)};
}

void Segment::hint(Kind kind, const Record& record, const HintPlace& place) {
  const auto value = encodePlace(place);
  append(hints_, {kind, false, record.sequence, record.goodUntil, record.key, value},
         {{FileKind::hint, head_.store, head_.number}, hintWritten_ + hints_.size()});
}

Fault Segment::write() {
  const auto fault = writeAll(*file_, written_, pending_);
  if (!fault) {
    written_ += pending_.size();
    pending_.clear();
  } else {
    takeBack();
  }
  return fault;
}

void Segment::takeBack() {
  pending_.clear(), hints_.clear();
  addedRecords_ = 0;
  written_ = settled_;
  if (file_->cut(settled_)) {
    broken_ = true;
    written_ = std::max(written_, file_->size());
  }
}

void Segment::settle() {
  records_ += std::exchange(addedRecords_, 0);
  settled_ = written_;
  const auto hints = std::exchange(hints_, {});
  if (!hint_) return;
  if (writeAll(*hint_, hintWritten_, hints))
    hint_.reset();  // what of it is whole still counts at the next start, which makes it anew
  else
    hintWritten_ += hints.size();
}

void Segment::seal() {
  if (!hint_) return;
  hint(Kind::hintEnd, {}, {settled_, records_});
  const auto hints = std::exchange(hints_, {});
  if (!writeAll(*hint_, hintWritten_, hints)) hintWritten_ += hints.size();
  hint_->willSync();  // no need to wait: a start that finds it cut short reads the segment
  hint_.reset();
}

}  // namespace rainhook::store
