/// @file
/// Group commit: several writes that become durable with one sync.
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

/// Writes batches into the segment that is open for commits. Belongs to the writer's thread.
class BatchWriter {
 public:
  /// All references must outlive this.
  BatchWriter(const StoreSettings& settings, const CompactionPolicy& policy, SegmentCatalog& catalog,
              StoreState& state, const LogCallback& log);

  /// What the writes take in the folder at most.
  static std::uint64_t bytesOf(std::span<const WriteRequest> writes);
  /// How many writes from the first on go with one sync: as many valid ones as fit into one segment.
  std::size_t batchSize(std::span<const WriteRequest> writes) const;
  /// Makes the writes durable, then visible. On an error none of them counts; where the segment can't be
  /// trusted any more it is sealed, so that the catalog has none for commits.
  DiskError write(std::span<const WriteRequest> writes, UnixTime now);

 private:
  /// A write that the index takes over once it is durable.
  struct IndexUpdate {
    std::string_view key;
    RecordKind kind{};
    SequenceNumber sequence{};
    UnixTime expiry = neverExpires;
    RecordLocation location;
  };

  std::optional<ExpirySweep> appendExpirySweep();
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
  bool mayHoldFailedWrite_ = false;  // a write has failed, and a start may find it all the same
};

}  // namespace rainhook::store
