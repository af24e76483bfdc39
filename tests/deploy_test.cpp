/// @file
/// Checks the sources and the built server against the operators' requirements on `build` and `run` in
/// deploy/balancer.toml, and that the deployed options file enables no feature.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "options/options.h"

namespace rainhook {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

const std::string sourceFolder = RAINHOOK_SOURCES;

std::string readFile(const std::string& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct CommandResult {
  int status = -1;  // as returned by pclose()
  std::string output;
};

CommandResult runCommand(const char* command) {
  CommandResult result;
  FILE* output = ::popen(command, "r");
  if (output == nullptr) return result;
  std::array<char, 4096> part{};
  while (std::fgets(part.data(), part.size(), output) != nullptr) result.output += part.data();
  result.status = ::pclose(output);
  return result;
}

TEST(Deploy, ServerUsesTheSharedCLibraryWhenItIsBuilt) {
  const CommandResult result = runCommand("ldd " RAINHOOK_PROGRAM);
  ASSERT_EQ(result.status, 0);
  EXPECT_THAT(result.output, HasSubstr("libc.so.6 => /"));
}

TEST(Deploy, RunCommandIsOneExecWithoutAnOptionsFile) {
  EXPECT_THAT(readFile(sourceFolder + "/deploy/balancer.toml"),
              HasSubstr("\nrun = \"exec build/rainhook serve\"\n"));
}

TEST(Deploy, OptionsFileEnablesNoFeature) {
  const std::string file = sourceFolder + "/deploy/rainhook.yaml";
  ASSERT_FALSE(readFile(file).empty());
  const options::Options options = options::readOptionsFile(file);
  EXPECT_EQ(options, options::Options{});
  EXPECT_THAT(describeEnabledFeatures(options), IsEmpty());
}

}  // namespace
}  // namespace rainhook
