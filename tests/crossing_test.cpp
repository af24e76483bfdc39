// Where two events cross, on real sockets: each test forces the order that docs/crossings.md names.
#include <gtest/gtest.h>

#include "fake_peers.h"

namespace rainhook {
namespace {

using What = Answer::What;
const std::string one = "00000000000000b1", two = "00000000000000b2", three = "00000000000000b3";

codec::thrift::Fields paid(const std::string& rid, const std::string& key = "k1") {
  auto fields = Balancer::fields(rid, "pay");
  fields["token"] = key;
  return fields;
}

// Settings.

TEST(CrossingSettings, AReqThatDoesNotTellItsPatienceIsServedWhereTheSettingsSaySo) {
  Peers w;
  w.settings["domain"]["passesDeadline"] = false;
  w.settings["classes"][0]["hardLimitNs"] = 600'000'000;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one);
  fields.erase("budget");
  client.ask(1, fields);
  EXPECT_EQ(w.launched(), one);
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  // It falls due its handler's client timeout after it came.
  const auto asked = std::chrono::steady_clock::now();
  fields = Balancer::fields(two);
  fields.erase("budget");
  client.ask(2, fields);
  EXPECT_EQ(w.launched(), two);
  EXPECT_EQ(client.answer().number, 2);
  EXPECT_LT(std::chrono::steady_clock::now() - asked, 650ms);
}

TEST(CrossingSettings, NumbersAreReadInEveryFormOfJsonAndWhatIsNoneIsRefusedByItsKey) {
  auto settings = Peers().settings;
  settings["domain"]["cores"] = 6.0;
  settings["classes"][0]["aimNs"] = 1.8e9;
  settings["domain"].erase("memoryKb");
  const DeploymentSettings facts = readDeploymentSettings(flattenSettingsJson(settings));
  EXPECT_EQ(facts.machine.cores, 6);
  EXPECT_EQ(facts.handlerPolicies[0].latencyObjective, 1800ms);
  EXPECT_GT(facts.machine.memoryKb, 1e9);  // none stated: none held against
  for (const auto& [key, value] : std::map<std::string, nlohmann::json>{{"/domain/cores", 1.5},
                                                                        {"/domain/memoryKb", -1},
                                                                        {"/classes/0/aimNs", 0},
                                                                        {"/classes/1/worth", "much"}}) {
    auto bad = settings;
    bad[nlohmann::json::json_pointer(key)] = value;
    if (key == "/classes/0/aimNs") bad["classes"][0].erase("hardLimitNs");
    try {
      static_cast<void>(readDeploymentSettings(flattenSettingsJson(bad)));
      ADD_FAILURE() << key;
    } catch (const ConfigurationError& fault) {
      auto path = key.substr(1);
      std::replace(path.begin(), path.end(), '/', '.');
      EXPECT_NE(std::string(fault.what()).find(path), std::string::npos) << fault.what();
    }
  }
  EXPECT_EQ(codec::http::segment("n3"), "n3");
  EXPECT_EQ(codec::http::segment("a b/\xc3\xa9?"), "a%20b%2F%C3%A9%3F");
}

// Limits and spans of other deployments are larger than any that was met so far.
TEST(CrossingSettings, LimitsMayBeAsLargeAsOthersHaveThem) {
  const auto read = readConfiguration(nlohmann::json{
      {"name", "n3"},
      {"listen", "127.0.0.1:8443"},
      {"agent", "127.0.0.1:6100"},
      {"stop_ms", 300'000},
      {"limits", {{"sockets", 1 << 20}, {"memory_mb", 256 << 10}}},
      {"settings", Peers().settings}}.dump());
  EXPECT_EQ(read.endpoints.shutdownTimeout, 5min);
  EXPECT_EQ(read.endpoints.maxDescriptors, 1u << 20);
  EXPECT_EQ(read.endpoints.memoryMb, 256 << 10);
}

// Pieces and closes.

// Nonsense after a whole req, in one segment: the req is answered, then the connection ends.
TEST(CrossingClose, AReqBeforeNonsenseIsAnsweredAndTheConnectionEndsAfterIt) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.say(Balancer::message(1, Balancer::fields(one), "x") + std::string(64, '\xff'));
  EXPECT_EQ(w.launched(), one);
  client.say(Balancer::message(2, Balancer::fields(two), "y"));  // after nonsense nothing is read
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  EXPECT_TRUE(client.endsNow());
  auto other = w.balancer();
  other.ask(1, Balancer::fields(three));
  EXPECT_EQ(w.launched(), three);
}

// Slow is not stuck: bytes come all the time, for longer than one that stops is waited for.
TEST(CrossingPieces, ASlowWriterIsReadToItsEnd) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) + 2500);
  const auto message = Balancer::message(1, fields, "x");
  const auto step = message.size() / 25 + 1;
  for (std::size_t at = 0; at < message.size(); at += step) {
    client.say(std::string_view(message).substr(at, step));
    std::this_thread::sleep_for(110ms);
  }
  EXPECT_EQ(w.launched(), one);
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
}

