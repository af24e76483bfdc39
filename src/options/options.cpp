#include "options/options.h"

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "membership/message_codec.h"
#include "membership_transport/membership_transport.h"

namespace rainhook::options {
namespace {

constexpr std::uint64_t kib = 1 << 10, mib = 1 << 20, gib = 1 << 30;

StorePlace storePlace(Section given) {
  StorePlace out;
  store::StoreSettings& b = out.bounds;
  out.folder = given.text("folder");
  b.maxDiskBytes = given.bytes("disk_bytes", b.maxDiskBytes, 256 * kib, 1024 * gib);
  b.maxSegmentBytes = given.bytes("segment_bytes", b.maxSegmentBytes, 16 * kib, gib);
  b.maxIndexBytes = given.bytes("index_bytes", b.maxIndexBytes, 64 * kib, 64 * gib);
  b.maxQueueBytes = given.bytes("queue_bytes", b.maxQueueBytes, 4 * kib, gib);
  b.maxKeyBytes = given.bytes("longest_key", b.maxKeyBytes, 1, 64 * kib - 1);
  b.maxValueBytes = given.bytes("longest_value", b.maxValueBytes, 1, 256 * mib);
  b.maxOpenFiles = given.count("open_files", b.maxOpenFiles, 2, 4096);
  b.maintenanceStepBytes = given.bytes("step_bytes", b.maintenanceStepBytes, 4 * kib, 16 * mib);
  b.minCompressedValueBytes = given.bytes("compress_from", b.minCompressedValueBytes, 64, 256 * mib);
  b.maxCommitWrites = given.count("commit_most", b.maxCommitWrites, 1, 65536);
  given.end();
  if (b.maxSegmentBytes > b.maxDiskBytes / 8) given.fault("segment_bytes", "is over an eighth of disk_bytes");
  if (b.maxKeyBytes + b.maxValueBytes > b.maxSegmentBytes / 4)
    given.fault("longest_value", "is, with longest_key, over a quarter of segment_bytes");
  if (b.maxKeyBytes + b.maxValueBytes > b.maxQueueBytes / 2)
    given.fault("longest_value", "is, with longest_key, over half of queue_bytes");
  return out;
}

// A key: 32 bytes in base64 in a file of its own, which only its owner and group may read.
std::array<unsigned char, 32> keyIn(const Section& given, const std::string& file) {
  struct stat is {};
  if (::stat(file.c_str(), &is) != 0) given.fault("keys", fmt::format("{} can't be read", file));
  if ((is.st_mode & S_IROTH) != 0) given.fault("keys", fmt::format("{} can be read by all", file));
  std::ifstream in(file);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  std::array<unsigned char, 32> out{};
  std::size_t got = 0;
  if (text.size() > 64 ||
      sodium_base642bin(out.data(), out.size(), text.data(), text.size(), nullptr, &got, nullptr,
                        sodium_base64_VARIANT_ORIGINAL) != 0 ||
      got != out.size())
    given.fault("keys", fmt::format("{} holds no 32 bytes in base64", file));
  return out;
}

membership::MembersPlace membersPlace(Section given, const std::string& file) {
  using namespace std::chrono_literals;
  membership::MembersPlace out;
  const auto word = [&](const std::string& key) {
    auto text = given.text(key);
    const auto plain = [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
    };
    if (text.size() > membership::longestWord || !std::all_of(text.begin(), text.end(), plain))
      given.fault(key, fmt::format("'{}' is no name of letters, digits and . _ - ({} at most)", text,
                                   membership::longestWord));
    return text;
  };
  const auto address = [&](const std::string& key, const std::string& text) {
    if (!membershipTransport::literal(text))
      given.fault(key, fmt::format("'{}' is no address of the form 127.0.0.1:7101", text));
    return membership::Address{text};
  };
  out.name = {word("name")}, out.zone = {word("zone")}, out.region = {word("region")};
  out.regionAt = given.at("region");
  out.listen = address("listen", given.text("listen"));
  out.advertise = address("advertise", given.text("advertise", out.listen.text));
  if (out.advertise.text.starts_with("0.0.0.0:"))
    given.fault("advertise", "is missing: others can't reach 0.0.0.0");
  for (const auto& text : given.texts("seeds")) {
    out.seeds.push_back(address("seeds", text));
    if (out.seeds.back() == out.listen || out.seeds.back() == out.advertise)
      given.fault("seeds", fmt::format("'{}' is this instance itself", text));
  }
  const auto keys = given.texts("keys");
  if (keys.empty() || keys.size() > 2) given.fault("keys", "names one or two files, each with a key");
  for (const auto& key : keys)
    out.keys.push_back(keyIn(given, (std::filesystem::path(file).parent_path() / key).string()));
  if (out.keys.size() == 2 && out.keys[0] == out.keys[1]) given.fault("keys", "names one key twice");
  for (const auto& [name, text] : given.named("reach", 4096)) {
    if (name == out.name.text) given.fault("reach", fmt::format("names '{}', this instance itself", name));
    out.reach.emplace(membership::MemberName{name}, address("reach", text));
  }
  out.probeEvery = given.span("probe-every", out.probeEvery, 50ms, 60s);
  out.state = given.text("state", "");
  // Beside the settings file, as the keys are.
  if (!out.state.empty()) out.state = (std::filesystem::path(file).parent_path() / out.state).string();
  given.end();
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
  if (given.has("log")) {
    Section log = given.section("log");
    const auto form = log.text("form", "text");
    if (form != "text" && form != "json")
      log.fault("form", fmt::format("'{}' is neither text nor json", form));
    out.log = LogPlace{form == "json"};
    log.end();
  }
  if (given.has("membership")) out.membership = membersPlace(given.section("membership"), file);
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
                    options.store->folder, options.store->bounds.maxDiskBytes >> 10,
                    options.store->bounds.maxIndexBytes >> 10));
  if (options.log && options.log->json) out.push_back("log: as JSON lines");
  if (options.membership)
    out.push_back(fmt::format(
        "membership: as {} at {}, zone {} of {}, {} seeds, {}", options.membership->name.text,
        options.membership->listen.text, options.membership->zone.text, options.membership->region.text,
        options.membership->seeds.size(),
        options.membership->state.empty() ? "no state kept" : "state in " + options.membership->state));
  return out;
}

}  // namespace rainhook::options
