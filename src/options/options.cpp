#include "options/options.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace rainhook::options {
namespace {

constexpr std::uint64_t kB = 1 << 10, MB = 1 << 20, GB = 1 << 30;

StorePlace storePlace(Section given) {
  StorePlace out;
  store::StoreBounds& b = out.bounds;
  out.folder = given.text("folder");
  b.diskBytes = given.bytes("disk_bytes", b.diskBytes, 256 * kB, 1024 * GB);
  b.segmentBytes = given.bytes("segment_bytes", b.segmentBytes, 16 * kB, GB);
  b.indexBytes = given.bytes("index_bytes", b.indexBytes, 64 * kB, 64 * GB);
  b.queueBytes = given.bytes("queue_bytes", b.queueBytes, 4 * kB, GB);
  b.longestKey = given.bytes("longest_key", b.longestKey, 1, 64 * kB - 1);
  b.longestValue = given.bytes("longest_value", b.longestValue, 1, 256 * MB);
  b.openFiles = given.count("open_files", b.openFiles, 2, 4096);
  b.stepBytes = given.bytes("step_bytes", b.stepBytes, 4 * kB, 16 * MB);
  b.compressFrom = given.bytes("compress_from", b.compressFrom, 64, 256 * MB);
  b.commitMost = given.count("commit_most", b.commitMost, 1, 65536);
  given.end();
  if (b.segmentBytes > b.diskBytes / 8) given.fault("segment_bytes", "is over an eighth of disk_bytes");
  if (b.longestKey + b.longestValue > b.segmentBytes / 4)
    given.fault("longest_value", "is, with longest_key, over a quarter of segment_bytes");
  if (b.longestKey + b.longestValue > b.queueBytes / 2)
    given.fault("longest_value", "is, with longest_key, over half of queue_bytes");
  return out;
}

}  // namespace

Options readOptions(const std::string& text, const std::string& file) {
  YAML::Node node;
  try {
    node = YAML::Load(text);
  } catch (const YAML::ParserException& error) {
    throw OptionsError(fmt::format("{}:{}: the file: {}", file, error.mark.line + 1, error.msg));
  }
  Section given(node, file, "");
  Options out;
  if (given.has("store")) out.store = storePlace(given.section("store"));
  given.end();
  return out;
}

Options readOptionsFile(const std::string& file) {
  if (file.empty()) return {};
  std::ifstream in(file);
  if (!in) throw OptionsError(fmt::format("{}:0: the file: can't be read", file));
  return readOptions({std::istreambuf_iterator<char>(in), {}}, file);
}

std::vector<std::string> switchedOn(const Options& options) {
  std::vector<std::string> out;
  if (options.store)
    out.push_back(
        fmt::format("store: in {}, at most {} kB on disk and {} kB of index (for rainhook store; serve does "
                    "not open it yet)",
                    options.store->folder, options.store->bounds.diskBytes >> 10,
                    options.store->bounds.indexBytes >> 10));
  return out;
}

}  // namespace rainhook::options