// Callers that read nothing of what they are sent, more of it than memory is set aside for: the furthest
// behind are closed, and who reads gets answers all the while.
TEST(CrossingClose, CallersThatReadNothingAreClosedBeforeTheyTakeAllTheMemory) {
  Peers w;
  w.place.memoryMb = 1;  // 128 kB of it for what waits to be sent; with 32 kB a connection is not read on
  w.start();
  using codec::thrift::Kind, codec::thrift::Writer;
  const auto ask = Writer(Kind::call, "health", 1).stop().whole();  // shorter than its answer
  std::string asks;
  for (int i = 0; i < 200; ++i) asks += ask;
  struct Deaf {
    Balancer line;
    std::size_t sent = 0;
    bool ended = false;
  };
  std::vector<Deaf> deaf(12);
  for (auto& client : deaf) {
    client.line = w.balancer();
    client.line.socket().setReceiveBufferSize(4 << 10);
    client.line.socket().setBlocking(false);
  }
  auto reader = w.balancer();
  long ended = 0;
  for (const auto until = std::chrono::steady_clock::now() + 20s;
       ended == 0 && std::chrono::steady_clock::now() < until;) {
    for (auto& [line, sent, over] : deaf) try {
        for (int i = 0; i < 100 && !over; ++i) {
          const auto rest = std::string_view(asks).substr(sent % ask.size());
          sent +=
              static_cast<std::size_t>(line.socket().sendBytes(rest.data(), static_cast<int>(rest.size())));
        }
      } catch (const Poco::Exception& fault) {
        over = fault.code() != EAGAIN;
      }
    ended = std::ranges::count(deaf, true, &Deaf::ended);
    reader.health();
    ASSERT_EQ(reader.answer().what, What::good);
  }
  EXPECT_GT(ended, 0);
  EXPECT_LT(ended, 12);
}

// The engine's link.

// A link that is taken and never greeted, as one whose other end has gone, gives way to a new one.
TEST(CrossingEngine, ALinkThatIsNeverGreetedIsMadeAgain) {
  Peers w;
  w.start(false);
  auto dead = Line::accept(w.engineAt);
  EXPECT_TRUE(dead.hear(codec::jsonLines::readLine));
  w.link();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
}

