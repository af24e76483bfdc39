#include "store/record_scanner.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {
namespace {

constexpr std::uint64_t windowBytes = 256 << 10;

}  // namespace

RecordScanner::RecordScanner(std::shared_ptr<File> file, FileHeader header)
    : file_(std::move(file)), header_(header), fileBytes_(file_->size()) {}

std::string_view RecordScanner::window(std::uint64_t offset, std::size_t minBytes) {
  const std::uint64_t remainingBytes = fileBytes_ - offset;
  const std::uint64_t wanted = std::min<std::uint64_t>(minBytes, remainingBytes);
  if (offset < windowOffset_ || offset + wanted > windowOffset_ + window_.size()) {
    window_.resize(static_cast<std::size_t>(std::min(std::max(wanted, windowBytes), remainingBytes)));
    const IoResult read = readAll(*file_, offset, window_);
    window_.resize(read.bytes);
    windowOffset_ = offset;
  }
  return std::string_view(window_).substr(static_cast<std::size_t>(offset - windowOffset_));
}

RecordReadResult RecordScanner::readAt(std::uint64_t offset) {
  const RecordPosition position{header_, offset};
  RecordReadResult read = readRecord(window(offset, recordHeaderBytes), position);
  if (read.state == RecordReadResult::State::needsMoreBytes && read.bytes <= fileBytes_ - offset)
    read = readRecord(window(offset, read.bytes), position);
  return read;
}

std::uint64_t RecordScanner::findIntactRecord(std::uint64_t from) {
  while (from < fileBytes_) {
    const std::string_view bytes = window(from, recordHeaderBytes);
    if (bytes.empty()) return fileBytes_;  // the disk can't read the rest of the file
    const std::size_t candidate = findRecordCandidate(bytes, 0);
    if (candidate == std::string_view::npos) {
      from += bytes.size();
      continue;
    }
    from += candidate;
    if (readAt(from).state == RecordReadResult::State::complete) return from;
    ++from;
  }
  return fileBytes_;
}

RecordScanner::Step RecordScanner::next() {
  if (position_ >= fileBytes_) return {};
  const RecordReadResult read = readAt(position_);
  if (read.state == RecordReadResult::State::complete) {
    const std::uint64_t offset = position_;
    position_ += read.bytes;
    return {Step::Kind::record, read.record, offset, read.bytes};
  }
  const std::uint64_t offset = std::exchange(position_, findIntactRecord(position_ + 1));
  return {Step::Kind::corruption, {}, offset, position_ - offset};
}

}  // namespace rainhook::store
