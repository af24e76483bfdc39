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
  SequenceNumber before{};  ///< Records from this one on are not concerned.
  UnixTime expiredBy{};     ///< The latest expiry that is concerned.

  /// Compares all members.
  bool operator==(const ExpirySweep&) const = default;
};

/// What a manifest says.
struct Manifest {
  /// A segment that belongs to the store.
  struct Segment {
    SegmentNumber number{};         ///< Which segment.
    bool isSealed = false;          ///< Takes no more, and every sync of it succeeded.
    std::uint64_t bytes = 0;        ///< Of a sealed one.
    SequenceNumber lastSequence{};  ///< The highest in a sealed one.

    /// Compares all members.
    bool operator==(const Segment&) const = default;
  };
  StoreId storeId{};                ///< Whose manifest it is.
  SegmentNumber nextSegment{};      ///< The number of the next new segment.
  SequenceNumber nextSequence{};    ///< Higher than every sequence number in sealed segments.
  SequenceNumber floor{};           ///< Records below it are gone: aged out, or in doubt.
  std::vector<ExpirySweep> sweeps;  ///< In the order of writing.
  std::vector<Segment> segments;    ///< All that belong to the store.

  /// Compares all members.
  bool operator==(const Manifest&) const = default;
};

/// How the reading of a manifest ended.
struct ManifestReadResult {
  std::optional<Manifest> manifest;       ///< Absent with an error.
  HeaderError error = HeaderError::none;  ///< Why there is none.
};

/// The bytes of a manifest's file.
std::string encodeManifest(const Manifest& manifest);
/// Reads what encodeManifest wrote; any changed byte is an error.
ManifestReadResult decodeManifest(std::string_view bytes);

}  // namespace rainhook::store