// Reqs that are read before the greeting, as in the turn of it: until the engine tells, it may have started
// cold, and the reqs that wait at their calls are no more than a cold machine bears.
TEST(CrossingEngine, ReqsReadBeforeTheGreetingOfAColdEngineBeginNoMoreThanItBears) {
  Peers w;
  w.settings["invariants"] = {{"fallMultiple", 8.0}, {"coldFrom", 0.1}, {"warmWithinNs", 20'000'000'000}};
  w.start(false);
  auto client = w.balancer();
  for (int i = 1; i <= 12; ++i) client.ask(i, Balancer::fields(fmt::format("{:016x}", 0xe000 + i)));
  client.health();
  while (client.answer().what == What::shed) {  // what waits too long here; after these, all have been read
  }
  w.link("cold");
  std::vector<Line> calls;
  int begun = 0;
  for (auto command = w.command(); command["msg"] == "launch"; command = w.command(), ++begun) {
    w.wantsCall(command["call"], "please");
    calls.push_back(Line::accept(w.nextAt));  // and has no reply
  }
  EXPECT_GT(begun, 0);
  EXPECT_LE(begun, 2 * (1 + 7 * 0.1) + 1);  // and what it warms meanwhile
}

// A numbered notice that can't be read is taken all the same: it would come again on every link.
TEST(CrossingEngine, ANoticeThatCannotBeReadEndsItsReqAndNotTheLink) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.tell({{"msg", "remark"}, {"serial", ++w.notices}});
  w.tell({{"msg", "outcome"}, {"serial", ++w.notices}, {"call", one}, {"how", "ok"}, {"blob", "%%%%"}});
  EXPECT_EQ(client.answer().what, What::errored);
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  w.tell({{"msg", "request"}, {"serial", ++w.notices}, {"call", two}, {"blob", "%%%%"}});
  EXPECT_EQ(client.answer().what, What::errored);
  client.ask(3, Balancer::fields(three));
  EXPECT_EQ(w.launched(), three);
}

// After a pause of the machine, or whenever time went by unseen, an answer that lies unread is an answer.
TEST(CrossingEngine, ALinkWhoseAnswerLiesUnreadIsNotGivenUp) {
  Peers w;
  w.start();
  const auto answer = [&](const std::optional<codec::jsonLines::Line>& question) {
    w.tell({{"msg", "sampled"}, {"cookie", question->object["cookie"]}, {"stats", {0.5, 1, 0.1, 3}}});
  };
  auto question = w.engine.hear(codec::jsonLines::readLine);
  ASSERT_TRUE(question);
  answer(question);  // of the catching up
  question = w.engine.hear(codec::jsonLines::readLine);
  ASSERT_TRUE(question);
  const auto asked = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(asked +
                                20ms);  // the next question is on the server's mind, not this one's wait
  w.paused([&] {
    answer(question);
    std::this_thread::sleep_until(asked + 3100ms);
  });
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);  // on the same link
}

// Calls below.

// A reply and the limit of its call, both there when the server looks: the reply counts.
TEST(CrossingCalls, AReplyThatLiesUnreadAtTheLimitCounts) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = paid(one);
  fields["budget"] = "2000";
  client.ask(1, fields);
  EXPECT_EQ(w.launched(), one);
  w.wantsCall(one, "please");
  auto next = Line::accept(w.nextAt);
  const auto asked = next.hear(Asked::read);
  ASSERT_TRUE(asked);
  const auto limit = std::stol(asked->head.substr(asked->head.find("Deadline-Ms: ") + 13));
  const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit + 5);
  w.paused([&] {
    next.say(Peers::response("200 OK", "reply"));
    std::this_thread::sleep_until(over);
  });
  const auto deliver = w.command();
  EXPECT_EQ(deliver["msg"], "deliver");
}

// A reply that ends before it is whole, at whichever byte, proves nothing: the call is not made again, and
// its req gets one answer.
TEST(CrossingCalls, AReplyCutAtAnyByteProvesNothing) {
  Peers w;
  w.start();
  auto client = w.balancer();
  const std::string replies[] = {Peers::response("200 OK", "reply"),
                                 "HTTP/1.1 503 Busy\r\nTurned-Away: 1\r\nContent-Length: 2\r\n\r\nno",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nre\r\n0\r\n\r\n"};
  int number = 0;
  for (const auto& reply : replies)
    for (std::size_t length = 0; length < reply.size(); ++length) {
      const auto rid = fmt::format("{:016x}", 0xd000 + ++number);
      client.ask(number, paid(rid, rid));
      ASSERT_EQ(w.launched(), rid);
      w.wantsCall(rid, "please");
      auto next = Line::accept(w.nextAt);
      ASSERT_TRUE(next.hear(Asked::read));
      next.say(std::string_view(reply).substr(0, length));
      length % 2 == 0 ? next.close() : next.closeHard();
      const auto answer = client.answer();
      ASSERT_EQ(answer.number, number);
      ASSERT_EQ(answer.what, What::errored) << reply.substr(0, length);
      w.ends(rid, "halted", "");
    }
  EXPECT_FALSE(w.nextAt.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ));
}

