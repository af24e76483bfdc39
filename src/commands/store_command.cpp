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

#include "commands/command_line.h"
#include "options/options.h"
#include "store/posix_disk.h"
#include "store/store.h"
#include "store/verify.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;
using store::Outcome;
using store::Page;
using store::Store;
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
      "options", po::value<std::string>()->default_value(environmentVariable("RAINHOOK_OPTIONS")),
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
    if (folder_.empty()) throw UsageError("store: --dir is missing");
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
    if (!given_.count("key")) throw UsageError("store: the key is missing");
    return given_["key"].as<std::string>();
  }

  UnixTime goodUntil() const {
    if (!given_.count("for")) return store::forever;
    const auto wanted = given_["for"].as<std::uint64_t>();
    constexpr std::uint64_t most = std::uint64_t{100} * 366 * 24 * 3600;
    if (wanted == 0 || wanted > most) throw UsageError("store: --for takes 1 to 3162240000 seconds");
    return now() + std::chrono::seconds(wanted);
  }

  static void must(const Outcome& outcome) {
    if (!outcome.ok()) throw Failed(outcome.what);
  }

  // Waits where the queue is full, as a command may.
  template <typename Try>
  void take(Try attempt) {
    for (auto outcome = attempt(); !outcome.ok(); outcome = attempt()) {
      if (outcome.code != Outcome::Code::queueFull) throw Failed(outcome.what);
      store_->settle();
    }
  }

 private:
  const po::variables_map& given_;
  std::string folder_;
  store::StoreBounds bounds_;
  std::unique_ptr<Store> store_;
};

std::string all(std::istream& in) { return {std::istreambuf_iterator<char>(in), {}}; }

