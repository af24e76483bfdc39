// store: look into a store, check it, change it. Each takes the folder's lock, so none works beside a process
// that has it open.
#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "commands/commands.h"
#include "options/options.h"
#include "store/posix_disk.h"
#include "store/store.h"
#include "store/verify.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;
using store::ScanPage;
using store::Store;
using store::StoreErrorCode;
using store::StoreStatus;
using store::UnixTime;

constexpr const char* usage = R"(usage: rainhook store COMMAND --dir D [options]

  put KEY       keep what standard input holds; returns once it is on the disk
  put --lines   the same for each line KEY<TAB>VALUE; prints each key once it is on the disk
  get KEY       write the value to standard output; status 1 where there is none
  erase KEY     forget it; returns once that is on the disk
  list          the keys in order, or with --by-age the oldest first
  stats         what the store holds and has done, name=value a line
  verify        read everything, say what is damaged; status 3 where something is
  compact       write anew whatever holds anything dead
  snapshot      copy the store into an empty folder (--to)
  dump          all entries as JSON lines, keys and values in base64
  load          take such lines from standard input

)";

UnixTime now() { return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()); }

po::options_description described() {
  po::options_description out("options of store");
  out.add_options()("dir", po::value<std::string>(),
                    "the store's folder; made by put and load where it is absent")(
      "options", po::value<std::string>()->default_value(fromEnvironment("RAINHOOK_OPTIONS")),
      "our own settings, for the store's bounds, and for its folder where --dir is absent")(
      "command", po::value<std::string>(), "what to do, as the first word")(
      "key", po::value<std::string>(), "the key, also as the word behind the command")(
      "for", po::value<std::uint64_t>(), "put: seconds that it is good for; for ever where absent")(
      "lines", po::bool_switch(), "put: many, a line each")("by-age", po::bool_switch(),
                                                            "list: the oldest first")(
      "long", po::bool_switch(), "list: with the end in milliseconds of Unix time, and the bytes on disk")(
      "to", po::value<std::string>(), "snapshot: the folder to make")("help", "this page");
  return out;
}

// A fault of the store, with the status to end with.
struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Session {
 public:
  explicit Session(const po::variables_map& given) : given_(given) {
    const auto own = options::readOptionsFile(given["options"].as<std::string>());
    if (own.store) folder_ = own.store->folder, bounds_ = own.store->bounds;
    if (given.count("dir")) folder_ = given["dir"].as<std::string>();
    if (folder_.empty()) throw Misuse("store: --dir is missing");
  }

  const std::string& folder() const { return folder_; }

  Store& store() {
    store_ =
        std::make_unique<Store>(std::make_unique<store::PosixDisk>(folder_), bounds_, now,
                                [](const std::string& line) { fmt::print(stderr, "store: {}\n", line); });
    must(store_->open((std::uint64_t{std::random_device{}()} << 32) + std::random_device{}()));
    return *store_;
  }

  std::string key() const {
    if (!given_.count("key")) throw Misuse("store: the key is missing");
    return given_["key"].as<std::string>();
  }

  UnixTime expiry() const {
    if (!given_.count("for")) return store::neverExpires;
    const auto wanted = given_["for"].as<std::uint64_t>();
    constexpr std::uint64_t most = std::uint64_t{100} * 366 * 24 * 3600;
    if (wanted == 0 || wanted > most) throw Misuse("store: --for takes 1 to 3162240000 seconds");
    return now() + std::chrono::seconds(wanted);
  }

  static void must(const StoreStatus& outcome) {
    if (!outcome.isOk()) throw Failed(outcome.message);
  }

  // Waits where the queue is full, as a command may.
  template <typename Try>
  void take(Try attempt) {
    for (auto outcome = attempt(); !outcome.isOk(); outcome = attempt()) {
      if (outcome.code != StoreErrorCode::queueFull) throw Failed(outcome.message);
      store_->waitUntilIdle();
    }
  }

 private:
  const po::variables_map& given_;
  std::string folder_;
  store::StoreSettings bounds_;
  std::unique_ptr<Store> store_;
};

std::string all(std::istream& in) { return {std::istreambuf_iterator<char>(in), {}}; }

