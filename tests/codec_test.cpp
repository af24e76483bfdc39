/// @file
/// The codecs on generated messages, truncated at every position and corrupted.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "codec/http.h"
#include "codec/json_lines.h"
#include "codec/protocol_error.h"
#include "codec/thrift.h"

namespace rainhook::codec {
namespace {

using thrift::Fields;
using thrift::Kind;
using thrift::Type;

constexpr std::size_t maxContentBytes = 1 << 20;

/// Replaces one byte by an arbitrary one. `parse` must then return or throw a ProtocolError, and nothing
/// else.
template <typename Parse>
void expectCorruptionIsHandled(std::string bytes, Parse parse) {
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  try {
    parse(bytes);
  } catch (const ProtocolError&) {
  }
}

std::string encodeCall(const Fields& fields, std::string_view body) {
  return thrift::Writer(Kind::call, "call", 7)
      .field(1, Type::map)
      .fields(fields)
      .field(2, Type::text)
      .text(body)
      .stop()
      .finish();
}

struct Call {
  Fields fields;
  std::string body;
};

Call decodeCall(std::string_view bytes) {
  Call out;
  const auto frame = thrift::readFrame(bytes, maxContentBytes);
  if (!frame) return out;
  thrift::Reader(thrift::readMessage(frame->content).body)
      .readStruct([&](std::int16_t id, Type, thrift::Reader& in) {
        if (id == 1) {
          out.fields = in.fields();
          return true;
        }
        if (id == 2) {
          out.body = in.text();
          return true;
        }
        return false;
      });
  return out;
}

RC_GTEST_PROP(Thrift, DecodesEncodedMessagesAndReturnsNothingWhenTheFrameIsTruncated,
              (const Fields& fields, const std::string& body)) {
  const auto bytes = encodeCall(fields, body);
  const auto call = decodeCall(bytes + "more");
  RC_ASSERT(call.fields == fields);
  RC_ASSERT(call.body == body);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(!thrift::readFrame(std::string_view(bytes).substr(0, cut), maxContentBytes));
}

RC_GTEST_PROP(Thrift, ThrowsNothingButProtocolErrorsWhenBytesAreCorrupted,
              (const Fields& fields, const std::string& body)) {
  expectCorruptionIsHandled(encodeCall(fields, body), [](std::string_view bytes) { decodeCall(bytes); });
}

TEST(Thrift, RejectsAFrameWhenItExceedsTheLimit) {
  EXPECT_THROW((void)thrift::readFrame(encodeCall({{"rid", "x"}}, "b"), 10), ProtocolError);
}

TEST(Thrift, RejectsAFrameWhenItsLengthIsNegative) {
  EXPECT_THROW((void)thrift::readFrame("\xff\xff\xff\xff", 100), ProtocolError);
}

TEST(Thrift, RejectsAMessageWhenItIsNotInTheStrictProtocol) {
  const std::string_view old("\0\0\0\4call\1\0\0\0\7\0", 14);
  EXPECT_THROW((void)thrift::readMessage(old), ProtocolError);
}

TEST(Thrift, RejectsAMessageWhenItsKindIsUnknown) {
  const std::string_view unknown("\x80\x01\0\x09\0\0\0\0\0\0\0\1", 12);
  EXPECT_THROW((void)thrift::readMessage(unknown), ProtocolError);
}

TEST(Thrift, RejectsAValueWhenItIsNestedTooDeeply) {
  std::string deep;
  for (int i = 0; i < 40; ++i) deep += std::string("\x0c\0\1", 3);
  EXPECT_THROW(thrift::Reader(deep).skip(Type::structure), ProtocolError);
}

TEST(Thrift, SkipsFieldsOfEveryTypeWhenTheyAreNotRead) {
  const std::string_view bytes(
      "\x02\0\x09\1\x03\0\x09\1\x06\0\x09\0\1\x0a\0\x09\0\0\0\0\0\0\0\1"
      "\x0f\0\x09\x08\0\0\0\1\0\0\0\5\x0c\0\x09\0\x0b\0\1\0\0\0\1z\0",
      49);
  std::string text;
  thrift::Reader in(bytes);
  in.readStruct([&](std::int16_t id, Type, thrift::Reader& value) {
    if (id != 1) return false;
    text = value.text();
    return true;
  });
  EXPECT_EQ(text, "z");
  EXPECT_TRUE(in.atEnd());
}

RC_GTEST_PROP(Http, ParsesCompleteResponsesAndReturnsNothingWhenTheyAreTruncated, (const std::string& body)) {
  const bool isChunked = *rc::gen::arbitrary<bool>();
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nTurned-Away:  1 \r\n";
  if (isChunked) {
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (const char byte : body) bytes += std::string("1;x=y\r\n") + byte + "\r\n";
    bytes += "0\r\nTrailer: t\r\n\r\n";
  } else {
    bytes += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  const auto response = http::readResponse(bytes + "HTTP");
  RC_ASSERT(response.has_value());
  RC_ASSERT(response->status == 503);
  RC_ASSERT(response->header("turned-away") == "1");
  RC_ASSERT(response->body == body);
  RC_ASSERT(response->size == bytes.size());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(!http::readResponse(std::string_view(bytes).substr(0, cut)));
  expectCorruptionIsHandled(bytes, [](std::string_view corrupted) { (void)http::readResponse(corrupted); });
}

TEST(Http, KeepsAConnectionAliveWhenNoHeaderClosesIt) {
  EXPECT_TRUE(http::readResponse("HTTP/1.1 204 No Content\r\n\r\n")->isKeepAlive);
}

TEST(Http, DoesNotKeepAConnectionAliveWhenAHeaderClosesIt) {
  const auto response =
      http::readResponse("HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n");
  EXPECT_FALSE(response->isKeepAlive);
}

TEST(Http, DoesNotKeepAConnectionAliveWhenTheVersionIs10) {
  EXPECT_FALSE(http::readResponse("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")->isKeepAlive);
}

class HttpInvalidResponse : public testing::TestWithParam<const char*> {};

TEST_P(HttpInvalidResponse, IsRejected) {
  EXPECT_THROW((void)http::readResponse(GetParam()), ProtocolError) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(
    Http, HttpInvalidResponse,
    testing::Values("SMTP ready, hello\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\nx\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                    // One byte more than the limit of a body and of a chunk.
                    "HTTP/1.1 200 OK\r\nContent-Length: 16385\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4001\r\n"));

RC_GTEST_PROP(JsonLines, DecodesEncodedLinesAndReturnsNothingWhenTheyAreTruncated,
              (const std::string& body)) {
  const auto line = jsonLines::writeLine({{"msg", "launch"}, {"blob", jsonLines::toBase64(body)}});
  const auto read = jsonLines::readLine(line + "{");
  RC_ASSERT(read.has_value());
  RC_ASSERT(jsonLines::fromBase64(read->object.at("blob").get<std::string>()) == body);
  RC_ASSERT(read->size == line.size());
  for (std::size_t cut = 0; cut < line.size(); ++cut) RC_ASSERT(!jsonLines::readLine(line.substr(0, cut)));
  expectCorruptionIsHandled(line, [](std::string_view corrupted) {
    const auto any = jsonLines::readLine(corrupted);
    if (!any) return;
    const auto blob = any->object.find("blob");
    if (blob != any->object.end() && blob->is_string()) jsonLines::fromBase64(blob->get<std::string>());
  });
}

class JsonLinesInvalidLine : public testing::TestWithParam<const char*> {};

TEST_P(JsonLinesInvalidLine, IsRejected) {
  EXPECT_THROW((void)jsonLines::readLine(GetParam()), ProtocolError) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(JsonLines, JsonLinesInvalidLine, testing::Values("7\n", "[1]\n", "{\"a\":\n", "\n"));

TEST(JsonLines, RejectsBase64WhenItHasAnInvalidCharacter) {
  EXPECT_THROW(jsonLines::fromBase64("a*b="), ProtocolError);
}

}  // namespace
}  // namespace rainhook::codec
