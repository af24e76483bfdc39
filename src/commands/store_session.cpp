#include "commands/store_session.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <iterator>
#include <random>

#include "commands/commands.h"
#include "options/options.h"
#include "store/posix_disk.h"

namespace rainhook::commands {
namespace {

constexpr std::uint64_t maxLifetimeSeconds = std::uint64_t{100} * 366 * 24 * 3600;

store::UnixTime systemTime() {
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::uint64_t randomSeed() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32) + device();
}

}  // namespace

void requireSuccess(const store::StoreStatus& status) {
  if (!status.isOk()) throw StoreCommandError(status.message);
}

std::string readAllInput(std::istream& in) { return {std::istreambuf_iterator<char>(in), {}}; }

StoreSession::StoreSession(const boost::program_options::variables_map& options) : options_(options) {
  const auto fileOptions = options::readOptionsFile(options["options"].as<std::string>());
  if (fileOptions.store) {
    folder_ = fileOptions.store->folder;
    settings_ = fileOptions.store->bounds;
  }
  if (options.count("dir")) folder_ = options["dir"].as<std::string>();
  if (folder_.empty())
    throw UsageError(
        "store: the folder is missing; give --dir FOLDER or an options file with a store section");
}

store::Store& StoreSession::openStore() {
  if (store_) return *store_;
  store_ = std::make_unique<store::Store>(
      std::make_unique<store::PosixDisk>(folder_), settings_, systemTime,
      [](const std::string& line) { fmt::print(stderr, "store: {}\n", line); });
  requireSuccess(store_->open(randomSeed()));
  return *store_;
}

std::string StoreSession::key() const {
  if (!options_.count("key")) throw UsageError("store: the argument KEY is missing");
  return options_["key"].as<std::string>();
}

store::UnixTime StoreSession::expiry() const {
  if (!options_.count("for")) return store::neverExpires;
  const auto seconds = options_["for"].as<std::uint64_t>();
  if (seconds == 0 || seconds > maxLifetimeSeconds)
    throw UsageError(
        fmt::format("store: --for must be from 1 to {} seconds, but is {}", maxLifetimeSeconds, seconds));
  return systemTime() + std::chrono::seconds(seconds);
}

void StoreSession::retryWhileQueueIsFull(const std::function<store::StoreStatus()>& call) {
  for (auto status = call(); !status.isOk(); status = call()) {
    if (status.code != store::StoreErrorCode::queueFull) throw StoreCommandError(status.message);
    store_->waitUntilIdle();
  }
}

}  // namespace rainhook::commands
