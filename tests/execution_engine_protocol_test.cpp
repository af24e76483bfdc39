// Tests of the decoding of the execution engine's messages, without a connection.
#include "peers/execution_engine_protocol.h"

#include <gtest/gtest.h>

#include "codec/json_lines.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

template <typename Message>
Message decodeAs(const json& line) {
  return std::get<Message>(decodeEngineMessage(line));
}

TEST(EngineProtocol, DecodesHandshake) {
  const auto message = decodeAs<EngineHandshake>({{"msg", "greeting"}, {"how", "cold"}, {"duration", 1.5}});
  EXPECT_EQ(message.startState, "cold");
  EXPECT_TRUE(message.wasColdStart);
  EXPECT_EQ(message.sinceStart, Duration(1500us));
}

TEST(EngineProtocol, DecodesCompletedExecution) {
  const auto message = decodeAs<EngineExecutionEnded>({{"msg", "outcome"},
                                                       {"serial", 3u},
                                                       {"call", "ab"},
                                                       {"how", "ok"},
                                                       {"duration", 2},
                                                       {"blob", codec::jsonLines::toBase64("result")}});
  EXPECT_EQ(message.number, 3u);
  EXPECT_EQ(message.requestName, "ab");
  EXPECT_EQ(message.outcome, Outcome::completed);
  EXPECT_EQ(message.duration, Duration(2ms));
  EXPECT_EQ(message.result, "result");
}

TEST(EngineProtocol, ReportsFailureWhenResultIsInvalidBase64) {
  const auto message = decodeAs<EngineExecutionEnded>({{"msg", "outcome"}, {"how", "ok"}, {"blob", "a*b="}});
  EXPECT_EQ(message.outcome, Outcome::failed);
  EXPECT_EQ(message.result, "");
}

struct OutcomeCase {
  const char* status;
  Outcome outcome;
  bool isKnown;
};
class EngineOutcome : public testing::TestWithParam<OutcomeCase> {};

TEST_P(EngineOutcome, IsDecodedFromStatus) {
  const auto message = decodeAs<EngineExecutionEnded>({{"msg", "outcome"}, {"how", GetParam().status}});
  EXPECT_EQ(message.outcome, GetParam().outcome);
  EXPECT_EQ(message.unknownOutcome.has_value(), !GetParam().isKnown);
}

INSTANTIATE_TEST_SUITE_P(EngineProtocol, EngineOutcome,
                         testing::Values(OutcomeCase{"ok", Outcome::completed, true},
                                         OutcomeCase{"halted", Outcome::cancelled, true},
                                         OutcomeCase{"void", Outcome::superseded, true},
                                         OutcomeCase{"failed", Outcome::failed, true},
                                         OutcomeCase{"lost", Outcome::failed, false}));

TEST(EngineProtocol, DecodesNoNumberWhenItIsMissingOrInvalid) {
  EXPECT_FALSE(decodeAs<EngineInformation>({{"msg", "aside"}}).number.has_value());
  EXPECT_FALSE(decodeAs<EngineInformation>({{"msg", "aside"}, {"serial", -1}}).number.has_value());
  EXPECT_FALSE(decodeAs<EngineInformation>({{"msg", "aside"}, {"serial", "7"}}).number.has_value());
}

TEST(EngineProtocol, ClassifiesUnknownMessageAsNotificationWhenItHasANumber) {
  EXPECT_TRUE(decodeAs<EngineUnknownMessage>({{"msg", "dance"}, {"serial", 4u}}).isNotification);
  EXPECT_FALSE(decodeAs<EngineUnknownMessage>({{"msg", "dance"}}).isNotification);
}

TEST(EngineProtocol, DecodesGaugesAndResponseToCatchUpRequest) {
  const auto gauges =
      decodeAs<EngineGauges>({{"msg", "sampled"}, {"cookie", "12"}, {"stats", {1.5, "none", 2}}});
  EXPECT_EQ(gauges.requestId, 12u);
  EXPECT_EQ(gauges.values, (std::vector<double>{1.5, 0, 2}));
  const auto request = codec::jsonLines::readLine(encodeCatchUpRequest())->object;
  const auto response = decodeEngineMessage({{"msg", "sampled"}, {"cookie", request.at("cookie")}});
  EXPECT_TRUE(std::holds_alternative<EngineCaughtUp>(response));
}

TEST(EngineProtocol, DecodesRejectedCommand) {
  const auto command = codec::jsonLines::readLine(encodeStartExecution("ab", "read", "body"))->object;
  const auto rejected = decodeAs<EngineCommandRejected>(
      {{"msg", "refusal"}, {"call", command.at("call")}, {"how", command.at("msg")}});
  EXPECT_EQ(rejected.kind, EngineCommandKind::startExecution);
  EXPECT_EQ(rejected.requestName, "ab");
}

}  // namespace
}  // namespace rainhook::peers
