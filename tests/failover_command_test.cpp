/// @file
/// The command `rainhook failover plan`. The tests run the program and compare its output byte for byte with
/// recorded files, which an earlier version of the program wrote. They guard against changes of the public
/// JSON format, such as a renamed identifier that changes a printed name.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

namespace rainhook::commands {
namespace {

const std::string sources = RAINHOOK_SOURCES;

struct CommandResult {
  int status = -1;
  std::string output;  ///< standard output and standard error together
};

CommandResult runFailover(const std::string& arguments) {
  const std::string command = std::string(RAINHOOK_PROGRAM) + " failover " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  CommandResult result;
  std::array<char, 4096> buffer{};
  while (const std::size_t size = std::fread(buffer.data(), 1, buffer.size(), pipe))
    result.output.append(buffer.data(), size);
  const int status = ::pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

std::string readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

TEST(FailoverCommand, PrintsTheRecordedJsonWhenRunOnTheExample) {
  const CommandResult result = runFailover("plan " + sources + "/examples/zones.yaml --json");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan_example.json"));
}

TEST(FailoverCommand, PrintsTheRecordedJsonWhenZonesAreInFourStates) {
  const CommandResult result = runFailover("plan --json " + sources + "/tests/data/failover_plan.yaml");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan.json"));
}

TEST(FailoverCommand, PrintsTheRecordedTableWhenJsonIsNotRequested) {
  const CommandResult result = runFailover("plan " + sources + "/tests/data/failover_plan.yaml");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan_table.txt"));
}

TEST(FailoverCommand, ExitsWithStatus2WhenArgumentsAreInvalid) {
  EXPECT_EQ(runFailover("").status, 2);
  EXPECT_EQ(runFailover("plan").status, 2);
  EXPECT_EQ(runFailover("drain").status, 2);
  EXPECT_EQ(runFailover("plan /nonexistent.yaml").status, 2);
}

TEST(FailoverCommand, PrintsItsUsageWhenHelpIsRequested) {
  const CommandResult result = runFailover("help");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output.find("usage: rainhook failover plan FILE [--json]"), 0U);
}

}  // namespace
}  // namespace rainhook::commands