int put(Session& session, bool lines) {
  const auto until = session.expiry();
  const auto key = lines ? std::string() : session.key();
  Store& store = session.store();
  StoreStatus last;
  const auto heard = [&last, lines](const std::string& of) {
    return [&last, lines, of](const StoreStatus& outcome) {
      if (!outcome.isOk()) {
        last = outcome;
      } else if (lines) {
        std::cout << of << '\n' << std::flush;
      }
    };
  };
  if (!lines) {
    const auto value = all(std::cin);
    session.take([&] { return store.put(key, value, until, heard(key)); });
  }
  for (std::string line; lines && last.isOk() && std::getline(std::cin, line);) {
    const auto tab = line.find('\t');
    if (tab == std::string::npos || tab == 0) throw Failed("a line is no KEY<TAB>VALUE");
    const auto own = line.substr(0, tab);
    session.take([&] { return store.put(own, line.substr(tab + 1), until, heard(own)); });
    store.dispatchCompletions();
  }
  store.waitUntilIdle();
  Session::must(last);
  return fine;
}

int get(Session& session) {
  const auto key = session.key();
  const auto got = session.store().get(key);
  Session::must(got.status);
  if (!got.value) return absent;
  std::cout << *got.value << std::flush;
  return fine;
}

int erase(Session& session) {
  const auto key = session.key();
  Store& store = session.store();
  StoreStatus last;
  session.take([&] { return store.erase(key, [&](const StoreStatus& outcome) { last = outcome; }); });
  store.waitUntilIdle();
  Session::must(last);
  return fine;
}

// All rows, a page at a time.
template <typename Hear>
void rows(const Store& store, bool scanByAge, Hear hear) {
  constexpr std::size_t page = 1000;
  std::optional<store::KeyIndex::AgeCursor> age;
  std::string key;
  for (bool first = true;; first = false) {
    const ScanPage got = scanByAge ? store.scanByAge(age, page) : store.scanByKey(key, !first, page);
    for (const auto& row : got.rows) hear(row);
    if (!got.hasMore) return;
    key = got.rows.back().key;
    age = {key, got.rows.back().sequence};
  }
}

std::int64_t millis(UnixTime time) { return time.time_since_epoch().count(); }

int list(Session& session, bool scanByAge, bool longer) {
  rows(session.store(), scanByAge, [longer](const ScanPage::Row& row) {
    std::cout << row.key;
    if (longer)
      std::cout << '\t' << (row.expiry == store::neverExpires ? "-" : std::to_string(millis(row.expiry)))
                << '\t' << row.bytes;
    std::cout << '\n';
  });
  std::cout << std::flush;
  return fine;
}

int stats(Session& session) {
  const auto statistics = session.store().statistics();
  const auto& s = statistics.book;
  const std::pair<const char*, std::uint64_t> all[] = {
      {"entries", s.entries},
      {"gone_remembered", s.tombstones},
      {"index_bytes", s.indexBytes},
      {"folder_bytes", s.folderBytes},
      {"folder_most", s.peakFolderBytes},
      {"living_bytes", s.liveBytes},
      {"aside_files", s.quarantinedFiles},
      {"expired", s.expiredEntries},
      {"aged_out", s.agedOutEntries},
      {"lost_files", s.lostFiles},
      {"lost_records", s.lostRecords},
      {"lost_bytes", s.lostBytes},
      {"torn_bytes", s.tornBytes},
      {"doubted", s.discardedEntries},
      {"hints_rebuilt", s.hintsRebuilt},
      {"failed_syncs", s.failedSyncs},
  };
  for (const auto& [name, value] : all) fmt::print("{}={}\n", name, value);
  return fine;
}

int verify(const Session& session) {
  store::PosixDisk disk(session.folder());
  if (const auto locked = disk.lock(store::lockFileName); locked.error)
    throw Failed(fmt::format("the store is open in process {}", locked.holder));
  store::VerificationReport found;
  if (const auto error = store::verify(disk, found)) throw Failed("the folder: " + error.message());
  for (const auto& row : found.notes)
    fmt::print("note: {} at {}, {} bytes: {}\n", row.file, row.offset, row.bytes, row.what);
  for (const auto& row : found.damage)
    fmt::print("damage: {} at {}, {} bytes: {}\n", row.file, row.offset, row.bytes, row.what);
  fmt::print("{} segments, {} records, {} bytes, {} damaged places\n", found.segments, found.records,
             found.bytes, found.damage.size());
  return found.damage.empty() ? fine : damaged;
}

