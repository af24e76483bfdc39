/// @file
/// Group commit: makes several writes durable with one sync.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "store/compaction_policy.h"
#include "store/disk.h"
#include "store/ids.h"
#include "store/manifest.h"
#include "store/record_format.h"
#include "store/requests.h"
#include "store/segment_catalog.h"
#include "store/store_settings.h"
#include "store/store_state.h"

namespace rainhook::store {

/// Writes batches into the segment that is open for commits. Only the writer thread may call it.
class BatchWriter {
 public:
  /// All referenced objects must outlive this object.
  BatchWriter(const StoreSettings& settings, const CompactionPolicy& policy, SegmentCatalog& catalog,
              StoreState& state, const LogCallback& log);

  /// An upper bound on the bytes that the writes occupy in the folder.
  static std::uint64_t maxBytesOf(std::span<const WriteRequest> writes);
  /// An upper bound on the further bytes that a commit occupies in the folder: a new segment, an expiry sweep
  /// and the floor.
  static constexpr std::uint64_t maxOverheadBytes =
      2 * fileHeaderBytes + recordBytes(0, 0) + hintEntryBytes(0) + floorRecordBytes;
  /// The number of leading writes that one sync covers: as many valid ones as fit into the segment, at most
  /// `maxCommitWrites`. The first write, which the caller has validated, is always included.
  std::size_t batchSize(std::span<const WriteRequest> writes) const;
  /// Makes the writes durable, then visible. On an error none of them takes effect. If the segment can no
  /// longer be trusted, this function seals it, and the catalog then has no open segment for commits.
  DiskError write(std::span<const WriteRequest> writes, UnixTime now);
  /// Makes the index's floor durable unless a segment states it. The conditions and errors are those of
  /// `write`.
  DiskError writeFloor();

 private:
  /// A change that is applied to the index once the write is durable.
  struct IndexUpdate {
    std::string_view key;
    RecordKind kind{};
    SequenceNumber sequence{};
    UnixTime expiry = neverExpires;
    RecordLocation location;
  };

  std::optional<ExpirySweep> appendExpirySweep();
  bool appendFloorIfUnrecorded();
  std::vector<IndexUpdate> appendWrites(std::span<const WriteRequest> writes, UnixTime now);
  bool isErasureNeeded(std::string_view key, std::span<const WriteRequest> earlierWrites) const;
  IndexUpdate appendWrite(const WriteRequest& write, RecordKind kind);
  DiskError makeDurable();
  void publish(std::span<const WriteRequest> writes, const std::vector<IndexUpdate>& updates,
               const std::optional<ExpirySweep>& sweep);
  SegmentWriter* segment() { return catalog_.writer(SegmentRole::commits); }

  const StoreSettings& settings_;
  const CompactionPolicy& policy_;
  SegmentCatalog& catalog_;
  StoreState& state_;
  const LogCallback& log_;
  bool hasFailedWrite_ = false;  // a write has failed, and recovery may still find its record on disk
};

}  // namespace rainhook::store