int put(Session& session, bool lines) {
  const auto until = session.goodUntil();
  const auto key = lines ? std::string() : session.key();
  Store& store = session.store();
  Outcome last;
  const auto heard = [&last, lines](const std::string& of) {
    return [&last, lines, of](const Outcome& outcome) {
      if (!outcome.ok()) {
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
  for (std::string line; lines && last.ok() && std::getline(std::cin, line);) {
    const auto tab = line.find('\t');
    if (tab == std::string::npos || tab == 0) throw Failed("a line is no KEY<TAB>VALUE");
    const auto own = line.substr(0, tab);
    session.take([&] { return store.put(own, line.substr(tab + 1), until, heard(own)); });
    store.deliver();
  }
  store.settle();
  Session::must(last);
  return exitSuccess;
}

int get(Session& session) {
  const auto key = session.key();
  const auto got = session.store().get(key);
  Session::must(got.outcome);
  if (!got.value) return exitNotFound;
  std::cout << *got.value << std::flush;
  return exitSuccess;
}

int erase(Session& session) {
  const auto key = session.key();
  Store& store = session.store();
  Outcome last;
  session.take([&] { return store.erase(key, [&](const Outcome& outcome) { last = outcome; }); });
  store.settle();
  Session::must(last);
  return exitSuccess;
}

// All rows, a page at a time.
template <typename Hear>
void rows(const Store& store, bool byAge, Hear hear) {
  constexpr std::size_t page = 1000;
  std::optional<store::Index::Behind> age;
  std::string key;
  for (bool first = true;; first = false) {
    const Page got = byAge ? store.byAge(age, page) : store.byKey(key, !first, page);
    for (const auto& row : got.rows) hear(row);
    if (!got.more) return;
    key = got.rows.back().key;
    age = {key, got.rows.back().sequence};
  }
}

std::int64_t millis(UnixTime time) { return time.time_since_epoch().count(); }

int list(Session& session, bool byAge, bool longer) {
  rows(session.store(), byAge, [longer](const Page::Row& row) {
    std::cout << row.key;
    if (longer)
      std::cout << '\t' << (row.goodUntil == store::forever ? "-" : std::to_string(millis(row.goodUntil)))
                << '\t' << row.bytes;
    std::cout << '\n';
  });
  std::cout << std::flush;
  return exitSuccess;
}

int stats(Session& session) {
  const auto figures = session.store().figures();
  const auto& s = figures.book;
  const std::pair<const char*, std::uint64_t> all[] = {
      {"entries", s.entries},          {"gone_remembered", s.gone},     {"index_bytes", s.indexBytes},
      {"folder_bytes", s.folderBytes}, {"folder_most", s.folderMost},   {"living_bytes", s.livingBytes},
      {"aside_files", s.asideFiles},   {"expired", s.expired},          {"aged_out", s.agedOut},
      {"lost_files", s.lostFiles},     {"lost_records", s.lostRecords}, {"lost_bytes", s.lostBytes},
      {"torn_bytes", s.tornBytes},     {"doubted", s.doubted},          {"hints_rebuilt", s.hintsRebuilt},
      {"failed_syncs", s.failedSyncs},
  };
  for (const auto& [name, value] : all) fmt::print("{}={}\n", name, value);
  return exitSuccess;
}

int verify(const Session& session) {
  store::PosixDisk disk(session.folder());
  if (const auto locked = disk.lock(store::lockName); locked.fault)
    throw Failed(fmt::format("the store is open in process {}", locked.holder));
  store::Verified found;
  if (const auto fault = store::verify(disk, found)) throw Failed("the folder: " + fault.text());
  for (const auto& row : found.notes)
    fmt::print("note: {} at {}, {} bytes: {}\n", row.file, row.offset, row.bytes, row.what);
  for (const auto& row : found.damage)
    fmt::print("damage: {} at {}, {} bytes: {}\n", row.file, row.offset, row.bytes, row.what);
  fmt::print("{} segments, {} records, {} bytes, {} damaged places\n", found.segments, found.records,
             found.bytes, found.damage.size());
  return found.damage.empty() ? exitSuccess : exitDamaged;
}

int compact(Session& session) {
  Store& store = session.store();
  const auto before = store.figures().book.folderBytes;
  Outcome last;
  Session::must(store.compact([&](const Outcome& outcome) { last = outcome; }));
  store.settle();
  Session::must(last);
  fmt::print("{} bytes before, {} after\n", before, store.figures().book.folderBytes);
  return exitSuccess;
}

int snapshot(Session& session, const std::string& to) {
  Store& store = session.store();
  Outcome last;
  Session::must(store.snapshot(std::make_unique<store::PosixDisk>(to), [&](const Outcome& o) { last = o; }));
  store.settle();
  Session::must(last);
  return exitSuccess;
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
  int status = exitSuccess;
  rows(store, true, [&](const Page::Row& row) {
    const auto got = store.get(row.key);
    if (!got.value) {
      if (!got.outcome.ok()) fmt::print(stderr, "store: {}\n", got.outcome.what), status = exitDamaged;
      return;
    }
    nlohmann::json line{{"key", base64(row.key)}, {"value", base64(*got.value)}};
    if (row.goodUntil != store::forever) line["good_until_ms"] = millis(row.goodUntil);
    std::cout << line.dump() << '\n';
  });
  std::cout << std::flush;
  return status;
}

int load(Session& session) {
  Store& store = session.store();
  Outcome last;
  std::uint64_t taken = 0, number = 0;
  for (std::string text; last.ok() && std::getline(std::cin, text);) {
    ++number;
    const auto line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object()) throw Failed(fmt::format("line {} is no JSON object", number));
    const auto key = plain(line, "key"), value = plain(line, "value");
    const auto end = line.find("good_until_ms");
    if (end != line.end() && !end->is_number_integer())
      throw Failed(fmt::format("line {}: good_until_ms is no whole number", number));
    const auto until =
        end == line.end() ? store::forever : UnixTime(std::chrono::milliseconds(end->get<std::int64_t>()));
    session.take([&] {
      return store.put(key, value, until,
                       [&](const Outcome& outcome) { outcome.ok() ? void(++taken) : void(last = outcome); });
    });
    store.deliver();
  }
  store.settle();
  Session::must(last);
  fmt::print("{} entries are on the disk\n", taken);
  return exitSuccess;
}

}  // namespace

int store(const Arguments& words) {
  const auto given = parseArguments(words, described(), {"command", "key"});
  const auto command = given.count("command") ? given["command"].as<std::string>() : std::string();
  if (words.empty() || given.count("help") || command == "help") {
    std::cout << usage << described();
    return words.empty() ? exitUsageError : exitSuccess;
  }
  if (command.empty()) throw UsageError("store: no command is given");
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
    if (command == "snapshot" && !given.count("to")) throw UsageError("store snapshot: --to is missing");
    if (command == "snapshot") return snapshot(session, given["to"].as<std::string>());
  } catch (const Failed& fault) {
    fmt::print(stderr, "rainhook: store: {}\n", fault.what());
    return exitStoreError;
  }
  throw UsageError("unknown command 'store " + command + "'");
}

}  // namespace rainhook::commands
