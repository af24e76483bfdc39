// Our own settings file: what it may hold, and the one line for each fault.
#include "options/options.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(read.store->bounds.diskBytes, 64u << 20);
  EXPECT_EQ(read.store->bounds.openFiles, 7u);
  EXPECT_EQ(read.store->bounds.queueBytes, store::StoreBounds{}.queueBytes);
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

}  // namespace
}  // namespace rainhook::options
