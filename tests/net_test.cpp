// The parsers on generated messages, cut at every place and spoiled, and the buffers they are fed from.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "codec/http.h"
#include "codec/json_lines.h"
#include "codec/thrift.h"
#include "net/buffer_pool.h"
#include "support/fake_balancer.h"

namespace rainhook::net {
namespace {

using codec::thrift::Kind;
using codec::thrift::Type;

// Whatever the bytes, a parser gives a message, asks for more or says that it is nonsense.
template <typename Parse>
void takesSpoiled(std::string bytes, Parse parse) {
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  try {
    parse(bytes);
  } catch (const ProtocolError&) {
  }
}

std::pair<codec::thrift::Fields, std::string> readCall(std::string_view bytes) {
  std::pair<codec::thrift::Fields, std::string> out;
  const auto frame = codec::thrift::readFrame(bytes, 1 << 20);
  if (!frame) return out;
  codec::thrift::Reader(codec::thrift::readMessage(frame->content).body)
      .structure([&](std::int16_t id, Type, codec::thrift::Reader& in) {
        if (id == 1) return out.first = in.fields(), true;
        if (id == 2) return out.second = in.text(), true;
        return false;
      });
  return out;
}

RC_GTEST_PROP(Thrift, ReadsWhatItWroteAndWaitsForTheRestOfACutFrame,
              (const codec::thrift::Fields& fields, const std::string& body)) {
  const auto bytes = FakeBalancer::encodeRequest(7, fields, body);
  const auto read = readCall(bytes + "more");
  RC_ASSERT(read.first == fields);
  RC_ASSERT(read.second == body);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(!codec::thrift::readFrame(std::string_view(bytes).substr(0, cut), 1 << 20));
}

RC_GTEST_PROP(Thrift, TakesSpoiledBytes, (const codec::thrift::Fields& fields, const std::string& body)) {
  takesSpoiled(FakeBalancer::encodeRequest(7, fields, body), [](std::string_view bytes) { readCall(bytes); });
}

TEST(Thrift, RefusesFramesAndVersionsThatCannotBe) {
  const auto good = FakeBalancer::encodeRequest(7, {{"rid", "x"}}, "b");
  EXPECT_THROW(codec::thrift::readFrame(good, 10), ProtocolError);
  EXPECT_THROW(codec::thrift::readFrame("\xff\xff\xff\xff", 100), ProtocolError);
  EXPECT_THROW(codec::thrift::readMessage(std::string_view("\0\0\0\4call\1\0\0\0\7\0", 14)), ProtocolError);
  EXPECT_THROW(codec::thrift::readMessage(std::string_view("\x80\x01\0\x09\0\0\0\0\0\0\0\1", 12)),
               ProtocolError);
  std::string deep;
  for (int i = 0; i < 40; ++i) deep += std::string("\x0c\0\1", 3);
  EXPECT_THROW(codec::thrift::Reader(deep).skip(Type::structure), ProtocolError);
}

TEST(Thrift, SkipsFieldsOfEveryType) {
  const std::string_view other(
      "\x02\0\x09\1\x03\0\x09\1\x06\0\x09\0\1\x0a\0\x09\0\0\0\0\0\0\0\1"
      "\x0f\0\x09\x08\0\0\0\1\0\0\0\5\x0c\0\x09\0\x0b\0\1\0\0\0\1z\0",
      49);
  std::string seen;
  codec::thrift::Reader in(other);
  in.structure([&](std::int16_t id, Type, codec::thrift::Reader& value) {
    if (id != 1) return false;
    return seen = value.text(), true;
  });
  EXPECT_EQ(seen, "z");
  EXPECT_TRUE(in.atEnd());
}

RC_GTEST_PROP(Http, ReadsAWholeResponseAndWaitsForTheRestOfACutOne, (const std::string& body)) {
  const bool chunked = *rc::gen::arbitrary<bool>();
  std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nTurned-Away:  1 \r\n";
  if (chunked) {
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (const char c : body) bytes += std::string("1;x=y\r\n") + c + "\r\n";
    bytes += "0\r\nTrailer: t\r\n\r\n";
  } else {
    bytes += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  const auto response = codec::http::readResponse(bytes + "HTTP");
  RC_ASSERT(response.has_value());
  RC_ASSERT(response->status == 503);
  RC_ASSERT(response->header("turned-away") == "1");
  RC_ASSERT(response->body == body);
  RC_ASSERT(response->size == bytes.size());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    RC_ASSERT(!codec::http::readResponse(std::string_view(bytes).substr(0, cut)));
  takesSpoiled(bytes, [](std::string_view spoiled) { codec::http::readResponse(spoiled); });
}

TEST(Http, KnowsWhatEndsAConnectionAndWhatIsNoResponse) {
  EXPECT_TRUE(codec::http::readResponse("HTTP/1.1 204 No Content\r\n\r\n")->keeps);
  EXPECT_FALSE(
      codec::http::readResponse("HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n")->keeps);
  EXPECT_FALSE(codec::http::readResponse("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")->keeps);
  for (const char* bad :
       {"SMTP ready, hello\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n", "HTTP/1.1 200 OK\r\nx\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"})
    EXPECT_THROW(codec::http::readResponse(bad), ProtocolError) << bad;
}

RC_GTEST_PROP(JsonLines, ReadsWhatItWroteAndWaitsForTheRestOfACutLine, (const std::string& body)) {
  const auto line =
      codec::jsonLines::writeLine({{"msg", "launch"}, {"blob", codec::jsonLines::toBase64(body)}});
  const auto read = codec::jsonLines::readLine(line + "{");
  RC_ASSERT(read.has_value());
  RC_ASSERT(codec::jsonLines::fromBase64(read->object.at("blob").get<std::string>()) == body);
  RC_ASSERT(read->size == line.size());
  for (std::size_t cut = 0; cut < line.size(); ++cut)
    RC_ASSERT(!codec::jsonLines::readLine(line.substr(0, cut)));
  takesSpoiled(line, [](std::string_view spoiled) {
    if (const auto any = codec::jsonLines::readLine(spoiled))
      if (const auto blob = any->object.find("blob"); blob != any->object.end() && blob->is_string())
        codec::jsonLines::fromBase64(blob->get<std::string>());
  });
}

TEST(JsonLines, RefusesWhatIsNoObjectAndNoBase64) {
  for (const char* bad : {"7\n", "[1]\n", "{\"a\":\n", "\n"})
    EXPECT_THROW(codec::jsonLines::readLine(bad), ProtocolError) << bad;
  EXPECT_THROW(codec::jsonLines::fromBase64("a*b="), ProtocolError);
}

// Buffers come back to the pool however what they held ends.
RC_GTEST_PROP(Buffers, GiveWhatWasAppendedInOrderAndComeBack, (std::vector<std::string> pieces)) {
  BufferPool pool;
  {
    SendBuffer out(pool);
    std::string all, sent;
    for (auto& piece : pieces) {
      for (int i = 0; i < 6; ++i) piece += piece + "x";
      all += piece;
      out.append(piece);
    }
    RC_ASSERT(out.size() == all.size());
    while (!out.empty()) {
      const auto part = out.front().substr(0, 1 + *rc::gen::inRange<std::size_t>(0, 9000));
      sent += part;
      out.consume(part.size());
    }
    RC_ASSERT(sent == all);
    RC_ASSERT(pool.acquiredCount() == 0u);
    out.append("left behind");
  }
  RC_ASSERT(pool.acquiredCount() == 0u);
}

}  // namespace
}  // namespace rainhook::net