// The list.

// What was said before may count after the news that took its place, so the news is said again soon.
TEST(CrossingList, TheNewsIsSaidAgainSoon) {
  Peers w;
  w.start();
  const auto report = [&] {
    auto at = Line::accept(w.listAt);
    const auto asked = at.hear(Asked::read);
    at.say("HTTP/1.1 204 No Content\r\n\r\n");
    return asked ? asked->body : std::string();
  };
  EXPECT_EQ(report(), R"({"duty":"on"})");
  ::kill(::getpid(), SIGTERM);
  std::string said;
  while (said != R"({"duty":"off"})") said = report();
  EXPECT_EQ(report(), R"({"duty":"off"})");  // before it leaves, half a second after the notice
  w.waitForEnd();
}

// A list that takes connections and answers none, while there is news to be said: what is open stays bounded.
TEST(CrossingList, OneThatNeverAnswersUsesUpNoDescriptors) {
  Peers w;
  w.start();
  std::vector<Line> reports;
  for (int i = 0; i < 5; ++i) {
    reports.push_back(Line::accept(w.listAt));
    ASSERT_TRUE(reports.back().hear(Asked::read));
  }
  // The first is given up after 2.5 s; until then there is no sixth.
  reports.push_back(Line::accept(w.listAt));
  ASSERT_TRUE(reports.back().hear(Asked::read));
  reports.front().socket().setBlocking(false);
  char none = 0;
  EXPECT_EQ(reports.front().socket().receiveBytes(&none, 1), 0);  // an end; nothing to read would throw
}

// Three hundred servers that lost the list at once, and were started at once, do not come back to it in step.
TEST(CrossingList, ThreeHundredReportsAreSpreadOverTheirInterval) {
  net::Reactor reactor;
  net::BufferPool pool;
  logging::Log log;
  Poco::Net::ServerSocket listAt(Poco::Net::SocketAddress("127.0.0.1", 0), 512);  // all at once
  std::vector<std::unique_ptr<peers::RegistryClient>> fleet;
  constexpr std::size_t size = 300;
  for (std::size_t i = 0; i < size; ++i)
    fleet.push_back(std::make_unique<peers::RegistryClient>(reactor, pool, log, listAt.address(),
                                                            "n" + std::to_string(i), i));
  std::vector<std::chrono::steady_clock::time_point> cameAt;
  net::Reactor::Timer looking;
  const std::function<void()> look = [&] {
    for (; listAt.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); listAt.acceptConnection().close())
      cameAt.push_back(std::chrono::steady_clock::now());  // one that breaks is made again in 250 ms at most
    cameAt.size() < 4 * size ? void(looking = reactor.after(1ms, look)) : reactor.stop();
  };
  look();
  for (const auto& list : fleet) list->setInService(true);
  reactor.run();
  // The middle eight in ten of the fourth round; three times 62 ms of spread lie behind them.
  EXPECT_GT(cameAt[3 * size + size * 9 / 10] - cameAt[3 * size + size / 10], 40ms);
  fleet.clear();
  reactor.releaseRetired();
}

// Repeats.

