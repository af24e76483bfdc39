/// @file
/// The current code reads the data that an earlier release wrote: the fixtures under tests/data (see the
/// README there).
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "logging/log.h"
#include "net/reactor.h"
#include "server/incarnation_store.h"
#include "store/posix_disk.h"
#include "store/store.h"
#include "store/verifier.h"

namespace rainhook {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

/// A copy of a fixture in a temporary folder. The destructor removes the folder.
class FixtureCopy {
 public:
  explicit FixtureCopy(const std::string& fixture)
      : folder_(std::filesystem::temp_directory_path() /
                ("rainhook-compatibility-" + std::to_string(std::random_device{}()))) {
    std::filesystem::copy(std::filesystem::path(RAINHOOK_TEST_DATA) / fixture, folder_,
                          std::filesystem::copy_options::recursive);
  }
  ~FixtureCopy() { std::filesystem::remove_all(folder_); }
  FixtureCopy(const FixtureCopy&) = delete;
  FixtureCopy& operator=(const FixtureCopy&) = delete;

  std::string folder() const { return folder_.string(); }

 private:
  std::filesystem::path folder_;
};

/// The expected value and expiry of a key. A key without an expiry never expires.
struct ExpectedValue {
  std::string value;
  std::optional<std::int64_t> expiryUnixMs;

  bool operator==(const ExpectedValue&) const = default;
};
using ExpectedEntries = std::map<std::string, ExpectedValue>;

void PrintTo(const ExpectedValue& expected, std::ostream* out) {
  *out << expected.value.size() << " bytes, expiry " << expected.expiryUnixMs.value_or(-1);
}

constexpr std::int64_t longLivedExpiryUnixMs = 4958460000900;

/// The value of `binary`: each of the 256 byte values once.
std::string everyByteValue() {
  std::string out;
  for (int byte = 0; byte < 256; ++byte) out.push_back(static_cast<char>(byte));
  return out;
}

/// The value of `incompressible`: 900 bytes from a linear congruential generator.
std::string incompressibleValue() {
  std::string out;
  std::uint64_t state = 1;
  for (int i = 0; i < 900; ++i) {
    state = (state * 1103515245 + 12345) & 0x7fffffff;
    out.push_back(static_cast<char>(state >> 16 & 255));
  }
  return out;
}

/// The value of `compressed`, which the fixture stores compressed with zstd.
std::string compressedValue() {
  std::string out;
  for (int i = 0; i < 100; ++i) out += "compressed value, ";
  return out;
}

/// The entries of the closed store and of its snapshot. `plain-03` and `plain-07` were erased, and
/// `short-lived` has expired.
ExpectedEntries closedStoreEntries() {
  ExpectedEntries out{
      {"binary", {everyByteValue(), {}}},
      {"compressed", {compressedValue(), {}}},
      {"empty-value", {"", {}}},
      {"incompressible", {incompressibleValue(), {}}},
      {"long-lived", {"expires in a hundred years", longLivedExpiryUnixMs}},
      {"rewritten", {"the latest value", {}}},
  };
  for (const int i : {1, 2, 4, 5, 6, 8, 9, 10, 11, 12}) {
    const std::string number = std::to_string(i);
    out["plain-" + std::string(i < 10 ? "0" : "") + number] = {"value " + number + " of the first segment",
                                                               {}};
  }
  return out;
}

/// The entries of the closed store and three writes that were acknowledged before the writing process was
/// killed.
ExpectedEntries killedStoreEntries() {
  auto out = closedStoreEntries();
  for (const char* key : {"unclosed-1", "unclosed-2", "unclosed-3"})
    out[key] = {"acknowledged before the kill", {}};
  return out;
}

constexpr store::StoreSettings fixtureSettings{.maxDiskBytes = 256 << 10,
                                               .maxQueueBytes = 64 << 10,
                                               .maxSegmentBytes = 16 << 10,
                                               .maxValueBytes = 2 << 10};

store::UnixTime systemTime() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::unique_ptr<store::Store> openStore(const std::string& folder) {
  auto out = std::make_unique<store::Store>(std::make_unique<store::PosixDisk>(folder), fixtureSettings,
                                            systemTime, [](const std::string&) {});
  const auto outcome = out->open(1);
  EXPECT_TRUE(outcome.isOk()) << outcome.message;
  return out;
}

/// All entries that the store returns, from a scan of its keys and a read of each key.
ExpectedEntries readAllEntries(const store::Store& opened) {
  constexpr std::size_t allRows = 1000;
  ExpectedEntries out;
  const auto page = opened.scanByKey("", store::ScanStart::atKey, allRows);
  EXPECT_FALSE(page.hasMore);
  for (const auto& row : page.rows) {
    const auto read = opened.get(row.key);
    EXPECT_TRUE(read.status.isOk()) << row.key << ": " << read.status.message;
    EXPECT_EQ(read.expiry, row.expiry);
    ExpectedValue& entry = out[row.key];
    entry.value = read.value.value_or("(absent)");
    if (read.expiry != store::neverExpires) entry.expiryUnixMs = read.expiry.time_since_epoch().count();
  }
  return out;
}

struct StoreFixture {
  const char* name;
  ExpectedEntries (*entries)();
};
void PrintTo(const StoreFixture& fixture, std::ostream* out) { *out << fixture.name; }

class StoreCompatibility : public testing::TestWithParam<StoreFixture> {
 protected:
  FixtureCopy copy_{std::string("store-5aa88a4/") + GetParam().name};
};

TEST_P(StoreCompatibility, VerifyFindsNoDamageWhenAnEarlierReleaseWroteTheStore) {
  store::PosixDisk disk(copy_.folder());
  store::VerificationReport verified;
  ASSERT_FALSE(store::verify(disk, verified));
  EXPECT_THAT(verified.damage, IsEmpty());
  EXPECT_GE(verified.segments, 8u);
}

TEST_P(StoreCompatibility, ReadsEveryKeyValueAndExpiryWhenAnEarlierReleaseWroteTheStore) {
  const auto opened = openStore(copy_.folder());
  EXPECT_EQ(readAllEntries(*opened), GetParam().entries());
  const auto statistics = opened->statistics().log;
  EXPECT_EQ(
      statistics.lostFiles + statistics.lostRecords + statistics.tornBytes + statistics.quarantinedFiles, 0u);
}

TEST_P(StoreCompatibility, FindsNoValueWhenAKeyWasErasedOrHasExpired) {
  const auto opened = openStore(copy_.folder());
  for (const char* key : {"plain-03", "plain-07", "short-lived"}) {
    const auto read = opened->get(key);
    EXPECT_FALSE(read.value) << key;
    EXPECT_TRUE(read.status.isOk()) << key << ": " << read.status.message;
  }
}

TEST_P(StoreCompatibility, KeepsEveryEntryWhenItIsWrittenToCompactedAndReopened) {
  auto expected = GetParam().entries();
  expected["new"] = {"written by this release", {}};
  {
    const auto opened = openStore(copy_.folder());
    const auto expectDone = [](const store::StoreStatus& outcome) {
      EXPECT_TRUE(outcome.isOk()) << outcome.message;
    };
    ASSERT_TRUE(opened->put("new", "written by this release", store::neverExpires, expectDone).isOk());
    opened->waitUntilIdle();
    ASSERT_TRUE(opened->compact(expectDone).isOk());
    opened->waitUntilIdle();
    EXPECT_EQ(readAllEntries(*opened), expected);
  }
  EXPECT_EQ(readAllEntries(*openStore(copy_.folder())), expected);
}

INSTANTIATE_TEST_SUITE_P(Commit5aa88a4, StoreCompatibility,
                         testing::Values(StoreFixture{"closed", closedStoreEntries},
                                         StoreFixture{"snapshot", closedStoreEntries},
                                         StoreFixture{"killed", killedStoreEntries}),
                         [](const auto& info) { return info.param.name; });

/// Uses the state folder of the witness `a`, which had reserved incarnations up to 2048 and knew the members
/// `b` and `c`.
class MembershipStateCompatibility : public testing::Test {
 protected:
  membership::PersistedIdentity loadState() {
    membership::MembershipSettings settings;
    settings.name = {"a"};
    settings.advertise = {"127.0.0.111:7141"};
    settings.stateFolder = copy_.folder();
    net::Reactor reactor;
    logging::Log log;
    server::IncarnationStore incarnations(reactor, log, settings);
    return incarnations.open();
  }

