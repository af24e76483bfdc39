// witness and members: a member without a server, and what a running instance sees of the others.
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <signal.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "commands/commands.h"
#include "membership_transport/membership_transport.h"
#include "options/options.h"
#include "server/incarnation_store.h"
#include "server/membership_service.h"

namespace rainhook::commands {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

po::options_description described(const char* title) {
  po::options_description out(title);
  out.add_options()(
      "options", po::value<std::string>()->default_value(fromEnvironment("RAINHOOK_OPTIONS")),
      "our own settings, with a section membership; where absent the file that RAINHOOK_OPTIONS names")(
      "help", "this page");
  return out;
}

membership::MembersPlace placeIn(const po::variables_map& given) {
  const auto own = options::readOptionsFile(given["options"].as<std::string>());
  if (!own.membership) throw Misuse("the settings have no section membership");
  return *own.membership;
}

std::uint64_t drawn() { return (std::uint64_t{std::random_device{}()} << 32) | std::random_device{}(); }

constexpr const char* usage = R"(usage: rainhook members [COMMAND] --options FILE [--at ADDRESS] [options]

  (none)         the members, a row each, as the instance asked sees them
  watch          the same again and again: a line for each change, until it is ended
  zones          what the zones do together, a row each, and how old the oldest part of it is
  explain NAME   why that member is in its state: which probes failed, which witnesses, what is waited for

Status 1: nobody answers at that address, under that key.

)";

// Asks a running instance over its membership port; throws Poco::Exception where nobody answers.
class Asking {
 public:
  Asking(const membership::MembersPlace& place, const std::string& at) : seal_(place.keys, drawn()) {
    const auto where = membershipTransport::literal(at);
    if (!where) throw Misuse(fmt::format("members: '{}' is no address of the form 127.0.0.1:7101", at));
    where_ = *where;
  }
  json answer(const json& question) {
    Poco::Net::StreamSocket socket;
    socket.connect(where_, patience);
    socket.setReceiveTimeout(patience);
    const auto out = membershipTransport::framed(seal_.sealed(membershipTransport::question + question.dump()));
    for (std::size_t sent = 0; sent < out.size();)
      sent +=
          static_cast<std::size_t>(socket.sendBytes(out.data() + sent, static_cast<int>(out.size() - sent)));
    std::string head = take(socket, 4);
    std::size_t length = 0;
    for (const char c : head) length = length << 8 | static_cast<unsigned char>(c);
    if (length > most) throw Poco::DataFormatException("an answer that is too long");
    const std::string sealed = take(socket, length);
    const auto opened = seal_.opened(sealed);
    if (!opened || opened->empty() || opened->front() != membershipTransport::answerTo)
      throw Poco::DataFormatException("an answer under another key");
    return json::parse(opened->substr(1));
  }

 private:
  static std::string take(Poco::Net::StreamSocket& socket, std::size_t size) {
    std::string out(size, '\0');
    for (std::size_t got = 0; got < size;) {
      const int more = socket.receiveBytes(out.data() + got, static_cast<int>(size - got));
      if (more <= 0) throw Poco::IOException("the connection was closed: another key?");
      got += static_cast<std::size_t>(more);
    }
    return out;
  }
  static constexpr std::size_t most = 16 << 20;
  const Poco::Timespan patience{3, 0};
  membershipTransport::MessageAuthenticator seal_;
  Poco::Net::SocketAddress where_;
};

std::string rowOf(const json& member) {
  return fmt::format("{:<16} {:<21} {:<12} {:<10} {:<8} {:>5} {:<9} {}", member.at("name").get<std::string>(),
                     member.at("address").get<std::string>(), member.at("zone").get<std::string>(),
                     member.at("region").get<std::string>(), member.at("state").get<std::string>(),
                     member.at("incarnation").get<std::uint64_t>(),
                     member.at("reachable").get<bool>() ? "yes" : "no",
                     member.at("phase").get<std::string>());
}

int table(Asking& asking, bool asJson) {
  const auto told = asking.answer({{"what", "table"}});
  if (asJson) return std::cout << told.at("members").dump(2) << '\n', fine;
  fmt::print("{:<16} {:<21} {:<12} {:<10} {:<8} {:>5} {:<9} {}\n", "name", "address", "zone", "region",
             "state", "inc", "reachable", "phase");
  for (const auto& member : told.at("members")) fmt::print("{}\n", rowOf(member));
  if (told.at("doubtful").get<bool>())
    fmt::print("{} says that its view is in doubt\n", told.at("asked").get<std::string>());
  return fine;
}

int watch(Asking& asking) {
  std::map<std::string, std::string> before;
  for (;; std::this_thread::sleep_for(std::chrono::milliseconds(500))) {
    std::map<std::string, std::string> rows;
    for (const auto& member : asking.answer({{"what", "table"}}).at("members"))
      rows[member.at("name").get<std::string>()] = rowOf(member);
    for (const auto& [name, row] : rows)
      if (const auto it = before.find(name); it == before.end() || it->second != row)
        std::cout << row << '\n';
    for (const auto& [name, row] : before)
      if (!rows.contains(name)) std::cout << name << " is forgotten\n";
    std::cout << std::flush;
    before = std::move(rows);
  }
}

