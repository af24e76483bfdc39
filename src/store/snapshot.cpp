// A copy of the store in another folder, made while writes go on: all segments are sealed at its beginning,
// none is compacted until its end. A marker stands in the folder until all of it is there, so that a copy
// that was cut short, which may hold older records without what erased them, is never taken for a store.
#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store.h"
#include "store/log_structured_store_jobs.h"

namespace rainhook::store {

StoreStatus LogStructuredStore::startSnapshot(std::unique_ptr<Disk> into,
                                              std::function<void(StoreStatus)> ended) {
  if (!opened_) return {StoreErrorCode::closed, "the store is not open"};
  if (copying_) return {StoreErrorCode::invalidArgument, "a snapshot is under way"};
  std::vector<Disk::DirectoryEntry> there;
  if (const auto error = into->list(there))
    return {StoreErrorCode::ioError, "the snapshot's folder: " + error.message()};
  if (!there.empty()) return {StoreErrorCode::invalidArgument, "the snapshot's folder is not empty"};
  const auto marker = into->create(incompleteMarkerFileName);
  if (marker.error)
    return {StoreErrorCode::ioError, std::string(incompleteMarkerFileName) + ": " + marker.error.message()};
  if (const auto error = into->syncDirectory()) {
    into->remove(incompleteMarkerFileName);
    return {StoreErrorCode::ioError, "the snapshot's folder: " + error.message()};
  }
  // A segment that has gone is still to be heard of; any other job may be begun anew.
  while (job_ && job_->stage == Job::Stage::leaving) leaveStep();
  job_.reset();
  if (output_) flushOutput(true);
  if (output_) seal(output_, false);
  if (active_) seal(active_, false);
  copying_ = std::make_unique<Copying>();
  copying_->into = std::move(into);
  copying_->ended = std::move(ended);
  copying_->made = {incompleteMarkerFileName};
  copying_->manifest = encodeManifest(manifest(true));
  for (const auto& [number, segment] : sealed_)
    for (const auto& name : {segmentFileName(number), hintFileName(number)}) copying_->names.push_back(name);
  return {};
}

bool LogStructuredStore::copySnapshot(std::uint64_t budget) {
  Copying& c = *copying_;
  const auto failed = [&](const std::string& name, DiskError error) {
    endSnapshot({StoreErrorCode::ioError, "snapshot: " + name + ": " + error.message()});
    return true;
  };
  if (!c.from && c.names.empty()) {
    auto opened = c.into->create(manifestFileName);
    c.made.emplace_back(manifestFileName);
    if (opened.error) return failed(manifestFileName, opened.error);
    if (const auto error = writeAll(*opened.file, 0, c.manifest)) return failed(manifestFileName, error);
    if (const auto error = opened.file->sync()) return failed(manifestFileName, error);
    if (const auto error = c.into->syncDirectory()) return failed("the folder", error);
    if (const auto error = c.into->remove(incompleteMarkerFileName))
      return failed(incompleteMarkerFileName, error);
    if (const auto error = c.into->syncDirectory()) return failed("the folder", error);
    c.made.clear();
    endSnapshot({});
    return true;
  }
  if (!c.from) {
    const auto name = c.names.back();
    auto from = disk_.open(name);
    if (from.error.errorNumber == ENOENT) return c.names.pop_back(), true;  // a hint that could not be made
    if (from.error) return failed(name, from.error);
    auto to = c.into->create(name);
    if (to.error) return failed(name, to.error);
    c.made.push_back(name);
    c.from = std::move(from.file), c.to = std::move(to.file), c.offset = 0;
  }
  std::string bytes(static_cast<std::size_t>(budget), '\0');
  const auto read = readAll(*c.from, c.offset, bytes);
  if (read.error) return failed(c.names.back(), read.error);
  if (const auto error = writeAll(*c.to, c.offset, std::string_view(bytes).substr(0, read.bytes)))
    return failed(c.names.back(), error);
  c.offset += read.bytes;
  if (read.bytes == budget) return true;
  if (const auto error = c.to->sync()) return failed(c.names.back(), error);
  c.from.reset(), c.to.reset();
  c.names.pop_back();
  return true;
}

void LogStructuredStore::endSnapshot(StoreStatus outcome) {
  const auto copying = std::move(copying_);
  // Of one that did not come to its end, the marker last.
  for (auto name = copying->made.rbegin(); name != copying->made.rend(); ++name) copying->into->remove(*name);
  if (copying->ended) copying->ended(std::move(outcome));
}

}  // namespace rainhook::store
