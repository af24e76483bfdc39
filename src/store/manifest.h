/// @file
/// The manifest: the segments of a store, and the next segment and sequence numbers. docs/store-format.md
/// describes the byte layout. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/ids.h"
#include "store/record_format.h"

namespace rainhook::store {

/// States that every record with a sequence number below `before` and an expiry up to `expiredBy` has
/// expired, even if the clock steps back later.
struct ExpirySweep {
  SequenceNumber before{};  ///< The sweep does not affect records with this or a higher sequence number.
  UnixTime expiredBy{};     ///< The latest expiry that the sweep affects.

  /// Compares all members.
  bool operator==(const ExpirySweep&) const = default;
};

/// The contents of a manifest.
struct Manifest {
  /// A segment that belongs to the store.
  struct Segment {
    SegmentNumber number{};         ///< The segment's number.
    bool isSealed = false;          ///< The segment accepts no more records, and every sync of it succeeded.
    std::uint64_t bytes = 0;        ///< Size of a sealed segment.
    SequenceNumber lastSequence{};  ///< The highest sequence number in a sealed segment.

    /// Compares all members.
    bool operator==(const Segment&) const = default;
  };
  StoreId storeId{};                ///< The store that the manifest belongs to.
  SegmentNumber nextSegment{};      ///< The number of the next new segment.
  SequenceNumber nextSequence{};    ///< Higher than every sequence number in sealed segments.
  SequenceNumber floor{};           ///< Records below it aged out or were discarded as possibly outdated.
  std::vector<ExpirySweep> sweeps;  ///< The expiry sweeps in the order of writing.
  std::vector<Segment> segments;    ///< All segments of the store.

  /// Compares all members.
  bool operator==(const Manifest&) const = default;
};

/// The result of decoding a manifest.
struct ManifestReadResult {
  std::optional<Manifest> manifest;       ///< Absent on an error.
  HeaderError error = HeaderError::none;  ///< Why the manifest could not be decoded.
};

/// Encodes the contents of a manifest file.
std::string encodeManifest(const Manifest& manifest);
/// Decodes the output of encodeManifest; any changed byte is an error.
ManifestReadResult decodeManifest(std::string_view bytes);

}  // namespace rainhook::store
