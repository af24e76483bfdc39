#include "store/record_reader.h"

#include <fmt/format.h>

#include <utility>

#include "store/compression.h"
#include "store/file_names.h"
#include "store/segment_catalog.h"

namespace rainhook::store {
namespace {

constexpr std::size_t maxDecompressedBytes = std::size_t{256} << 20;  // no setting allows a longer value
// A compaction may move a record between the index lookup and the read. The old file stays readable while it
// is open, so more than two attempts are rare.
constexpr int maxAttempts = 4;

ReadResult failure(StoreErrorCode code, std::string message) {
  return {{}, neverExpires, {code, std::move(message)}};
}

}  // namespace

RecordReader::RecordReader(StoreState& state, SegmentFileCache& files, LogCallback log)
    : state_(state), files_(files), log_(std::move(log)) {}

ReadResult RecordReader::read(StoreId storeId, std::string_view key, UnixTime now) {
  for (int attempt = 0; attempt < maxAttempts; ++attempt) {
    Lookup lookup = lookUp(key, now);
    if (!lookup.entry) return std::move(lookup.result);
    Attempt outcome = readEntry(storeId, *lookup.entry);
    if (!outcome.hasMoved) return std::move(outcome.result);
  }
  return failure(StoreErrorCode::ioError,
                 fmt::format("compaction moved the record during each of {} read attempts", maxAttempts));
}

RecordReader::Lookup RecordReader::lookUp(std::string_view key, UnixTime now) {
  const std::lock_guard lock(state_.mutex);
  const IndexEntry* entry = state_.index.find(key);
  if (!entry || entry->state == EntryState::deleted) return {};
  if (entry->state == EntryState::lost)
    return {std::nullopt, failure(StoreErrorCode::corruptRecord, "the latest record of the key is corrupt")};
  if (entry->expiry <= now) {
    state_.index.expireKey(key);
    ++state_.statistics.expiredEntries;
    state_.noteExpired(now);
    return {};
  }
  return {*entry, {}};
}

RecordReader::Attempt RecordReader::readEntry(StoreId storeId, const IndexEntry& entry) {
  const RecordLocation& location = entry.location;
  const auto opened = files_.open(location.segment);
  std::string bytes(location.bytes, '\0');
  IoResult read{0, opened.error};
  if (opened.file) read = readAll(*opened.file, location.offset, bytes);
  if (read.error) return handleUnreadable(entry, read.error);

  const FileHeader file{FileKind::segment, storeId, location.segment};
  const auto found = readRecord(std::string_view(bytes).substr(0, read.bytes), {file, location.offset});
  const Record& record = found.record;
  const bool isIntact = found.state == RecordReadResult::State::complete && record.key == entry.key &&
                        record.sequence == entry.sequence;
  if (!isIntact) return handleUnreadable(entry, {});
  if (!record.isCompressed) return {false, {std::string(record.value), entry.expiry, {}}};
  if (auto plain = decompress(record.value, maxDecompressedBytes))
    return {false, {std::move(plain), entry.expiry, {}}};
  return handleUnreadable(entry, {});
}

RecordReader::Attempt RecordReader::handleUnreadable(const IndexEntry& entry, const DiskError& error) {
  const RecordLocation& location = entry.location;
  const std::string name = segmentFileName(location.segment);
  {
    const std::lock_guard lock(state_.mutex);
    const IndexEntry* current = state_.index.find(entry.key);
    if (!current || current->location != location || current->sequence != entry.sequence) return {true, {}};
    if (error) return {false, failure(StoreErrorCode::ioError, describeError(name, error))};
    ++state_.statistics.lostRecords;
    state_.statistics.lostBytes += location.bytes;
    if (state_.index.markLost(entry.key, entry.sequence, location.segment))
      state_.corruptRecords.push_back({location.segment, {entry.key, entry.sequence}});
  }
  if (log_)
    log_(fmt::format("{} at {}: record of {} bytes is corrupt; its value is unavailable", name,
                     location.offset, location.bytes));
  return {false, failure(StoreErrorCode::corruptRecord, fmt::format("{} at {}: record of {} bytes is corrupt",
                                                                    name, location.offset, location.bytes))};
}

}  // namespace rainhook::store