int compact(Session& session) {
  Store& store = session.store();
  const auto before = store.statistics().book.folderBytes;
  StoreStatus last;
  Session::must(store.compact([&](const StoreStatus& outcome) { last = outcome; }));
  store.waitUntilIdle();
  Session::must(last);
  fmt::print("{} bytes before, {} after\n", before, store.statistics().book.folderBytes);
  return fine;
}

int snapshot(Session& session, const std::string& to) {
  Store& store = session.store();
  StoreStatus last;
  Session::must(
      store.snapshot(std::make_unique<store::PosixDisk>(to), [&](const StoreStatus& o) { last = o; }));
  store.waitUntilIdle();
  Session::must(last);
  return fine;
}

std::string base64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string plain(const nlohmann::json& line, const char* name) {
  const auto at = line.find(name);
  if (at == line.end() || !at->is_string()) throw Failed(fmt::format("a line has no text under {}", name));
  std::istringstream in(at->get<std::string>());
  Poco::Base64Decoder decoder(in);
  std::string out;
  try {
    out = all(decoder);
  } catch (const Poco::Exception&) {
    throw Failed(fmt::format("{} is no base64", name));
  }
  if (base64(out) != at->get<std::string>()) throw Failed(fmt::format("{} is no base64", name));
  return out;
}

int dump(Session& session) {
  Store& store = session.store();
  int status = fine;
  rows(store, true, [&](const ScanPage::Row& row) {
    const auto got = store.get(row.key);
    if (!got.value) {
      if (!got.status.isOk()) fmt::print(stderr, "store: {}\n", got.status.message), status = damaged;
      return;
    }
    nlohmann::json line{{"key", base64(row.key)}, {"value", base64(*got.value)}};
    if (row.expiry != store::neverExpires) line["good_until_ms"] = millis(row.expiry);
    std::cout << line.dump() << '\n';
  });
  std::cout << std::flush;
  return status;
}

int load(Session& session) {
  Store& store = session.store();
  StoreStatus last;
  std::uint64_t taken = 0, number = 0;
  for (std::string text; last.isOk() && std::getline(std::cin, text);) {
    ++number;
    const auto line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object()) throw Failed(fmt::format("line {} is no JSON object", number));
    const auto key = plain(line, "key"), value = plain(line, "value");
    const auto end = line.find("good_until_ms");
    if (end != line.end() && !end->is_number_integer())
      throw Failed(fmt::format("line {}: good_until_ms is no whole number", number));
    const auto until = end == line.end() ? store::neverExpires
                                         : UnixTime(std::chrono::milliseconds(end->get<std::int64_t>()));
    session.take([&] {
      return store.put(key, value, until, [&](const StoreStatus& outcome) {
        outcome.isOk() ? void(++taken) : void(last = outcome);
      });
    });
    store.dispatchCompletions();
  }
  store.waitUntilIdle();
  Session::must(last);
  fmt::print("{} entries are on the disk\n", taken);
  return fine;
}

}  // namespace

int store(const Words& words) {
  const auto given = read(words, described(), {"command", "key"});
  const auto command = given.count("command") ? given["command"].as<std::string>() : std::string();
  if (words.empty() || given.count("help") || command == "help") {
    std::cout << usage << described();
    return words.empty() ? misused : fine;
  }
  if (command.empty()) throw Misuse("store: no command is given");
  Session session(given);
  try {
    if (command == "put") return put(session, given["lines"].as<bool>());
    if (command == "get") return get(session);
    if (command == "erase") return erase(session);
    if (command == "list") return list(session, given["by-age"].as<bool>(), given["long"].as<bool>());
    if (command == "stats") return stats(session);
    if (command == "verify") return verify(session);
    if (command == "compact") return compact(session);
    if (command == "dump") return dump(session);
    if (command == "load") return load(session);
    if (command == "snapshot" && !given.count("to")) throw Misuse("store snapshot: --to is missing");
    if (command == "snapshot") return snapshot(session, given["to"].as<std::string>());
  } catch (const Failed& error) {
    fmt::print(stderr, "rainhook: store: {}\n", error.what());
    return faulty;
  }
  throw Misuse("unknown command 'store " + command + "'");
}

}  // namespace rainhook::commands
