#include "commands/store_dump_commands.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "commands/commands.h"
#include "commands/store_entry_commands.h"

namespace rainhook::commands {
namespace {

using store::StoreStatus;

/// The names of the JSON members of a line.
constexpr const char* keyMember = "key";
constexpr const char* valueMember = "value";
constexpr const char* expiryMember = "good_until_ms";

std::string encodeBase64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string decodeBase64Member(const nlohmann::json& line, const char* member, std::uint64_t lineNumber) {
  const auto found = line.find(member);
  if (found == line.end() || !found->is_string())
    throw StoreCommandError(
        fmt::format("line {}: member '{}' is missing or not a string", lineNumber, member));
  const auto text = found->get<std::string>();
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string out;
  try {
    out = readAllInput(decoder);
  } catch (const Poco::Exception&) {
    throw StoreCommandError(fmt::format("line {}: member '{}' is not valid base64", lineNumber, member));
  }
  // The decoder ignores invalid characters, so the result is encoded again and compared.
  if (encodeBase64(out) != text)
    throw StoreCommandError(fmt::format("line {}: member '{}' is not valid base64", lineNumber, member));
  return out;
}

/// Throws StoreCommandError if the line is not a valid entry.
store::WriteRequest parseEntry(const std::string& text, std::uint64_t lineNumber) {
  const auto line = nlohmann::json::parse(text, nullptr, false);
  if (!line.is_object()) throw StoreCommandError(fmt::format("line {}: not a JSON object", lineNumber));
  const std::string key = decodeBase64Member(line, keyMember, lineNumber);
  const std::string value = decodeBase64Member(line, valueMember, lineNumber);
  auto out = store::WriteRequest::put(key, value);
  const auto expiry = line.find(expiryMember);
  if (expiry == line.end()) return out;
  if (!expiry->is_number_integer())
    throw StoreCommandError(fmt::format("line {}: member 'good_until_ms' is not an integer", lineNumber));
  out.expiry = store::UnixTime(std::chrono::milliseconds(expiry->get<std::int64_t>()));
  return out;
}

}  // namespace

int dumpStore(StoreSession& session) {
  store::Store& store = session.openStore();
  int status = exitSuccess;
  forEachEntry(store, ListOrder::byAge, [&](const store::ScanPage::Row& row) {
    const auto read = store.get(row.key);
    if (!read.value) {
      if (read.status.isOk()) return;
      fmt::print(stderr, "store: skipped an entry that can't be read: {}\n", read.status.message);
      status = exitDamaged;
      return;
    }
    nlohmann::json line{{keyMember, encodeBase64(row.key)}, {valueMember, encodeBase64(*read.value)}};
    if (row.expiry != store::neverExpires) line[expiryMember] = row.expiry.time_since_epoch().count();
    std::cout << line.dump() << '\n';
  });
  std::cout << std::flush;
  return status;
}

int loadStore(StoreSession& session) {
  store::Store& store = session.openStore();
  StoreStatus lastFailure;
  std::uint64_t durableEntries = 0;
  std::uint64_t lineNumber = 0;
  const auto onDone = [&](const StoreStatus& status) {
    if (status.isOk())
      ++durableEntries;
    else
      lastFailure = status;
  };
  std::string text;
  while (lastFailure.isOk() && std::getline(std::cin, text)) {
    const store::WriteRequest entry = parseEntry(text, ++lineNumber);
    session.retryWhileQueueIsFull([&] { return store.put(entry.key, entry.value, entry.expiry, onDone); });
    store.dispatchCompletions();
  }
  store.waitUntilIdle();
  requireSuccess(lastFailure);
  fmt::print("loaded {} entries\n", durableEntries);
  return exitSuccess;
}

}  // namespace rainhook::commands