// A key that comes with another content, of the body or of the customer, is no repeat: it gets no result that
// was not made for it, and it does not run beside the first either.
TEST(CrossingRepeats, AKeyWithAnotherContentIsErroredAtOnce) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, paid(one), "x");
  EXPECT_EQ(w.launched(), one);
  const auto conflicts = [&](std::int32_t number, const codec::thrift::Fields& fields, const char* body) {
    client.ask(number, fields, body);
    const auto answer = client.answer();
    EXPECT_EQ(answer.number, number);
    EXPECT_EQ(answer.fields.at("why"), "its key came with another content");
  };
  conflicts(2, paid(two), "y");  // while the first runs
  auto other = paid(two);
  other["acct"] = "other";
  conflicts(3, other, "x");
  w.ends(one, "ok", "paid");
  EXPECT_EQ(client.answer().body, "paid");
  conflicts(4, paid(two), "y");  // and after it
  client.ask(5, paid(three), "x");
  EXPECT_EQ(client.answer().body, "paid");
  // Both in one turn.
  client.say(Balancer::message(6, paid(one, "k2"), "x") + Balancer::message(7, paid(two, "k2"), "y"));
  EXPECT_EQ(client.answer().fields.at("why"), "its key came with another content");
  EXPECT_EQ(w.launched(), one);
  EXPECT_EQ(w.standing().onCores, 1u);
}

// The last and the first millisecond of a short window, by the caller's clock.
TEST(CrossingRepeats, TheEndsOfAShortWindowAreTheCallersToTheMillisecond) {
  for (int play = 0; play < 20; ++play) {
    Peers w;
    w.settings["classes"][1]["windowNs"] = 100'000'000;
    w.start();
    auto client = w.balancer();
    auto fields = paid(one);
    const auto came = std::stoll(fields["t0"]) - 1000;  // all three came by then and are read now
    fields["t0"] = std::to_string(came);
    client.ask(1, fields, "x");
    EXPECT_EQ(w.launched(), one);
    w.ends(one, "ok", "paid");
    EXPECT_EQ(client.answer().body, "paid");
    fields["rid"] = two;
    fields["t0"] = std::to_string(came + 151);  // the window and the protocol's slack, to the last
    client.ask(2, fields, "x");
    EXPECT_EQ(client.answer().what, What::errored);  // its result is gone, but it does not run
    fields["rid"] = three;
    fields["t0"] = std::to_string(came + 153);
    client.ask(3, fields, "x");
    EXPECT_EQ(w.launched(), three);
  }
}

// A repeat may be read as late as a caller may wait, where that is long.
TEST(CrossingRepeats, ARepeatThatWasUnreadLongerThanTheWindowDoesNotRun) {
  Peers w;
  w.settings["classes"][1]["windowNs"] = 100'000'000;
  w.settings["classes"][1]["aimNs"] = 20'000'000'000,
  w.settings["classes"][1]["hardLimitNs"] = 20'000'000'000;
  w.start();
  auto client = w.balancer();
  auto fields = paid(one);
  fields["budget"] = "20000";
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 12'000);
  client.ask(1, fields, "x");
  EXPECT_EQ(w.launched(), one);
  w.ends(one, "ok", "paid");
  EXPECT_EQ(client.answer().what, What::done);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
  fields["rid"] = two;
  client.ask(2, fields, "x");
  EXPECT_EQ(client.answer().what, What::errored);
}

// A req whose first never ran is nobody's repeat: it runs by itself, once, whatever became of the first.
class CrossingFirst : public testing::Test {
 protected:
  static constexpr const char* busy[] = {"00000000000000c1", "00000000000000c2"};
  CrossingFirst() {
    w.start();
    client = w.balancer();
    for (int i = 0; i < 2; ++i) {  // both cores are taken
      client.ask(i + 1, Balancer::fields(busy[i]));
      EXPECT_EQ(w.launched(), busy[i]);
    }
  }
  // Two repeats wait; the one that is launched now is the only one, and both get its result.
  void oneRunServesBoth() {
    EXPECT_EQ(w.launched(), two);
    w.ends(two, "ok", "paid");
    for (const int number : {4, 5}) {
      const auto answer = client.answer();
      EXPECT_EQ(answer.number, number);
      EXPECT_EQ(answer.body, "paid");
    }
    client.ask(6, Balancer::fields("00000000000000c6"));
    EXPECT_EQ(w.launched(), "00000000000000c6");
  }
  void allIsRead() {
    client.health();
    EXPECT_EQ(client.answer().what, What::good);
  }
  void askBoth() {
    client.ask(4, paid(two));
    client.ask(5, paid(three));
    allIsRead();
  }
  // With both repeats waiting for it.
  void launchFirst() {
    freeACore();
    client.ask(3, paid(one));
    EXPECT_EQ(w.launched(), one);
    askBoth();
  }
  void freeACore() {
    w.ends(busy[0]);
    EXPECT_EQ(client.answer().number, 1);
  }
  Peers w;
  Balancer client;
};

