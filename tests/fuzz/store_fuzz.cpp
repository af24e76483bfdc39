#include "store_fuzz.h"

#include <cstdlib>

#include "../store_world.h"

namespace rainhook::store {
namespace {

void must(bool held) {
  if (!held) std::abort();
}

void startOn(std::map<std::string, std::string> image) {
  SimulatedDisk platter = SimulatedDisk::of(image);
  for (int start = 0; start < 2; ++start) {
    CrashSimulatingDisk disk(platter);
    LogStructuredStore book(disk, smallBounds(), {});
    const UnixTime now{std::chrono::milliseconds(1'000'000)};
    must(book.open(77).isOk());
    const auto page = book.scanByKey("", false, 50, now);
    for (const auto& row : page.rows) book.get(row.key, now);
    const std::vector<WriteRequest> writes{{false, "sound", "value", neverExpires}};
    if (book.commit(writes, now).front().isOk()) must(book.get("sound", now).value == "value");
    for (int i = 0; i < 200 && book.runMaintenance(now); ++i) {
    }
    if (start == 1) book.close();
  }
}

// Bytes as a list of entries with sound checksums and any content.
std::string entries(std::string_view bytes, FileKind kind, std::uint64_t maxSegmentBytes) {
  const FileHeader head{kind, StoreId{77}, SegmentNumber{1}};
  auto out = encodeHeader(head);
  std::uint64_t rows = 0;
  for (; bytes.size() >= 8; bytes.remove_prefix(8), ++rows) {
    const auto at = [&](std::size_t i) {
      return static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]));
    };
    const auto key = std::string(at(1) % 40, static_cast<char>('a' + at(2) % 3));
    const auto place = encodeHintLocation({at(3) * at(4), at(5) * at(4)});
    const auto value = kind == FileKind::hint || at(6) % 2 == 0 ? place : std::string(at(6), 'x');
    appendRecord(out,
                 {static_cast<RecordKind>(at(0) % 8), at(6) % 5 == 1, SequenceNumber{at(7)},
                  at(4) % 3 == 0 ? UnixTime{} : neverExpires, key, value},
                 {head, out.size()});
  }
  if (kind == FileKind::hint)
    appendRecord(
        out, {RecordKind::hintEnd, false, {}, neverExpires, {}, encodeHintLocation({maxSegmentBytes, rows})},
        {head, out.size()});
  return out;
}

}  // namespace

void fuzzStore(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return;
  const std::string bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
  const auto half = bytes.size() * data[1] / 255;
  const auto first = bytes.substr(0, half), second = bytes.substr(half);
  switch (data[0] % 5) {
    case 0: {
      const auto read = readRecord(bytes, {{FileKind::segment, StoreId{77}, SegmentNumber{1}}, 40});
      if (read.state == RecordReadResult::State::complete) must(read.bytes <= bytes.size());
      const auto next = findRecordCandidate(bytes, half);
      must(next == std::string::npos || (next >= half && next < bytes.size()));
      decompress(bytes, 1 << 16);
      return;
    }
    case 1:
      if (const auto read = decodeManifest(bytes); read.manifest)
        must(decodeManifest(encodeManifest(*read.manifest)).manifest == read.manifest);
      return startOn({{manifestFileName, bytes}});
    case 2:
      return startOn({{segmentFileName(SegmentNumber{1}), bytes}});
    case 3: {
      const FileHeader segment{FileKind::segment, StoreId{77}, SegmentNumber{1}};
      return startOn({{segmentFileName(SegmentNumber{1}), encodeHeader(segment) + first},
                      {hintFileName(SegmentNumber{1}),
                       encodeHeader({FileKind::hint, StoreId{77}, SegmentNumber{1}}) + second}});
    }
    default: {
      const auto segment = entries(first, FileKind::segment, 0);
      return startOn({{segmentFileName(SegmentNumber{1}), segment},
                      {hintFileName(SegmentNumber{1}), entries(second, FileKind::hint, segment.size())}});
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
