// Our own settings file: what it may hold, and the one line for each fault.
#include "options/options.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "options/failover_options.h"

namespace rainhook::options {
namespace {

std::string faultOf(const std::string& text) {
  try {
    readOptions(text, "f.yaml");
  } catch (const OptionsError& error) {
    return error.what();
  }
  return "none";
}

TEST(Options, NothingIsOnWhereNothingIsSaid) {
  EXPECT_EQ(readOptions("", "f"), Options{});
  EXPECT_EQ(readOptions("{}", "f"), Options{});
  EXPECT_EQ(readOptionsFile(""), Options{});
  EXPECT_TRUE(switchedOn({}).empty());
}

TEST(Options, TheStoreTakesItsBounds) {
  const auto read = readOptions("store:\n  folder: here\n  disk_bytes: 64 MB\n  open_files: 7\n", "f");
  ASSERT_TRUE(read.store);
  EXPECT_EQ(read.store->folder, "here");
  EXPECT_EQ(read.store->bounds.maxDiskBytes, 64u << 20);
  EXPECT_EQ(read.store->bounds.maxOpenFiles, 7u);
  EXPECT_EQ(read.store->bounds.maxQueueBytes, store::StoreSettings{}.maxQueueBytes);
  EXPECT_EQ(switchedOn(read).size(), 1u);
}

TEST(Options, EachFaultNamesFileLineKeyAndWhatIsWrong) {
  EXPECT_EQ(faultOf("stroe:\n  folder: x\n"), "f.yaml:1: stroe: is no known key");
  EXPECT_EQ(faultOf("store:\n  folder: x\n  disk: 3\n"), "f.yaml:3: store.disk: is no known key");
  EXPECT_EQ(faultOf("store:\n  disk_bytes: 64 MB\n"), "f.yaml:2: store.folder: is missing");
  EXPECT_EQ(faultOf("store: 3\n"), "f.yaml:1: store: holds no keys");
  EXPECT_EQ(faultOf("store:\n  folder: [a]\n"), "f.yaml:2: store.folder: is no plain value");
  EXPECT_EQ(faultOf("store:\n  folder: x\n  open_files: -1\n"),
            "f.yaml:3: store.open_files: '-1' is no whole number from 2 to 4096");
  EXPECT_EQ(faultOf("store:\n  folder: x\n  disk_bytes: 1 TB\n"),
            "f.yaml:3: store.disk_bytes: '1 TB' is no size from 256 kB to 1024 GB");
  EXPECT_EQ(faultOf("store:\n  folder: x\n  folder: y\n"), "f.yaml:3: store.folder: is given twice");
  EXPECT_EQ(faultOf("store:\n  folder: x\n  disk_bytes: 1 MB\n"),
            "f.yaml:2: store.segment_bytes: is over an eighth of disk_bytes");
  EXPECT_EQ(faultOf("a: [b\n").substr(0, 7), "f.yaml:");
  EXPECT_THROW(readOptionsFile("/nowhere/at/all.yaml"), OptionsError);
}

// Settings of membership beside a key of their own.
class MembershipOptions : public testing::Test {
 protected:
  MembershipOptions() {
    char name[] = "/tmp/rainhook-options-XXXXXX";
    folder_ = ::mkdtemp(name);
    key("key", "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\n", 0600);
    key("short", "AAECAwQFBgc=\n", 0600);
    key("open", "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\n", 0644);
  }
  ~MembershipOptions() override { std::filesystem::remove_all(folder_); }
  void key(const std::string& name, const std::string& text, mode_t mode) const {
    std::ofstream(folder_ + "/" + name) << text;
    ::chmod((folder_ + "/" + name).c_str(), mode);
  }
  Options read(const std::string& more) const {
    return readOptions("membership:\n  name: a1\n  zone: z\n  region: r\n" + more, folder_ + "/f.yaml");
  }
  // The fault without the folder.
  std::string fault(const std::string& more) const {
    try {
      read(more);
    } catch (const OptionsError& error) {
      std::string out = error.what();
      for (auto at = out.find(folder_ + "/"); at != std::string::npos; at = out.find(folder_ + "/"))
        out.erase(at, folder_.size() + 1);
      return out;
    }
    return "none";
  }
  std::string folder_;
  const std::string fine_ = "  listen: 127.0.0.11:7101\n  keys: [key]\n";
};

TEST_F(MembershipOptions, AreTakenAsStated) {
  const auto got = read(
      fine_ + "  seeds: [\"127.0.0.12:7101\"]\n  reach: {b1: \"127.0.1.2:9001\"}\n  probe-every: 250ms\n");
  ASSERT_TRUE(got.membership);
  EXPECT_EQ(got.membership->name.text, "a1");
  EXPECT_EQ(got.membership->advertise.text, "127.0.0.11:7101");
  EXPECT_EQ(got.membership->seeds.size(), 1u);
  EXPECT_EQ(got.membership->reach.at({"b1"}).text, "127.0.1.2:9001");
  EXPECT_EQ(got.membership->probeEvery, std::chrono::milliseconds(250));
  EXPECT_EQ(got.membership->keys[0][31], 31);
  EXPECT_EQ(switchedOn(got).size(), 1u);
  EXPECT_EQ(got.membership->state, "");
  EXPECT_EQ(read(fine_ + "  state: kept\n").membership->state, folder_ + "/kept");  // beside the file
  EXPECT_EQ(read(fine_ + "  state: /var/kept\n").membership->state, "/var/kept");
}

TEST_F(MembershipOptions, EachFaultNamesFileLineAndKey) {
  EXPECT_EQ(fault("  listen: here:7101\n  keys: [key]\n"),
            "f.yaml:5: membership.listen: 'here:7101' is no address of the form 127.0.0.1:7101");
  EXPECT_EQ(fault("  listen: 127.0.0.1:70000\n  keys: [key]\n"),
            "f.yaml:5: membership.listen: '127.0.0.1:70000' is no address of the form 127.0.0.1:7101");
  EXPECT_EQ(fault("  listen: 127.0.0.11:7101\n  keys: [short]\n"),
            "f.yaml:6: membership.keys: short holds no 32 bytes in base64");
  EXPECT_EQ(fault("  listen: 127.0.0.11:7101\n  keys: [open]\n"),
            "f.yaml:6: membership.keys: open can be read by all");
  EXPECT_EQ(fault("  listen: 127.0.0.11:7101\n  keys: [none]\n"),
            "f.yaml:6: membership.keys: none can't be read");
  EXPECT_EQ(fault("  listen: 127.0.0.11:7101\n"),
            "f.yaml:2: membership.keys: names one or two files, each with a key");
  EXPECT_EQ(fault(fine_ + "  seeds: [\"127.0.0.11:7101\"]\n"),
            "f.yaml:7: membership.seeds: '127.0.0.11:7101' is this instance itself");
  EXPECT_EQ(fault(fine_ + "  seeds: [\"127.0.0.12:7101\", \"127.0.0.12:7101\"]\n"),
            "f.yaml:7: membership.seeds: names '127.0.0.12:7101' twice");
  EXPECT_EQ(fault(fine_ + "  reach: {b: \"127.0.0.1:1\", b: \"127.0.0.1:2\"}\n"),
            "f.yaml:7: membership.reach: names 'b' twice");
  EXPECT_EQ(fault(fine_ + "  reach: {a1: \"127.0.0.1:1\"}\n"),
            "f.yaml:7: membership.reach: names 'a1', this instance itself");
  EXPECT_EQ(
      fault(fine_ + "  probe-every: 10ms\n"),
      "f.yaml:7: membership.probe-every: '10ms' is no span from 50 ms to 60000 ms, such as 250ms or 1s");
  EXPECT_EQ(fault(fine_ + "  probe-every: 1\n"),
            "f.yaml:7: membership.probe-every: '1' is no span from 50 ms to 60000 ms, such as 250ms or 1s");
  EXPECT_EQ(fault(fine_ + "  colour: red\n"), "f.yaml:7: membership.colour: is no known key");
  EXPECT_EQ(fault("  listen: 0.0.0.0:7101\n  keys: [key]\n"),
            "f.yaml:2: membership.advertise: is missing: others can't reach 0.0.0.0");
}

TEST(PlanningScenario, EachFaultNamesFileLineAndKey) {
  const std::string file = ::testing::TempDir() + "rainhook-zones-" + std::to_string(::getpid()) + ".yaml";
  const auto fault = [&](const std::string& text) -> std::string {
    std::ofstream(file) << text;
    try {
      static_cast<void>(readPlanningScenario(file));
    } catch (const OptionsError& error) {
      return std::string(error.what()).substr(file.size());
    }
    return "none";
  };
  EXPECT_EQ(fault("zones: {a: r, b: r}\ncosts: {a b: 3}\nfigures: {a: {read: 5}}\n"), "none");
  EXPECT_EQ(fault("zones: {a: r, a: s}\n"), ":1: zones: names 'a' twice");
  EXPECT_EQ(fault("zones: {a: ''}\n"), ":1: zones: zone 'a' is in no region");
  EXPECT_EQ(fault("zones: {a: r, b: r}\ncosts: {a b: -1}\n"), ":2: costs: '-1' is no number from 0 to 1000");
  EXPECT_EQ(fault("zones: {a: r, b: r}\ncosts: {a c: 1}\n"),
            ":2: costs: 'a c' is no pair of stated zones, such as \"a b\"");
  EXPECT_EQ(fault("zones: {a: r, b: r}\ncosts: {a b: 1, b a: 2}\n"), ":2: costs: names 'b a' both ways");
  EXPECT_EQ(fault("zones: {a: r}\ndrained: [c]\n"), ":2: drained: 'c' is no stated zone");
  EXPECT_EQ(fault("zones: {a: r}\nfigures: {c: {read: 5}}\n"), ":2: figures.c: is no known key");
  EXPECT_EQ(fault("zones: {a: r}\nfigures: {a: {read: many}}\n"),
            ":2: figures.a.read: 'many' is no number from 0 to 1000000000");
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace rainhook::options
