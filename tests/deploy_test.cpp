// What the operators' standing test asks of `build` and `run`, kept from the sources and the built server.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "options/options.h"

namespace rainhook {
namespace {

const std::string root = RAINHOOK_SOURCES;

std::string read(const std::string& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

TEST(Deploy, TheServerIsLinkedDynamicallyAgainstTheCLibrary) {
  std::string text;
  FILE* out = ::popen("ldd " RAINHOOK_PROGRAM, "r");
  ASSERT_NE(out, nullptr);
  std::array<char, 4096> part{};
  while (std::fgets(part.data(), part.size(), out)) text += part.data();
  EXPECT_EQ(::pclose(out), 0);
  EXPECT_NE(text.find("libc.so.6 => /"), std::string::npos) << text;
}

TEST(Deploy, RunIsOneExecAndNamesNoSettingsOfOurOwn) {
  const auto deploy = read(root + "/deploy/balancer.toml");
  EXPECT_NE(deploy.find("\nrun = \"exec build/rainhook serve\"\n"), std::string::npos) << deploy;
}

TEST(Deploy, EverySectionOfOurOwnSettingsIsOff) {
  const auto file = root + "/deploy/rainhook.yaml";
  ASSERT_FALSE(read(file).empty());
  EXPECT_EQ(options::readOptionsFile(file), options::Options{});
  EXPECT_TRUE(options::describeEnabledFeatures(options::readOptionsFile(file)).empty());
}

}  // namespace
}  // namespace rainhook
