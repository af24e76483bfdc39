/// @file
/// The format of log lines and their rate limit.
#include "logging/log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace rainhook::logging {
namespace {

/// Captures standard error from its construction until take().
class CapturedLines {
 public:
  CapturedLines() { testing::internal::CaptureStderr(); }
  std::vector<std::string> take() {
    std::istringstream text(testing::internal::GetCapturedStderr());
    std::vector<std::string> out;
    for (std::string line; std::getline(text, line);) out.push_back(line);
    return out;
  }
};

TEST(Log, WritesCategoryAndInstanceWhenTheFormatIsJson) {
  CapturedLines captured;
  Log(Log::Format::json, "s1").message(LogCategory::downstream, "call {} failed", 7);
  const auto lines = captured.take();
  ASSERT_EQ(lines.size(), 1u);
  const auto line = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(line.at("instance"), "s1");
  EXPECT_EQ(line.at("category"), "downstream");
  EXPECT_EQ(line.at("event"), "message");
  EXPECT_EQ(line.at("text"), "call 7 failed");
  EXPECT_TRUE(line.at("time_ms").is_number());
  EXPECT_TRUE(line.at("steady_ns").is_number());
}

TEST(Log, WritesTheFieldsAfterTheEventNameWhenTheFormatIsText) {
  CapturedLines captured;
  Log().event(LogCategory::membership, "share", {{"share", 0.5}, {"why", "reload"}});
  const auto lines = captured.take();
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find(" share share=0.5 why=reload"), std::string::npos) << lines[0];
}

TEST(Log, SuppressesLinesOfACategoryWhenItExceedsItsLimit) {
  CapturedLines captured;
  Log log(Log::Format::json);
  for (int i = 0; i < 20; ++i) log.message(LogCategory::listener, "{}", i);
  log.message(LogCategory::engine, "another category");
  // If a second ends during the loop, a new window admits more lines and one that counts the suppressed
  // lines.
  const auto lines = captured.take();
  EXPECT_GE(lines.size(), 6u);
  EXPECT_LE(lines.size(), 12u);
  EXPECT_EQ(nlohmann::json::parse(lines.back()).at("text"), "another category");
}

}  // namespace
}  // namespace rainhook::logging
