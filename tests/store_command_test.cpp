/// @file
/// Tests of `rainhook store`, run as separate processes that may be killed; and of the fuzzer's corpus.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <thread>

#include "fuzz/store_fuzz.h"
#include "store/file_names.h"
#include "store/posix_disk.h"
#include "store_operation_history.h"

namespace rainhook::store {
namespace {

class StoreCommands : public testing::Test {
 protected:
  StoreCommands() {
    char name[] = "/tmp/rainhook-commands-XXXXXX";
    folder_ = ::mkdtemp(name);
    dir_ = folder_ + "/store";
  }
  ~StoreCommands() override { std::filesystem::remove_all(folder_); }

  struct CommandResult {
    int status = -1;
    std::string out, err;
  };
  std::string writeFile(const char* name, const std::string& bytes) const {
    std::ofstream(folder_ + "/" + name, std::ios::binary) << bytes;
    return folder_ + "/" + name;
  }
  static std::string readFile(const std::string& name) {
    std::ifstream in(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  pid_t start(std::vector<std::string> arguments, const std::string& in, const std::string& out) const {
    arguments.insert(arguments.begin(), {RAINHOOK_PROGRAM, "store"});
    std::vector<char*> argv;
    for (auto& word : arguments) argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    const auto redirect = [](const std::string& name, int flags, int descriptor) {
      ::dup2(::open(name.c_str(), flags, 0600), descriptor);
    };
    redirect(in, O_RDONLY, 0);
    redirect(out, O_WRONLY | O_CREAT | O_TRUNC, 1);
    redirect(folder_ + "/err", O_WRONLY | O_CREAT | O_TRUNC, 2);
    ::execv(RAINHOOK_PROGRAM, argv.data());
    ::_exit(127);
  }
  CommandResult run(const std::vector<std::string>& arguments, const std::string& in = "") const {
    const auto out = folder_ + "/out";
    int status = 0;
    ::waitpid(start(arguments, writeFile("in", in), out), &status, 0);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, readFile(out), readFile(folder_ + "/err")};
  }

  std::string folder_, dir_;
};

TEST_F(StoreCommands, PutAndGetPreserveEveryByteAndGetReturnsOneWhenKeyIsAbsent) {
  const std::string value("a\0b\n\xff\r\n", 7);
  EXPECT_EQ(run({"put", "k", "--dir", dir_}, value).status, 0);
  const auto got = run({"get", "k", "--dir", dir_});
  EXPECT_EQ(got.status, 0);
  EXPECT_EQ(got.out, value);
  for (const auto& arguments : std::vector<std::vector<std::string>>{
           {"get", "--dir", dir_, "k"}, {"--dir", dir_, "get", "k"}, {"--dir=" + dir_, "--key", "k", "get"}})
    EXPECT_EQ(run(arguments).out, value);
  EXPECT_EQ(run({"get", "k", "more", "--dir", dir_}).status, 2);
  const auto absent = run({"get", "other", "--dir", dir_});
  EXPECT_EQ(absent.status, 1);
  EXPECT_EQ(absent.out, "");
  EXPECT_EQ(run({"erase", "k", "--dir", dir_}).status, 0);
  EXPECT_EQ(run({"get", "k", "--dir", dir_}).status, 1);
  EXPECT_EQ(run({"get", "--dir", dir_}).status, 2);
  EXPECT_EQ(run({"fetch", "k", "--dir", dir_}).status, 2);
  EXPECT_EQ(run({"get", "k"}).status, 2);
  EXPECT_EQ(run({"put", "k", "--dir", dir_, "--for", "0"}).status, 2);
}

TEST_F(StoreCommands, DumpLoadSnapshotAndCompactPreserveAllEntries) {
  std::string lines;
  for (std::uint64_t i = 0; i < 300; ++i) lines += numbered("k", i % 200) + "\t" + numbered("v", i) + "\n";
  EXPECT_EQ(run({"put", "--lines", "--dir", dir_}, lines).status, 0);
  const auto listed = run({"list", "--dir", dir_}).out;
  EXPECT_EQ(std::count(listed.begin(), listed.end(), '\n'), 200);
  EXPECT_EQ(run({"list", "--by-age", "--dir", dir_}).out.substr(0, 5), "k100\n");
  const auto dumped = run({"dump", "--dir", dir_}).out;
  EXPECT_EQ(run({"load", "--dir", folder_ + "/other"}, dumped).status, 0);
  EXPECT_EQ(run({"dump", "--dir", folder_ + "/other"}).out, dumped);
  EXPECT_EQ(run({"load", "--dir", folder_ + "/other"}, "{\"key\": \"*\", \"value\": \"\"}\n").status, 4);
  EXPECT_EQ(run({"snapshot", "--dir", dir_, "--to", folder_ + "/copy"}).status, 0);
  EXPECT_EQ(run({"dump", "--dir", folder_ + "/copy"}).out, dumped);
  EXPECT_EQ(run({"snapshot", "--dir", dir_, "--to", folder_ + "/copy"}).status, 4)
      << "the destination folder is not empty";
  EXPECT_EQ(run({"compact", "--dir", dir_}).status, 0);
  EXPECT_EQ(run({"dump", "--dir", dir_}).out, dumped);
}

TEST_F(StoreCommands, VerifyListsDamageAndReturnsThreeWhenASegmentIsCorrupt) {
  EXPECT_EQ(run({"put", "--lines", "--dir", dir_}, "a\tone\nb\ttwo\n").status, 0);
  EXPECT_EQ(run({"verify", "--dir", dir_}).status, 0);
  const auto segment = dir_ + "/" + segmentFileName(SegmentNumber{1});
  auto bytes = readFile(segment);
  bytes[bytes.find("one")] = 'X';
  std::ofstream(segment, std::ios::binary) << bytes;
  const auto damaged = run({"verify", "--dir", dir_});
  EXPECT_EQ(damaged.status, 3);
  EXPECT_NE(damaged.out.find("damage: 0000000001.seg at 40"), std::string::npos) << damaged.out;
  EXPECT_EQ(run({"get", "a", "--dir", dir_}).status, 4);
  EXPECT_EQ(run({"get", "b", "--dir", dir_}).out, "two");
}

TEST_F(StoreCommands, GetFailsWithTheHoldersPidWhenTheStoreIsLocked) {
  PosixDisk disk(dir_);
  ASSERT_FALSE(disk.lock(lockFileName).error);
  const auto rejected = run({"get", "k", "--dir", dir_});
  EXPECT_EQ(rejected.status, 4);
  EXPECT_NE(rejected.err.find(std::to_string(::getpid())), std::string::npos) << rejected.err;
  disk.unlock();
  EXPECT_EQ(run({"get", "k", "--dir", dir_}).status, 1);
}

// Guards against losing a write that the command has printed as durable when the process is killed at any
// time. Each printed key must have the value of its last printed write or of a later write that was in
// progress.
TEST_F(StoreCommands, PutLinesKeepsEveryPrintedKeyWhenKilledDuringWrites) {
  constexpr std::uint64_t keys = 400, lines = 100000;
  const auto out = folder_ + "/printed";
  const auto options =
      writeFile("options.yaml",
                "store:\n  folder: x\n  disk_bytes: 2 MB\n  segment_bytes: 32 kB\n  longest_value: 2 kB\n");
  StoreSettings settings;
  settings.maxDiskBytes = 2 << 20;
  settings.maxSegmentBytes = 32 << 10;
  settings.maxValueBytes = 2 << 10;
  const auto writeNumber = [](std::uint64_t round, std::uint64_t i) { return round * lines + i; };
  std::map<std::string, std::uint64_t> lastPrinted;  // the number of the last printed write of each key
  std::uint64_t killedProcesses = 0;
  for (std::uint64_t round = 0; round < 12; ++round) {
    std::string all;
    for (std::uint64_t i = 0; i < lines; ++i)
      all += numbered("k", i % keys) + "\t" + std::to_string(writeNumber(round, i)) + "\n";
    const pid_t pid =
        start({"put", "--lines", "--dir", dir_, "--options", options}, writeFile("lines", all), out);
    std::this_thread::sleep_for(std::chrono::milliseconds(15 + 17 * round));
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
    killedProcesses += WIFSIGNALED(status);
    std::istringstream printed(readFile(out));
    std::map<std::string, std::uint64_t> printCounts;
    for (std::string key; std::getline(printed, key) && !printed.eof();) ++printCounts[key];
    for (const auto& [key, count] : printCounts)
      lastPrinted[key] = writeNumber(round, (count - 1) * keys + std::stoull(key.substr(1)));
    PosixDisk disk(dir_);
    LogStructuredStore opened(disk, settings, {});
    const UnixTime now{std::chrono::milliseconds(1)};
    ASSERT_TRUE(opened.open(1).isOk());
    EXPECT_EQ(opened.statistics().lostRecords, 0u);
    for (const auto& [key, number] : lastPrinted) {
      const auto read = opened.get(key, now);
      ASSERT_TRUE(read.value) << key << " was printed by round " << round;
      EXPECT_GE(std::stoull(*read.value), number) << key << ": an older value is served";
      EXPECT_EQ(std::stoull(*read.value) % keys, number % keys) << key << ": the value of another key";
    }
    std::uint64_t folderBytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(dir_)) folderBytes += entry.file_size();
    EXPECT_LE(folderBytes, settings.maxDiskBytes);
    opened.close();
  }
  EXPECT_FALSE(lastPrinted.empty());
  EXPECT_GT(killedProcesses, 8u) << "the command finished before it could be killed";
}

TEST(StoreFuzz, RecoversFromAllCorpusFiles) {
  std::set<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(RAINHOOK_CORPUS)) files.insert(entry.path());
  ASSERT_GE(files.size(), 5u);
  for (const auto& path : files) {
    std::ifstream in(path, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    fuzzStore(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
}

RC_GTEST_PROP(StoreFuzz, RecoversFromAnyBytes, (const std::vector<std::uint8_t>& bytes)) {
  fuzzStore(bytes.data(), bytes.size());
}

}  // namespace
}  // namespace rainhook::store
