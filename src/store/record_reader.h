/// @file
/// Reads the value of a key: a look into the index, then one read of the disk.
#pragma once

#include <string>
#include <string_view>

#include "store/ids.h"
#include "store/key_index.h"
#include "store/requests.h"
#include "store/segment_file_cache.h"
#include "store/store_state.h"

namespace rainhook::store {

/// Any thread may read. The state's mutex is not held during the read of the disk.
class RecordReader {
 public:
  /// State and files must outlive this.
  RecordReader(StoreState& state, SegmentFileCache& files, LogCallback log);

  /// Reads the current value of the key. An error of the disk leaves the key as it is; a corrupt record is
  /// lost.
  ReadResult read(StoreId storeId, std::string_view key, UnixTime now);

 private:
  /// How a look into the index ended: with the entry to be read, or with the result.
  struct Lookup {
    std::optional<IndexEntry> entry;
    ReadResult result;
  };
  /// Whether an attempt is final, or the record has moved since the index was asked.
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