  FixtureCopy copy_{"membership-state-5aa88a4"};
};

TEST_F(MembershipStateCompatibility, StartsAboveTheReservedIncarnationsWhenAnEarlierReleaseWroteTheState) {
  const auto state = loadState();
  EXPECT_EQ(state.firstIncarnation, membership::Incarnation{2049});
  EXPECT_EQ(state.reservedIncarnation, membership::Incarnation{3072});
}

TEST_F(MembershipStateCompatibility, ReadsTheKnownMembersWhenAnEarlierReleaseWroteTheState) {
  std::vector<std::pair<std::string, std::string>> known;
  for (const auto& [name, address] : loadState().knownMembers) known.emplace_back(name.text, address.text);
  EXPECT_THAT(known, ElementsAre(std::pair<std::string, std::string>("b", "127.0.0.112:7141"),
                                 std::pair<std::string, std::string>("c", "127.0.0.113:7141")));
}

TEST_F(MembershipStateCompatibility, StartsAboveItsOwnReservationWhenItIsRestarted) {
  loadState();
  const auto state = loadState();
  EXPECT_EQ(state.firstIncarnation, membership::Incarnation{3073});
  EXPECT_EQ(state.reservedIncarnation, membership::Incarnation{4096});
  EXPECT_EQ(state.knownMembers.size(), 2u);
}

}  // namespace
}  // namespace rainhook
