/// @file
/// The manifest: which segments a store consists of, and from where its numbers go on. Byte layout in
/// docs/store-format.md. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

/// Every record of a lower sequence number that expired by this time at the latest is gone, whatever the
/// clock says later.
struct ExpirySweep {
  SequenceNumber before{};
  UnixTime expiredBy{};

  bool operator==(const ExpirySweep&) const = default;
};

struct Manifest {
  struct Segment {
    SegmentNumber number{};
    bool isSealed = false;          ///< Takes no more, and every sync of it succeeded.
    std::uint64_t bytes = 0;        ///< Of a sealed one.
    SequenceNumber lastSequence{};  ///< The highest in a sealed one.

    bool operator==(const Segment&) const = default;
  };
  StoreId storeId{};
  SegmentNumber nextSegment{};
  SequenceNumber nextSequence{};
  SequenceNumber floor{};  ///< Records below it are gone: aged out, or in doubt.
  std::vector<ExpirySweep> sweeps;
  std::vector<Segment> segments;

  bool operator==(const Manifest&) const = default;
};

struct ManifestReadResult {
  std::optional<Manifest> manifest;  ///< Absent with an error.
  HeaderError error = HeaderError::none;
};

std::string encodeManifest(const Manifest& manifest);
ManifestReadResult decodeManifest(std::string_view bytes);

}  // namespace rainhook::store
