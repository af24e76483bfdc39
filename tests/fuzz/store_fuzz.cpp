#include "store_fuzz.h"

#include <cstdlib>

#include "../store_operation_history.h"
#include "store/compression.h"
#include "store/file_names.h"
#include "store/manifest.h"

namespace rainhook::store {
namespace {

/// Aborts if the condition is false, even in builds without asserts. The fuzzer reports an abort as a
/// finding.
void require(bool condition) {
  if (!condition) std::abort();
}

/// Opens a store on these files, uses it, and reopens it.
void openTwice(std::map<std::string, std::string> image) {
  SimulatedDisk disk = SimulatedDisk::withFiles(image);
  for (int start = 0; start < 2; ++start) {
    CrashSimulatingDisk openedDisk(disk);
    LogStructuredStore store(openedDisk, smallSettings(), {});
    const UnixTime now{std::chrono::milliseconds(1'000'000)};
    require(store.open(77).isOk());
    const auto page = store.scanByKey("", ScanStart::atKey, 50, now);
    for (const auto& row : page.rows) store.get(row.key, now);
    const std::vector<WriteRequest> writes{WriteRequest::put("intact", "value")};
    if (store.commit(writes, now).front().isOk()) require(store.get("intact", now).value == "value");
    for (int i = 0; i < 200 && store.runMaintenance(now); ++i) {
    }
    if (start == 1) store.close();
  }
}

/// Encodes the bytes as a file of entries with arbitrary content and valid checksums.
std::string encodeEntries(std::string_view bytes, FileKind kind, std::uint64_t segmentBytes) {
  const FileHeader header{kind, StoreId{77}, SegmentNumber{1}};
  auto out = encodeHeader(header);
  std::uint64_t entryCount = 0;
  for (; bytes.size() >= 8; bytes.remove_prefix(8), ++entryCount) {
    const auto at = [&](std::size_t i) {
      return static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]));
    };
    const auto key = std::string(at(1) % 40, static_cast<char>('a' + at(2) % 3));
    const auto location = encodeHintLocation({at(3) * at(4), at(5) * at(4)});
    const auto value = kind == FileKind::hint || at(6) % 2 == 0 ? location : std::string(at(6), 'x');
    appendRecord(out,
                 {static_cast<RecordKind>(at(0) % 8), at(6) % 5 == 1, SequenceNumber{at(7)},
                  at(4) % 3 == 0 ? UnixTime{} : neverExpires, key, value},
                 {header, out.size()});
  }
  if (kind == FileKind::hint)
    appendRecord(
        out,
        {RecordKind::hintEnd, false, {}, neverExpires, {}, encodeHintLocation({segmentBytes, entryCount})},
        {header, out.size()});
  return out;
}

}  // namespace

void fuzzStore(const std::uint8_t* data, std::size_t size) {
  // The first byte selects what the remaining bytes are used as, and the second one where they are split.
  if (size < 2) return;
  const std::string bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
  const auto half = bytes.size() * data[1] / 255;
  const auto first = bytes.substr(0, half);
  const auto second = bytes.substr(half);
  switch (data[0] % 5) {
    case 0: {
      const auto read = readRecord(bytes, {{FileKind::segment, StoreId{77}, SegmentNumber{1}}, 40});
      if (read.state == RecordReadResult::State::complete) require(read.bytes <= bytes.size());
      const auto next = findRecordCandidate(bytes, half);
      require(next == std::string::npos || (next >= half && next < bytes.size()));
      decompress(bytes, 1 << 16);
      return;
    }
    case 1:
      if (const auto read = decodeManifest(bytes); read.manifest)
        require(decodeManifest(encodeManifest(*read.manifest)).manifest == read.manifest);
      return openTwice({{manifestFileName, bytes}});
    case 2:
      return openTwice({{segmentFileName(SegmentNumber{1}), bytes}});
    case 3: {
      const FileHeader segment{FileKind::segment, StoreId{77}, SegmentNumber{1}};
      return openTwice({{segmentFileName(SegmentNumber{1}), encodeHeader(segment) + first},
                        {hintFileName(SegmentNumber{1}),
                         encodeHeader({FileKind::hint, StoreId{77}, SegmentNumber{1}}) + second}});
    }
    default: {
      const auto segment = encodeEntries(first, FileKind::segment, 0);
      return openTwice(
          {{segmentFileName(SegmentNumber{1}), segment},
           {hintFileName(SegmentNumber{1}), encodeEntries(second, FileKind::hint, segment.size())}});
    }
  }
}

}  // namespace rainhook::store

#ifdef RAINHOOK_LIBFUZZER
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  rainhook::store::fuzzStore(data, size);
  return 0;
}
#endif
