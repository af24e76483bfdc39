#include "store_fuzz.h"

#include <cstdlib>

#include "../store_world.h"

namespace rainhook::store {
namespace {

void must(bool held) {
  if (!held) std::abort();
}

void startOn(std::map<std::string, std::string> image) {
  Platter platter = Platter::of(image);
  for (int start = 0; start < 2; ++start) {
    ForgettingDisk disk(platter);
    Book book(disk, smallBounds(), {});
    const UnixTime now{std::chrono::milliseconds(1'000'000)};
    must(book.open(77).ok());
    const auto page = book.byKey("", false, 50, now);
    for (const auto& row : page.rows) book.get(row.key, now);
    const std::vector<Write> writes{{false, "sound", "value", forever}};
    if (book.commit(writes, now).front().ok()) must(book.get("sound", now).value == "value");
    for (int i = 0; i < 200 && book.tidy(now); ++i) {
    }
    if (start == 1) book.close();
  }
}

// Bytes as a list of entries with sound checksums and any content.
std::string entries(std::string_view bytes, FileKind kind, std::uint64_t segmentBytes) {
  const FileHead head{kind, StoreId{77}, SegmentNumber{1}};
  auto out = encodeHead(head);
  std::uint64_t rows = 0;
  for (; bytes.size() >= 8; bytes.remove_prefix(8), ++rows) {
    const auto at = [&](std::size_t i) {
      return static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]));
    };
    const auto key = std::string(at(1) % 40, static_cast<char>('a' + at(2) % 3));
    const auto place = encodePlace({at(3) * at(4), at(5) * at(4)});
    const auto value = kind == FileKind::hint || at(6) % 2 == 0 ? place : std::string(at(6), 'x');
    append(out,
           {static_cast<Kind>(at(0) % 8), at(6) % 5 == 1, Sequence{at(7)},
            at(4) % 3 == 0 ? UnixTime{} : forever, key, value},
           {head, out.size()});
  }
  if (kind == FileKind::hint)
    append(out, {Kind::hintEnd, false, {}, forever, {}, encodePlace({segmentBytes, rows})},
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
      if (read.found == RecordRead::Found::whole) must(read.bytes <= bytes.size());
      const auto next = nextCandidate(bytes, half);
      must(next == std::string::npos || (next >= half && next < bytes.size()));
      unpack(bytes, 1 << 16);
      return;
    }
    case 1:
      if (const auto read = decodeManifest(bytes); read.manifest)
        must(decodeManifest(encodeManifest(*read.manifest)).manifest == read.manifest);
      return startOn({{manifestName, bytes}});
    case 2:
      return startOn({{segmentName(SegmentNumber{1}), bytes}});
    case 3: {
      const FileHead segment{FileKind::segment, StoreId{77}, SegmentNumber{1}};
      return startOn({{segmentName(SegmentNumber{1}), encodeHead(segment) + first},
                      {hintName(SegmentNumber{1}),
                       encodeHead({FileKind::hint, StoreId{77}, SegmentNumber{1}}) + second}});
    }
    default: {
      const auto segment = entries(first, FileKind::segment, 0);
      return startOn({{segmentName(SegmentNumber{1}), segment},
                      {hintName(SegmentNumber{1}), entries(second, FileKind::hint, segment.size())}});
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