TEST_F(CrossingFirst, CancelledWhileHeldLeavesARunToItsRepeats) {
  client.ask(3, paid(one));
  askBoth();
  client.cancel(3);
  allIsRead();
  freeACore();
  oneRunServesBoth();
}

TEST_F(CrossingFirst, CancelledInTheTurnOfItsRepeatsLeavesARunToThem) {
  client.say(Balancer::message(3, paid(one), "body") + Balancer::message(4, paid(two), "body") +
             Balancer::message(5, paid(three), "body") + Balancer::cancelling(3));
  allIsRead();
  freeACore();
  oneRunServesBoth();
}

TEST_F(CrossingFirst, ShedWhileHeldLeavesARunToItsRepeats) {
  auto fields = paid(one);
  fields["budget"] = "250";
  client.ask(3, fields);
  askBoth();
  const auto answer = client.answer();
  EXPECT_EQ(answer.number, 3);
  EXPECT_EQ(answer.what, What::shed);
  freeACore();
  oneRunServesBoth();
}

TEST_F(CrossingFirst, RefusedByTheEngineLeavesARunToItsRepeats) {
  launchFirst();
  w.tell({{"msg", "refusal"}, {"how", "launch"}, {"call", one}});
  EXPECT_EQ(client.answer().what, What::errored);
  oneRunServesBoth();
}

TEST_F(CrossingFirst, NeverBegunAtTheEngineLeavesARunToItsRepeats) {
  launchFirst();
  client.cancel(3);
  allIsRead();
  w.ends(one, "void", "");
  oneRunServesBoth();
}

// The other side of it: what was launched may have run, whatever its caller does, and no repeat runs beside
// it.
TEST_F(CrossingFirst, CancelledWhileItRunsKeepsItsRepeatsWaitingForIt) {
  launchFirst();
  client.cancel(3);
  allIsRead();
  w.ends(busy[1]);
  EXPECT_EQ(client.answer().number, 2);
  client.ask(6, Balancer::fields("00000000000000c6"));
  EXPECT_EQ(w.launched(), "00000000000000c6");
  w.ends(one, "ok", "paid");
  EXPECT_EQ(client.answer().body, "paid");
  EXPECT_EQ(client.answer().body, "paid");
}

// A newer try after the window that never runs does not make the server forget that an older one did.
TEST(CrossingRepeats, ANewerTryThatNeverRanLeavesTheOlderOneKnown) {
  using server::DeduplicationCache;
  DeduplicationCache marks(1 << 20, 10s);
  const DeduplicationCache::Time at{1h};
  const DeduplicationCache::Key key{HandlerId{1}, "k", {}};
  marks.keep(key, {}, RequestId{1}, at + 1s);
  marks.ended(RequestId{1}, DeduplicationCache::End::done, at, "result");
  marks.expire(at + 2s);
  EXPECT_FALSE(marks.firstOf(key, {}, RequestId{2}, at + 2s, at + 2s, 0s).first);
  marks.turnEnds();
  marks.keep(key, {}, RequestId{2}, at + 3s);
  marks.forget(RequestId{2});
  EXPECT_TRUE(
      marks.firstOf(key, {}, RequestId{3}, at + 900ms, at + 2s, 0s).first);  // came in time, read late
  EXPECT_FALSE(marks.firstOf(key, {}, RequestId{4}, at + 1s, at + 2s, 0s).first);
  marks.expire(at + 1h);
  EXPECT_EQ(marks.size(), 0u);
}

}  // namespace
}  // namespace rainhook
