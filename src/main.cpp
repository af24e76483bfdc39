// The command line of the server.
#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "facts/facts.h"
#include "net/log.h"
#include "net/reactor.h"
#include "server/server.h"

namespace {

using namespace rainhook;

struct Given {
  server::Place place;
  Facts facts;
};

Given read(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw FactsError("the configuration can't be read: " + file);
  const auto json = nlohmann::json::parse(in);
  Given given;
  server::Place& place = given.place;
  place.name = json.at("name").get<std::string>();
  place.listen = json.at("listen").get<std::string>();
  place.engine = json.at("agent").get<std::string>();
  place.list = json.value("roster", "");
  place.next = json.value("backend", "");
  place.seed = Seed{std::stoull(json.value("seed", "0"), nullptr, 16)};
  place.stopAfter = std::chrono::milliseconds(json.value("stop_ms", 3000));
  if (const auto limits = json.find("limits"); limits != json.end())
    place.descriptors = limits->value("sockets", place.descriptors);
  given.facts = readFacts(pairsOfJson(json.at("settings")));
  return given;
}

int serve(const std::string& file) {
  net::Log log;
  const Given given = read(file);
  signal(SIGPIPE, SIG_IGN);
  net::Reactor reactor;
  server::Server server(reactor, log, given.place, given.facts);
  reactor.onSignals({SIGTERM, SIGINT}, [&](int) { server.leave(); });
  server.open();
  reactor.run();
  return 0;
}

}  // namespace

int main() {
  const char* file = std::getenv("GW_CONFIG");
  try {
    return serve(file ? file : "");
  } catch (const std::exception& error) {
    std::cerr << "rainhook: " << error.what() << '\n';
    return 2;
  }
}
