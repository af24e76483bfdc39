// Tests of the decoding and validation of the clients' messages, without a connection.
#include "peers/request_decoder.h"

#include <gtest/gtest.h>

#include "codec/protocol_error.h"
#include "peers/response_encoder.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;
using codec::thrift::Fields;
using codec::thrift::Kind;
using codec::thrift::Type;
using codec::thrift::Writer;

const std::chrono::system_clock::time_point now{1'700'000'000s};

Fields validFields() {
  return {{"rid", "00000000000000ab"}, {"method", "read"}, {"acct", "other"}, {"peer", "7"},
          {"t0", "1699999999900"},     {"budget", "400"},  {"mem", "12.5"},   {"prio", "0.25"}};
}

/// Returns the content of a framed message, without the length at its start.
std::string contentOf(const std::string& framed) {
  return std::string(codec::thrift::readFrame(framed, framed.size())->content);
}

std::string callWith(const Fields& fields, std::string_view body) {
  return contentOf(Writer(Kind::call, "call", 5)
                       .field(1, Type::map)
                       .fields(fields)
                       .field(2, Type::text)
                       .text(body)
                       .stop()
                       .finish());
}

class RequestDecoderTest : public testing::Test {
 protected:
  std::variant<IncomingRequest, InvalidRequest> decode(const Fields& fields, std::string_view body = "body") {
    const std::string content = callWith(fields, body);
    return RequestDecoder(rules).decode(std::get<CallMessage>(decodeClientMessage(content)).body, now);
  }
  std::string faultOf(const Fields& fields, std::string_view body = "body") {
    const auto decoded = decode(fields, body);
    const auto* fault = std::get_if<InvalidRequest>(&decoded);
    return fault ? describe(*fault) : "";
  }

  RequestRules rules{{"read", "write"}, {"acme", "other"}, {500ms, 900ms}, true};
};

TEST_F(RequestDecoderTest, DecodesAllFieldsWhenCallIsValid) {
  auto fields = validFields();
  fields.insert({{"obj", "ff"}, {"token", "key"}, {"est", "1.5"}});
  const auto decoded = decode(fields);
  ASSERT_TRUE(std::holds_alternative<IncomingRequest>(decoded));
  const auto& request = std::get<IncomingRequest>(decoded);
  EXPECT_EQ(request.name, "00000000000000ab");
  EXPECT_EQ(request.handler, HandlerId{0});
  EXPECT_EQ(request.tenant, TenantId{1});
  EXPECT_EQ(request.client, ClientId{7});
  EXPECT_EQ(request.resourceKey, ResourceKey{255});
  EXPECT_EQ(request.idempotencyKey, "key");
  EXPECT_EQ(request.queuedMemoryKb, 12.5);
  EXPECT_EQ(request.rank, 0.25);
  EXPECT_EQ(request.estimatedWork, Duration(1500us));
  EXPECT_EQ(request.readAt, now);
  EXPECT_EQ(request.readDelay, Duration(100ms));
  EXPECT_EQ(request.timeRemaining, Duration(300ms));
  EXPECT_EQ(request.body, "body");
}

TEST_F(RequestDecoderTest, OmitsTimeRemainingWhenClientsDoNotSendIt) {
  rules.clientsSendTimeRemaining = false;
  auto fields = validFields();
  fields.erase("budget");
  const auto decoded = decode(fields);
  ASSERT_TRUE(std::holds_alternative<IncomingRequest>(decoded));
  EXPECT_FALSE(std::get<IncomingRequest>(decoded).timeRemaining.has_value());
}

TEST_F(RequestDecoderTest, ReportsFirstInvalidFieldWhenSeveralAreInvalid) {
  auto fields = validFields();
  fields["prio"] = "1";
  EXPECT_EQ(faultOf(fields), "field prio: impossible");
  fields.erase("peer");
  EXPECT_EQ(faultOf(fields), "field peer: missing");
}

TEST_F(RequestDecoderTest, ReportsBodyBeforeFieldsWhenBodyIsTooLarge) {
  EXPECT_EQ(faultOf(validFields(), std::string(2049, 'x')), "a body over 2 KiB");
  EXPECT_EQ(faultOf({}, std::string(2049, 'x')), "a body over 2 KiB");
  EXPECT_EQ(faultOf(validFields(), std::string(2048, 'x')), "");
}

struct FieldCase {
  const char* name;
  const char* value;
};
class RequestDecoderFieldTest : public RequestDecoderTest, public testing::WithParamInterface<FieldCase> {};

TEST_P(RequestDecoderFieldTest, RejectsCallWhenValueIsOutOfRange) {
  auto fields = validFields();
  fields[GetParam().name] = GetParam().value;
  EXPECT_EQ(faultOf(fields), std::string("field ") + GetParam().name + ": impossible");
}

INSTANTIATE_TEST_SUITE_P(
    OutOfRange, RequestDecoderFieldTest,
    testing::Values(FieldCase{"rid", "abc"}, FieldCase{"rid", "00000000000000xy"},
                    FieldCase{"method", "none"}, FieldCase{"acct", "none"}, FieldCase{"peer", "-1"},
                    FieldCase{"budget", "86400001"}, FieldCase{"mem", "0"}, FieldCase{"mem", "2000"},
                    FieldCase{"prio", "nan"}, FieldCase{"obj", "xyz"}, FieldCase{"est", "1e99"},
                    // The client's deadline passed more than ten seconds ago, or its clock is too far ahead.
                    FieldCase{"t0", "1699999989599"}, FieldCase{"t0", "1700000005001"}));

TEST_F(RequestDecoderTest, AcceptsArrivalTimeWhenItIsAtItsLimit) {
  auto fields = validFields();
  for (const char* limit : {"1699999989600", "1700000005000"}) {
    fields["t0"] = limit;
    EXPECT_EQ(faultOf(fields), "") << limit;
  }
}

TEST(ClientMessageDecoder, DecodesEachKindOfMessage) {
  const auto health = contentOf(Writer(Kind::call, "health", 3).stop().finish());
  EXPECT_EQ(std::get<HealthCheckMessage>(decodeClientMessage(health)).sequenceNumber, 3);
  const auto cancel = contentOf(Writer(Kind::oneway, "cancel", 9).field(1, Type::i32).i32(4).stop().finish());
  EXPECT_EQ(std::get<CancelMessage>(decodeClientMessage(cancel)).sequenceNumber, 4);
  const auto unknown = contentOf(Writer(Kind::call, "dance", 6).stop().finish());
  EXPECT_EQ(std::get<UnknownMethodMessage>(decodeClientMessage(unknown)).method, "dance");
}

TEST(ClientMessageDecoder, RejectsMessageWhenOnlyServersMaySendIt) {
  const auto reply = contentOf(Writer(Kind::reply, "call", 3).stop().finish());
  EXPECT_THROW((void)decodeClientMessage(reply), codec::ProtocolError);
}

}  // namespace
}  // namespace rainhook::peers
