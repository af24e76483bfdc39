/// @file
/// Reading of rainhook's options file, and the one-line error for each kind of invalid content.
#include "options/options.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "options/failover_options.h"

namespace rainhook::options {
namespace {

using testing::IsEmpty;
using testing::SizeIs;
using testing::StartsWith;
using testing::Values;

// Returns the error line for a text, or "none" if the text is valid.
std::string errorOf(const std::string& text) {
  try {
    static_cast<void>(readOptions(text, "f.yaml"));
  } catch (const OptionsError& error) {
    return error.what();
  }
  return "none";
}

TEST(Options, SwitchAllFeaturesOffWhenTheFileIsEmptyOrAbsent) {
  EXPECT_EQ(readOptions("", "f"), Options{});
  EXPECT_EQ(readOptions("{}", "f"), Options{});
  EXPECT_EQ(readOptionsFile(""), Options{});
  EXPECT_THAT(describeEnabledFeatures({}), IsEmpty());
}

TEST(Options, StoreUsesDefaultsWhenLimitsAreAbsent) {
  const Options options = readOptions("store:\n  folder: here\n  disk_bytes: 64 MB\n  open_files: 7\n", "f");
  ASSERT_TRUE(options.store);
  EXPECT_EQ(options.store->folder, "here");
  EXPECT_EQ(options.store->bounds.maxDiskBytes, 64u << 20);
  EXPECT_EQ(options.store->bounds.maxOpenFiles, 7u);
  EXPECT_EQ(options.store->bounds.maxQueueBytes, store::StoreSettings{}.maxQueueBytes);
  EXPECT_THAT(describeEnabledFeatures(options), SizeIs(1));
}

TEST(Options, LogIsJsonOnlyWhenTheFormIsJson) {
  EXPECT_EQ(Options{}.logFormat(), LogFormat::text);
  EXPECT_EQ(readOptions("log:\n  form: text\n", "f").logFormat(), LogFormat::text);
  EXPECT_EQ(readOptions("log:\n  form: json\n", "f").logFormat(), LogFormat::json);
  EXPECT_EQ(errorOf("log:\n  form: xml\n"), "f.yaml:2: log.form: 'xml' is neither text nor json");
}

struct InvalidText {
  std::string text;
  std::string error;
};

class InvalidOptions : public testing::TestWithParam<InvalidText> {};

TEST_P(InvalidOptions, ThrowAnErrorWithFileLineKeyAndProblem) {
  EXPECT_EQ(errorOf(GetParam().text), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    OneInvalidValueEach, InvalidOptions,
    Values(InvalidText{"stroe:\n  folder: x\n", "f.yaml:1: stroe: unknown key"},
           InvalidText{"store:\n  folder: x\n  disk: 3\n", "f.yaml:3: store.disk: unknown key"},
           InvalidText{"store:\n  disk_bytes: 64 MB\n", "f.yaml:2: store.folder: is missing"},
           InvalidText{"store: 3\n", "f.yaml:1: store: expected a mapping"},
           InvalidText{"store:\n  folder: [a]\n", "f.yaml:2: store.folder: expected a scalar"},
           InvalidText{"store:\n  folder: x\n  open_files: -1\n",
                       "f.yaml:3: store.open_files: '-1' is not an integer from 2 to 4096"},
           InvalidText{"store:\n  folder: x\n  disk_bytes: 1 TB\n",
                       "f.yaml:3: store.disk_bytes: '1 TB' is not a size from 256 kB to 1024 GB"},
           InvalidText{"store:\n  folder: x\n  folder: y\n", "f.yaml:3: store.folder: is a duplicate key"},
           InvalidText{"store:\n  folder: x\n  disk_bytes: 1 MB\n",
                       "f.yaml:2: store.segment_bytes: 4194304 bytes are more than an eighth of disk_bytes "
                       "(1048576 bytes)"}));

TEST(OptionsError, HasFileLineKeyAndProblemWhenTheSyntaxIsInvalidOrTheFileDoesNotExist) {
  EXPECT_THAT(errorOf("a: [b\n"), StartsWith("f.yaml:"));
  try {
    static_cast<void>(readOptionsFile("/nowhere/at/all.yaml"));
    ADD_FAILURE() << "no error";
  } catch (const OptionsError& error) {
    EXPECT_EQ(error.file(), "/nowhere/at/all.yaml");
    EXPECT_EQ(error.line(), 0);
    EXPECT_EQ(error.key(), "");
    EXPECT_EQ(error.problem(), "cannot be opened");
    EXPECT_STREQ(error.what(), "/nowhere/at/all.yaml:0: the file: cannot be opened");
  }
}

// Reads membership options in a folder that contains a valid key file, one with a short key and one that all
// users may read.
class MembershipOptions : public testing::Test {
 protected:
  MembershipOptions() {
    std::string name = "/tmp/rainhook-options-XXXXXX";
    folder_ = ::mkdtemp(name.data());
    writeKey("key", "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\n", 0600);
    writeKey("short", "AAECAwQFBgc=\n", 0600);
    writeKey("open", "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\n", 0644);
  }
  ~MembershipOptions() override { std::filesystem::remove_all(folder_); }

  Options read(const std::string& more) const {
    return readOptions("membership:\n  name: a1\n  zone: z\n  region: r\n" + more, folder_ + "/f.yaml");
  }
  // Returns the error line without the folder, or "none" if the options are valid.
  std::string errorOf(const std::string& more) const {
    try {
      static_cast<void>(read(more));
    } catch (const OptionsError& error) {
      return withoutFolder(error.what());
    }
    return "none";
  }

  std::string folder_;
  inline static const std::string listenAndKeys_ = "  listen: 127.0.0.11:7101\n  keys: [key]\n";

 private:
  void writeKey(const std::string& name, const std::string& text, mode_t mode) const {
    std::ofstream(folder_ + "/" + name) << text;
    ::chmod((folder_ + "/" + name).c_str(), mode);
  }
  std::string withoutFolder(std::string text) const {
    const std::string prefix = folder_ + "/";
    for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix))
      text.erase(at, prefix.size());
    return text;
  }
};

TEST_F(MembershipOptions, HoldTheStatedValuesWhenTheyAreValid) {
  const Options options =
      read(listenAndKeys_ +
           "  seeds: [\"127.0.0.12:7101\"]\n  reach: {b1: \"127.0.1.2:9001\"}\n  probe-every: 250ms\n");
  ASSERT_TRUE(options.membership);
  EXPECT_EQ(options.membership->name.text, "a1");
  EXPECT_EQ(options.membership->advertise.text, "127.0.0.11:7101");
  EXPECT_THAT(options.membership->seeds, SizeIs(1));
  EXPECT_EQ(options.membership->addressOverrides.at({"b1"}).text, "127.0.1.2:9001");
  EXPECT_EQ(options.membership->probeInterval, std::chrono::milliseconds(250));
  EXPECT_EQ(options.membership->keys[0][31], 31);
  EXPECT_THAT(describeEnabledFeatures(options), SizeIs(1));
  EXPECT_EQ(options.membership->stateFolder, "");
}

TEST_F(MembershipOptions, StateFolderIsRelativeToTheFileWhenItsPathIsRelative) {
  EXPECT_EQ(read(listenAndKeys_ + "  state: kept\n").membership->stateFolder, folder_ + "/kept");
  EXPECT_EQ(read(listenAndKeys_ + "  state: /var/kept\n").membership->stateFolder, "/var/kept");
}

class InvalidMembershipOptions : public MembershipOptions, public testing::WithParamInterface<InvalidText> {};

TEST_P(InvalidMembershipOptions, ThrowAnErrorWithFileLineKeyAndProblem) {
  EXPECT_EQ(errorOf(GetParam().text), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    AddressesAndKeys, InvalidMembershipOptions,
    Values(
        InvalidText{"  listen: here:7101\n  keys: [key]\n",
                    "f.yaml:5: membership.listen: 'here:7101' is not an address of the form 127.0.0.1:7101"},
        InvalidText{
            "  listen: 127.0.0.1:70000\n  keys: [key]\n",
            "f.yaml:5: membership.listen: '127.0.0.1:70000' is not an address of the form 127.0.0.1:7101"},
        InvalidText{"  listen: 0.0.0.0:7101\n  keys: [key]\n",
                    "f.yaml:2: membership.advertise: other members cannot connect to 0.0.0.0:7101"},
        InvalidText{"  listen: 127.0.0.11:7101\n  keys: [short]\n",
                    "f.yaml:6: membership.keys: key file short does not contain 32 bytes in base64"},
        InvalidText{"  listen: 127.0.0.11:7101\n  keys: [open]\n",
                    "f.yaml:6: membership.keys: key file open is readable by all users"},
        InvalidText{"  listen: 127.0.0.11:7101\n  keys: [none]\n",
                    "f.yaml:6: membership.keys: key file none cannot be read"},
        InvalidText{"  listen: 127.0.0.11:7101\n",
                    "f.yaml:2: membership.keys: expected one or two key files, found 0"}));

// The address and the key are valid, so that the error is in line 7.
class InvalidOptionalMembershipOptions : public InvalidMembershipOptions {};

TEST_P(InvalidOptionalMembershipOptions, ThrowAnErrorWithFileLineKeyAndProblem) {
  EXPECT_EQ(errorOf(listenAndKeys_ + GetParam().text), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    SeedsReachAndInterval, InvalidOptionalMembershipOptions,
    Values(InvalidText{"  seeds: [\"127.0.0.11:7101\"]\n",
                       "f.yaml:7: membership.seeds: '127.0.0.11:7101' is this instance's own address"},
           InvalidText{"  seeds: [\"127.0.0.12:7101\", \"127.0.0.12:7101\"]\n",
                       "f.yaml:7: membership.seeds: lists '127.0.0.12:7101' twice"},
           InvalidText{"  reach: {b: \"127.0.0.1:1\", b: \"127.0.0.1:2\"}\n",
                       "f.yaml:7: membership.reach: lists 'b' twice"},
           InvalidText{"  reach: {a1: \"127.0.0.1:1\"}\n",
                       "f.yaml:7: membership.reach: 'a1' is this instance's own name"},
           InvalidText{
               "  probe-every: 10ms\n",
               "f.yaml:7: membership.probe-every: '10ms' is not a duration from 50 ms to 60000 ms, such as "
               "250ms or 1s"},
           InvalidText{
               "  probe-every: 1\n",
               "f.yaml:7: membership.probe-every: '1' is not a duration from 50 ms to 60000 ms, such as "
               "250ms or 1s"},
           InvalidText{"  colour: red\n", "f.yaml:7: membership.colour: unknown key"}));

TEST(PlanningScenario, ThrowsAnErrorWithFileLineAndKeyWhenAValueIsInvalid) {
  const std::string file = ::testing::TempDir() + "rainhook-zones-" + std::to_string(::getpid()) + ".yaml";
  const auto errorOfScenario = [&](const std::string& text) -> std::string {
    std::ofstream(file) << text;
    try {
      static_cast<void>(readPlanningScenario(file));
    } catch (const OptionsError& error) {
      return std::string(error.what()).substr(file.size());
    }
    return "none";
  };
  EXPECT_EQ(errorOfScenario("zones: {a: r, b: r}\ncosts: {a b: 3}\nfigures: {a: {read: 5}}\n"), "none");
  EXPECT_EQ(errorOfScenario("zones: {a: r, a: s}\n"), ":1: zones: lists 'a' twice");
  EXPECT_EQ(errorOfScenario("zones: {a: ''}\n"), ":1: zones: zone 'a' with region '': neither may be empty");
  EXPECT_EQ(errorOfScenario("zones: {a: r, b: r}\ncosts: {a b: -1}\n"),
            ":2: costs: '-1' is not a number from 0 to 1000");
  EXPECT_EQ(errorOfScenario("zones: {a: r, b: r}\ncosts: {a c: 1}\n"),
            ":2: costs: 'a c' is not a pair of configured zones, such as \"a b\"");
  EXPECT_EQ(errorOfScenario("zones: {a: r, b: r}\ncosts: {a b: 1, b a: 2}\n"),
            ":2: costs: 'b a' is already listed in the opposite order");
  EXPECT_EQ(errorOfScenario("zones: {a: r}\ndrained: [c]\n"), ":2: drained: 'c' is not a configured zone");
  EXPECT_EQ(errorOfScenario("zones: {a: r}\nfigures: {c: {read: 5}}\n"), ":2: figures.c: unknown key");
  EXPECT_EQ(errorOfScenario("zones: {a: r}\nfigures: {a: {read: many}}\n"),
            ":2: figures.a.read: 'many' is not a number from 0 to 1000000000");
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace rainhook::options