int zones(Asking& asking, bool asJson) {
  const auto told = asking.answer({{"what", "zones"}}).at("zones");
  if (asJson) return std::cout << told.dump(2) << '\n', fine;
  const auto line = [](const auto&... part) {
    fmt::print("{:<12} {:<10} {:>7} {:>7} {:>5} {:>5} {:>7} {:>7} {:>8} {:>8} {:>5} {:>9} {}\n", part...);
  };
  line("zone", "region", "members", "serving", "cold", "unfit", "limit", "running", "read/s", "done/s",
       "held", "oldest ms", "");
  for (const auto& zone : told) {
    const auto count = [&](const char* of) { return zone.at(of).get<std::uint64_t>(); };
    const auto figure = [&](const char* of) { return fmt::format("{:.1f}", zone.at(of).get<double>()); };
    line(zone.at("zone").get<std::string>(), zone.at("region").get<std::string>(), count("members"),
         count("serving"), count("cold"), count("unfit"), figure("limit"), figure("running"),
         figure("read_a_second"), figure("done_a_second"),
         fmt::format("{:.2f}", zone.at("held_back").get<double>()), count("oldest_ms"),
         zone.at("silent").get<bool>() ? "silent" : "");
  }
  return fine;
}

int explain(Asking& asking, const std::string& name) {
  const auto lines = asking.answer({{"what", "explain"}, {"name", name}}).at("lines");
  if (lines.empty()) throw Misuse("members: nobody is known under the name " + name);
  for (const auto& line : lines) fmt::print("{}\n", line.get<std::string>());
  return fine;
}

}  // namespace

int witness(const Words& words) {
  const auto options = described("options of witness");
  const auto given = read(words, options);
  if (given.count("help")) return std::cout << "usage: rainhook witness --options FILE\n\n" << options, fine;
  const auto place = placeIn(given);
  const auto own = options::readOptionsFile(given["options"].as<std::string>());
  signal(SIGPIPE, SIG_IGN);
  logging::Log log(own.log && own.log->json ? logging::Log::Format::json : logging::Log::Format::text,
                   place.name.text);
  net::Reactor reactor;
  net::BufferPool pool;
  int status = fine;
  net::Reactor::Timer ending;
  std::optional<membershipTransport::MembershipTransport> members;
  reactor.onSignals({SIGTERM, SIGINT}, [&](int) {
    if (!members) return reactor.stop();
    members->leave();
    ending = reactor.after(members->core().leaveTakes(), [&] { reactor.stop(); });
  });
  server::IncarnationStore kept(reactor, log, place);
  members.emplace(reactor, pool, log, place, kept.open(), drawn(), [&](const membership::Change& change) {
    if (change.what == membership::Change::What::astray) {
      fmt::print(stderr, "rainhook: {}\n", server::astray(place, change.who));
      status = misused;
      return reactor.stop();
    }
    if (change.what != membership::Change::What::refused) return;
    fmt::print(stderr, "rainhook: the name {} is held by the living instance at {}\n", place.name.text,
               change.who.address.text);
    status = cannotServe;
    reactor.stop();
  });
  try {
    members->open();
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: can't listen at {}: {}\n", place.listen.text, error.displayText());
    return cannotServe;
  }
  kept.follow(*members);
  membership::Digest observer;
  members->say(observer);
  reactor.run();
  members.reset();
  reactor.releaseRetired();
  return status;
}

int members(const Words& words) {
  auto options = described("options of members");
  options.add_options()("at", po::value<std::string>(),
                        "the instance to ask; where absent the one of the settings")(
      "json", po::bool_switch(), "as a JSON array")("command", po::value<std::string>()->default_value(""),
                                                    "watch, zones or explain")(
      "name", po::value<std::string>()->default_value(""), "explain: the member, also as the word behind it");
  const auto given = read(words, options, {"command", "name"});
  const auto command = given["command"].as<std::string>(), name = given["name"].as<std::string>();
  if (given.count("help") || command == "help") return std::cout << usage << options, fine;
  if (!command.empty() && command != "watch" && command != "explain" && command != "zones")
    throw Misuse("unknown command 'members " + command + "'");
  if ((command == "explain") != !name.empty())
    throw Misuse(name.empty() ? "members explain: the name is missing" : "members: no name is wanted");
  const auto place = placeIn(given);
  Asking asking(place, given.count("at") ? given["at"].as<std::string>() : place.advertise.text);
  try {
    if (command == "watch") return watch(asking);
    if (command == "zones") return zones(asking, given["json"].as<bool>());
    if (command == "explain") return explain(asking, name);
    return table(asking, given["json"].as<bool>());
  } catch (const Poco::Exception& error) {
    fmt::print(stderr, "rainhook: members: nobody answers: {}\n", error.displayText());
  } catch (const json::exception&) {
    fmt::print(stderr, "rainhook: members: the answer can't be read: another release?\n");
  }
  return absent;
}

}  // namespace rainhook::commands
