#include "peers/response_encoder.h"

#include <fmt/format.h>

#include <chrono>

#include "codec/thrift.h"
#include "peers/request_protocol.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;
using codec::thrift::Fields;
using codec::thrift::Kind;
using codec::thrift::Type;
using codec::thrift::Writer;

Fields commonFields(const ReportedStatus& status) {
  if (!status.loadSignal) return {};
  return {{std::string(protocol::loadSignal), fmt::format("{:.4f}", *status.loadSignal)}};
}

std::string encodeSuccess(std::string_view method, std::int32_t sequenceNumber, std::string_view result,
                          const ReportedStatus& status) {
  return Writer(Kind::reply, method, sequenceNumber)
      .field(protocol::replySuccess, Type::structure)
      .field(protocol::successResult, Type::text)
      .text(result)
      .field(protocol::successFields, Type::map)
      .fields(commonFields(status))
      .field(protocol::successHealth, Type::boolean)
      .boolean(status.isHealthy)
      .stop()
      .stop()
      .finish();
}

/// Encodes one of the exceptions that the service declares.
std::string encodeDeclaredException(std::int32_t sequenceNumber, std::int16_t exception,
                                    const Fields& fields) {
  return Writer(Kind::reply, protocol::callMethod, sequenceNumber)
      .field(exception, Type::structure)
      .field(protocol::declaredExceptionFields, Type::map)
      .fields(fields)
      .stop()
      .stop()
      .finish();
}

/// Encodes the Thrift application exception, which any service may send in place of a reply.
std::string encodeApplicationException(std::string_view method, std::int32_t sequenceNumber,
                                       std::string_view text, std::int32_t type) {
  return Writer(Kind::exception, method, sequenceNumber)
      .field(protocol::applicationExceptionText, Type::text)
      .text(text)
      .field(protocol::applicationExceptionType, Type::i32)
      .i32(type)
      .stop()
      .finish();
}

}  // namespace

std::string_view describe(FailureReason reason) {
  switch (reason) {
    case FailureReason::tooManyInFlight:
      return "too many reqs in hand";
    case FailureReason::duplicateName:
      return "its id is in hand already";
    case FailureReason::tooManyKeys:
      return "too many keys are retained";
    case FailureReason::conflictingPayload:
      return "its key came with another content";
    case FailureReason::executionFailed:
      return "failed";
    case FailureReason::failedByPolicy:
      return "given up";
    case FailureReason::originalFailed:
      return "the first try failed";
  }
  return {};
}

std::string describe(const InvalidRequest& fault) {
  switch (fault.reason) {
    case InvalidRequest::Reason::fieldMissing:
      return fmt::format("field {}: missing", fault.field);
    case InvalidRequest::Reason::fieldInvalid:
      return fmt::format("field {}: impossible", fault.field);
    case InvalidRequest::Reason::bodyTooLarge:
      return "a body over 2 KiB";
    case InvalidRequest::Reason::tooManyOpenRequests:
      return "more open than the protocol allows";
  }
  return {};
}

std::string encodeHealth(std::int32_t sequenceNumber, const ReportedStatus& status) {
  return encodeSuccess(protocol::healthMethod, sequenceNumber, {}, status);
}

std::string encodeResult(std::int32_t sequenceNumber, std::string_view result, const ReportedStatus& status) {
  return encodeSuccess(protocol::callMethod, sequenceNumber, result, status);
}

std::string encodeShed(std::int32_t sequenceNumber, Duration retryAfter, bool discourageRetry,
                       const ReportedStatus& status) {
  auto fields = commonFields(status);
  if (const auto millis = std::chrono::round<std::chrono::milliseconds>(retryAfter); millis > 0ms)
    fields.emplace(protocol::retryAfter, std::to_string(millis.count()));
  if (discourageRetry) fields.emplace(protocol::discourageRetry, "1");
  return encodeDeclaredException(sequenceNumber, protocol::replyOverloaded, fields);
}

std::string encodeFailure(std::int32_t sequenceNumber, FailureReason reason, const ReportedStatus& status) {
  auto fields = commonFields(status);
  fields.emplace(protocol::failureReason, describe(reason));
  return encodeDeclaredException(sequenceNumber, protocol::replyInternalError, fields);
}

std::string encodeInvalidRequest(std::int32_t sequenceNumber, const InvalidRequest& fault) {
  return encodeApplicationException(protocol::callMethod, sequenceNumber, describe(fault),
                                    protocol::internalErrorType);
}

std::string encodeUnknownMethod(const UnknownMethodMessage& message) {
  return encodeApplicationException(message.method, message.sequenceNumber, "unknown method",
                                    protocol::unknownMethodType);
}

std::string encodeCloseRequest() { return Writer(Kind::oneway, protocol::closingMethod, 0).stop().finish(); }

}  // namespace rainhook::peers
