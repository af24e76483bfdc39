#include "store/record_scanner.h"

#include <algorithm>
#include <utility>

namespace rainhook::store {

RecordScanner::RecordScanner(std::shared_ptr<File> file, FileHeader head)
    : file_(std::move(file)), head_(head), size_(file_->size()) {}

std::string_view RecordScanner::window(std::uint64_t at, std::size_t least) {
  const auto wanted = std::min<std::uint64_t>(least, size_ - at);
  if (at < windowAt_ || at + wanted > windowAt_ + window_.size()) {
    window_.resize(static_cast<std::size_t>(
        std::min<std::uint64_t>(std::max<std::uint64_t>(wanted, windowBytes), size_ - at)));
    const auto read = readAll(*file_, at, window_);
    window_.resize(read.bytes);
    windowAt_ = at;
  }
  return std::string_view(window_).substr(static_cast<std::size_t>(at - windowAt_));
}

RecordReadResult RecordScanner::readAt(std::uint64_t at) {
  const RecordPosition spot{head_, at};
  auto read = readRecord(window(at, recordHeaderBytes), spot);
  if (read.state == RecordReadResult::State::needsMoreBytes && read.bytes <= size_ - at)
    read = readRecord(window(at, read.bytes), spot);
  return read;
}

std::uint64_t RecordScanner::nextWhole(std::uint64_t from) {
  while (from < size_) {
    const auto bytes = window(from, recordHeaderBytes);
    if (bytes.empty()) return size_;  // can't be read from here on
    const auto candidate = findRecordCandidate(bytes, 0);
    if (candidate == std::string_view::npos) {
      from += bytes.size();
      continue;
    }
    from += candidate;
    if (readAt(from).state == RecordReadResult::State::complete) return from;
    ++from;
  }
  return size_;
}

RecordScanner::Step RecordScanner::next() {
  if (at_ >= size_) return {};
  auto read = readAt(at_);
  if (read.state == RecordReadResult::State::complete) {
    const auto offset = at_;
    at_ += read.bytes;
    return {Step::What::record, read.record, offset, read.bytes};
  }
  const auto from = std::exchange(at_, nextWhole(at_ + 1));
  return {Step::What::damage, {}, from, at_ - from};
}

}  // namespace rainhook::store
