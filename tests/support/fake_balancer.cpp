#include "support/fake_balancer.h"

#include <array>
#include <chrono>
#include <optional>

namespace rainhook {
namespace {

using codec::thrift::Kind;
using codec::thrift::Reader;
using codec::thrift::Type;
using codec::thrift::Writer;

constexpr std::size_t maxFrameBytes = 1 << 20;

// Reads the struct of a reply: the body, the map of fields and the health of the server.
void readResult(std::string_view method, Reader& in, Response& response) {
  in.readStruct([&](std::int16_t, Type type, Reader& value) {
    if (type == Type::text) {
      response.body = value.text();
    } else if (type == Type::map) {
      response.fields = value.fields();
    } else {
      const bool isHealthy = value.byte() != 0;
      if (method == "health") response.kind = isHealthy ? ResponseKind::healthy : ResponseKind::unhealthy;
    }
    return true;
  });
}

std::optional<Response> parseResponse(std::string_view bytes) {
  const auto frame = codec::thrift::readFrame(bytes, maxFrameBytes);
  if (!frame) return std::nullopt;
  const auto message = codec::thrift::readMessage(frame->content);
  Response response;
  response.sequenceNumber = message.sequence;
  response.size = frame->size;
  if (message.name == "closing") response.kind = ResponseKind::closing;
  if (message.kind == Kind::exception) response.kind = ResponseKind::exception;
  if (message.kind != Kind::reply) return response;
  // Indexed by the field number in the reply, which identifies the result or a declared exception.
  constexpr std::array kinds{ResponseKind::completed, ResponseKind::shed, ResponseKind::failed};
  Reader(message.body).readStruct([&](std::int16_t fieldNumber, auto, Reader& in) {
    response.kind = kinds.at(static_cast<std::size_t>(fieldNumber));
    readResult(message.name, in, response);
    return true;
  });
  return response;
}

}  // namespace

codec::thrift::Fields FakeBalancer::requestFields(const std::string& requestName,
                                                  const std::string& handler) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return {{"method", handler},
          {"rid", requestName},
          {"peer", "4"},
          {"acct", "acme"},
          {"budget", "3000"},
          {"mem", "24.5"},
          {"prio", "0.6250"},
          {"t0", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count())}};
}

codec::thrift::Fields FakeBalancer::keyedRequestFields(const std::string& requestName,
                                                       const std::string& key) {
  auto fields = requestFields(requestName, "pay");
  fields["token"] = key;
  return fields;
}

std::string FakeBalancer::encodeRequest(std::int32_t sequenceNumber, const codec::thrift::Fields& fields,
                                        std::string_view body) {
  return Writer(Kind::call, "call", sequenceNumber)
      .field(1, Type::map)
      .fields(fields)
      .field(2, Type::text)
      .text(body)
      .stop()
      .finish();
}

std::string FakeBalancer::encodeCancellation(std::int32_t sequenceNumber) {
  constexpr std::int32_t ownSequenceNumber =
      99;  // an arbitrary number, because a one-way message has no reply
  return Writer(Kind::oneway, "cancel", ownSequenceNumber)
      .field(1, Type::i32)
      .i32(sequenceNumber)
      .stop()
      .finish();
}

void FakeBalancer::sendHealthCheck() {
  send(Writer(Kind::call, "health", 1).field(1, Type::boolean).boolean(false).stop().finish());
}

Response FakeBalancer::receiveResponse() { return receive(parseResponse).value_or(Response{}); }

}  // namespace rainhook
