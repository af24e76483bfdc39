/// @file
/// Decoding and encoding of the simulator's frames, valid and malformed, and the host with instances that
/// start and end.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "simulator_adapter/simulator_host.h"

namespace rainhook::simulator {
namespace {

using testing::HasSubstr;
using testing::SizeIs;

std::vector<std::byte> bytesOf(std::string_view hex) {
  constexpr int hexadecimal = 16;
  std::vector<std::byte> bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes.push_back(static_cast<std::byte>(std::stoi(std::string(hex.substr(i, 2)), nullptr, hexadecimal)));
  return bytes;
}

const std::string clockField = "90bf68f501000000";
const std::string requestRecord =
    "110300c4913a5d0000203f640ad2557c3bf091192b6f0e0000c441001bb7000000000001903a1c0000000000001c4e0e00000000"
    "0000110000";
constexpr InstanceId instance3{3};
constexpr InstanceId instance4{4};
constexpr InstanceId instance5{5};

TEST(SimulatorBatch, DecodesEveryFieldWhenARequestArrives) {
  const Batch batch = readBatch(bytesOf(clockField + requestRecord));
  ASSERT_THAT(batch.events, SizeIs(1));
  EXPECT_EQ(batch.clock, SimulatorTime(0x1f568bf90u));
  const auto& request = std::get<RequestArrived>(std::get<Event>(batch.events[0].event));
  EXPECT_EQ(batch.events[0].instance, instance3);
  EXPECT_EQ(request.id, RequestId{0x5d3a91c4});
  EXPECT_EQ(request.duplicateOf, RequestId{0x0e6f2b19});
  EXPECT_EQ(request.clientPriority, 0.625);
  EXPECT_EQ(request.estimatedWork, Duration(12000000));
  EXPECT_EQ(request.timeRemaining, Duration(240000000));
  EXPECT_EQ(request.client, ClientId{17});
}

TEST(SimulatorBatch, IsRejectedWhenItIsTruncatedAtAnyByte) {
  constexpr std::size_t emptyBatchSize = 8;  // the clock alone is a batch without events
  const std::vector<std::byte> whole = bytesOf(clockField + requestRecord);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    if (length == emptyBatchSize) continue;
    EXPECT_THROW(static_cast<void>(readBatch(std::span(whole).first(length))), ProtocolError) << length;
  }
}

class MalformedBatch : public testing::TestWithParam<std::string_view> {};

TEST_P(MalformedBatch, ThrowsAnErrorWithTheByteOffset) {
  try {
    static_cast<void>(readBatch(bytesOf(clockField + std::string(GetParam()))));
    ADD_FAILURE() << "no error";
  } catch (const ProtocolError& error) {
    ASSERT_TRUE(error.byteOffset().has_value());
    EXPECT_THAT(error.what(), HasSubstr("byte " + std::to_string(*error.byteOffset()) + " of the batch: "));
  }
}

INSTANTIATE_TEST_SUITE_P(UnknownCodesAndOverrunningCounts, MalformedBatch,
                         testing::Values("630300",                    // unknown event code
                                         "1303004d000000ff52b81e3f",  // 255 gauges, of which one is present
                                         "1203000000000000000000ffffffff",  // settings that exceed the batch
                                         "100300c4913a5d0100a0491a0100000000",  // unknown reason
                                         "170300ffffffffffffffff"));  // a duration that exceeds 63 bits

TEST(SimulatorReply, EncodesTheDocumentedExampleWhenActionsAreAdded) {
  Reply reply;
  reply.add(instance3, StartExecution{RequestId{0x5d3a91c4}});
  reply.add(instance3, SetTimer{TimerId{77}, Duration(500000000)});
  reply.add(instance5, DiagnosticMessage{"two servers unknown"});
  reply.add(instance3, PublishLoadSignal{0.25});
  reply.add(instance3, ShedRequest{RequestId{0x0e6f2b19}, Duration(250000000), true});
  EXPECT_EQ(reply.frame(),
            bytesOf("4900000005000000500300c4913a5d5c03004d0000000065cd1d000000005d05001300"
                    "74776f207365727665727320756e6b6e6f776e5a03000000803e510300192b6f0e80b2e60e0000000001"));
}

class SimulatorHostTest : public testing::Test {
 protected:
  static InstanceEvent attach(InstanceId id, std::uint64_t seed) {
    return {id, AttachInstance{seed, "classes.count=1\n"}};
  }
  static Batch batchAt(std::uint64_t nanoseconds, std::vector<InstanceEvent> events) {
    return {SimulatorTime(nanoseconds), std::move(events)};
  }

  SimulatorHost host_;
};

// The simulator may reuse a number in the batch in which the previous instance ends. The host must drop the
// events of the previous instance; otherwise the new instance would handle a request that it never got.
TEST_F(SimulatorHostTest, DropsEarlierEventsWhenAnInstanceEndsAndAnotherStartsInOneBatch) {
  static_cast<void>(host_.handle(batchAt(0, {attach(instance4, 1)})));
  const InstanceEvent request{instance4, Event{RequestArrived{}}};
  const InstanceEvent detach{instance4, DetachInstance{}};
  const auto reply = host_.handle(batchAt(5, {request, detach, attach(instance4, 2)})).frame();
  const auto expected = SimulatorHost().handle(batchAt(5, {attach(instance4, 2)})).frame();
  EXPECT_EQ(reply, expected);
}

TEST_F(SimulatorHostTest, RejectsAnEventWhenTheInstanceIsUnknown) {
  const Batch batch = batchAt(0, {{instance4, Event{ClientDisconnected{}}}});
  EXPECT_THROW(static_cast<void>(host_.handle(batch)), ProtocolError);
}

TEST_F(SimulatorHostTest, RejectsARequestWhenItsHandlerIsNotInTheSettings) {
  static_cast<void>(host_.handle(batchAt(0, {attach(instance4, 1)})));
  RequestArrived request;
  request.handler = HandlerId{1};
  EXPECT_THROW(static_cast<void>(host_.handle(batchAt(1, {{instance4, Event{request}}}))), ProtocolError);
}

}  // namespace
}  // namespace rainhook::simulator
