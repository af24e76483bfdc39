/// @file
/// `rainhook failover plan` as a person or a script meets it: the program itself is run, and its JSON output
/// is compared byte for byte with files that were written by the program before its internal names changed.
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

TEST(FailoverCommand, PrintsTheRecordedJsonForTheExample) {
  const CommandResult result = runFailover("plan " + sources + "/examples/zones.yaml --json");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan_example.json"));
}

TEST(FailoverCommand, PrintsTheRecordedJsonForFourStates) {
  const CommandResult result = runFailover("plan --json " + sources + "/tests/data/failover_plan.yaml");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan.json"));
}

TEST(FailoverCommand, PrintsATableWithStatesAndReasons) {
  const CommandResult result = runFailover("plan " + sources + "/tests/data/failover_plan.yaml");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output, readFile(sources + "/tests/data/failover_plan_table.txt"));
}

TEST(FailoverCommand, EndsWithTwoWhenItIsMisused) {
  EXPECT_EQ(runFailover("").status, 2);
  EXPECT_EQ(runFailover("plan").status, 2);
  EXPECT_EQ(runFailover("drain").status, 2);
  EXPECT_EQ(runFailover("plan /nonexistent.yaml").status, 2);
}

TEST(FailoverCommand, ExplainsItselfWhenAskedForHelp) {
  const CommandResult result = runFailover("help");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.output.find("usage: rainhook failover plan FILE [--json]"), 0U);
}

}  // namespace
}  // namespace rainhook::commands
