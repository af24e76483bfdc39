/// @file
/// Reads the value of a key: looks up the key in the index, then reads the record from the disk. Repeats both
/// if a compaction has moved the record in the meantime.
#pragma once

#include <string>
#include <string_view>

#include "store/ids.h"
#include "store/key_index.h"
#include "store/requests.h"
#include "store/segment_file_cache.h"
#include "store/store_state.h"

namespace rainhook::store {

/// Thread-safe. The state's mutex is not held while the disk is read.
class RecordReader {
 public:
  /// The state and the file cache must outlive this object.
  RecordReader(StoreState& state, SegmentFileCache& files, LogCallback log);

  /// Reads the current value of the key. A disk error does not change the key's state; a corrupt record is
  /// marked as lost.
  ReadResult read(StoreId storeId, std::string_view key, UnixTime now);

 private:
  /// The result of an index lookup: either the entry to read from disk, or the final result.
  struct Lookup {
    std::optional<IndexEntry> entry;
    ReadResult result;
  };
  /// The result of one attempt to read a record: final, unless the record has moved since the index lookup.
  struct Attempt {
    bool hasMoved = false;
    ReadResult result;
  };

  Lookup lookUp(std::string_view key, UnixTime now);
  Attempt readEntry(StoreId storeId, const IndexEntry& entry);
  Attempt handleUnreadable(const IndexEntry& entry, const DiskError& error);

  StoreState& state_;
  SegmentFileCache& files_;
  LogCallback log_;
};

}  // namespace rainhook::store
