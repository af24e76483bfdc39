// A copy of the store in another folder, made while writes go on: all segments are sealed at its beginning,
// none is compacted until its end. A marker stands in the folder until all of it is there, so that a copy
// that was cut short, which may hold older records without what erased them, is never taken for a store.
#include <fmt/format.h>

#include <algorithm>

#include "store/log_structured_store.h"
#include "store/log_structured_store_jobs.h"

namespace rainhook::store {

Outcome Book::beginSnapshot(std::unique_ptr<Disk> into, std::function<void(Outcome)> ended) {
  if (!opened_) return {Outcome::Code::closed, "the store is not open"};
  if (copying_) return {Outcome::Code::misused, "a snapshot is under way"};
  std::vector<Disk::Listed> there;
  if (const auto fault = into->list(there))
    return {Outcome::Code::failed, "the snapshot's folder: " + fault.text()};
  if (!there.empty()) return {Outcome::Code::misused, "the snapshot's folder is not empty"};
  const auto marker = into->create(incompleteName);
  if (marker.fault) return {Outcome::Code::failed, std::string(incompleteName) + ": " + marker.fault.text()};
  if (const auto fault = into->syncFolder()) {
    into->remove(incompleteName);
    return {Outcome::Code::failed, "the snapshot's folder: " + fault.text()};
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
  copying_->made = {incompleteName};
  copying_->manifest = encodeManifest(manifest(true));
  for (const auto& [number, segment] : sealed_)
    for (const auto& name : {segmentName(number), hintName(number)}) copying_->names.push_back(name);
  return {};
}

bool Book::copySnapshot(std::uint64_t budget) {
  Copying& c = *copying_;
  const auto failed = [&](const std::string& name, Fault fault) {
    endSnapshot({Outcome::Code::failed, "snapshot: " + name + ": " + fault.text()});
    return true;
  };
  if (!c.from && c.names.empty()) {
    auto opened = c.into->create(manifestName);
    c.made.emplace_back(manifestName);
    if (opened.fault) return failed(manifestName, opened.fault);
    if (const auto fault = writeAll(*opened.file, 0, c.manifest)) return failed(manifestName, fault);
    if (const auto fault = opened.file->sync()) return failed(manifestName, fault);
    if (const auto fault = c.into->syncFolder()) return failed("the folder", fault);
    if (const auto fault = c.into->remove(incompleteName)) return failed(incompleteName, fault);
    if (const auto fault = c.into->syncFolder()) return failed("the folder", fault);
    c.made.clear();
    endSnapshot({});
    return true;
  }
  if (!c.from) {
    const auto name = c.names.back();
    auto from = disk_.open(name);
    if (from.fault.code == ENOENT) return c.names.pop_back(), true;  // a hint that could not be made
    if (from.fault) return failed(name, from.fault);
    auto to = c.into->create(name);
    if (to.fault) return failed(name, to.fault);
    c.made.push_back(name);
    c.from = std::move(from.file), c.to = std::move(to.file), c.offset = 0;
  }
  std::string bytes(static_cast<std::size_t>(budget), '\0');
  const auto read = readAll(*c.from, c.offset, bytes);
  if (read.fault) return failed(c.names.back(), read.fault);
  if (const auto fault = writeAll(*c.to, c.offset, std::string_view(bytes).substr(0, read.bytes)))
    return failed(c.names.back(), fault);
  c.offset += read.bytes;
  if (read.bytes == budget) return true;
  if (const auto fault = c.to->sync()) return failed(c.names.back(), fault);
  c.from.reset(), c.to.reset();
  c.names.pop_back();
  return true;
}

void Book::endSnapshot(Outcome outcome) {
  const auto copying = std::move(copying_);
  // Of one that did not come to its end, the marker last.
  for (auto name = copying->made.rbegin(); name != copying->made.rend(); ++name) copying->into->remove(*name);
  if (copying->ended) copying->ended(std::move(outcome));
}

}  // namespace rainhook::store
