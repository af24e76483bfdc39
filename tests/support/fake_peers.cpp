#include "support/fake_peers.h"

#include <chrono>

#include "codec/json_lines.h"

namespace rainhook {

std::uint64_t ScriptedEngine::acceptConnection(const char* startState) {
  const std::uint64_t lastRead = acceptSubscription();
  sendHandshake(startState);
  return lastRead;
}

std::uint64_t ScriptedEngine::acceptSubscription() {
  constexpr std::uint64_t noSubscription = 99;
  connection = TestConnection::accept(socket);
  const auto subscription = connection.receive(codec::jsonLines::readLine);
  return subscription ? subscription->object.value("serial", noSubscription) : noSubscription;
}

void ScriptedEngine::sendHandshake(const char* startState) {
  send({{"msg", "greeting"}, {"how", startState}, {"duration", 5.0}});
}

void ScriptedEngine::send(const nlohmann::json& message) {
  connection.send(codec::jsonLines::writeLine(message));
}

nlohmann::json ScriptedEngine::nextCommand() {
  const nlohmann::json noCommand = {{"msg", "none"}};
  const auto end = std::chrono::steady_clock::now() + TestConnection::timeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto line = connection.receive(codec::jsonLines::readLine);
    if (!line) return noCommand;
    if (line->object["msg"] != "sample") return line->object;
    send({{"msg", "sampled"}, {"cookie", line->object["cookie"]}, {"stats", gauges}});
  }
  return noCommand;
}

std::string ScriptedEngine::nextStartedRequest() {
  const auto command = nextCommand();
  return command.value("msg", "") == "launch" ? command.value("call", "") : command.dump();
}

void ScriptedEngine::endExecution(const std::string& requestName, const char* outcome,
                                  std::string_view result) {
  send({{"msg", "outcome"},
        {"serial", ++lastNotificationNumber},
        {"call", requestName},
        {"how", outcome},
        {"duration", 12.5},
        {"blob", codec::jsonLines::toBase64(result)}});
}

void ScriptedEngine::rejectStart(const std::string& requestName) {
  send({{"msg", "refusal"}, {"how", "launch"}, {"call", requestName}});
}

void ScriptedEngine::requestDownstreamCall(const std::string& requestName, std::string_view body) {
  send({{"msg", "request"},
        {"serial", ++lastNotificationNumber},
        {"call", requestName},
        {"blob", codec::jsonLines::toBase64(body)}});
}

}  // namespace rainhook
