// The whole server on loopback against small stand-ins: a req's path, and what peers do wrong.
#include <gtest/gtest.h>

#include "fake_peers.h"

namespace rainhook {
namespace {

using What = Answer::What;
const std::string one = "00000000000000a1", two = "00000000000000a2", three = "00000000000000a3";

TEST(ServerPath, AReqIsLaunchedWithItsBodyAndItsResultComesBackUnchanged) {
  Peers w;
  w.start();
  auto client = w.balancer();
  const std::string body("b\0\xff\n", 4), result("r\0\x80", 3);
  client.ask(1, Balancer::fields(one), body);
  const auto launch = w.command();
  EXPECT_EQ(launch["msg"], "launch");
  EXPECT_EQ(launch["call"], one);
  EXPECT_EQ(launch["service"], "read");
  EXPECT_EQ(codec::jsonLines::fromBase64(launch["blob"]), body);
  w.ends(one, "ok", result);
  const auto answer = client.answer();
  EXPECT_EQ(answer.number, 1);
  EXPECT_EQ(answer.what, What::done);
  EXPECT_EQ(answer.body, result);
  EXPECT_GT(std::stod(answer.fields.at("hint")), 0.5);
}

TEST(ServerPath, AnswersComeInAnyOrderAndAReqInPiecesIsRead) {
  Peers w;
  w.start();
  auto client = w.balancer();
  const auto both =
      Balancer::message(1, Balancer::fields(one), "x") + Balancer::message(2, Balancer::fields(two), "y");
  for (const char c : both) client.say({&c, 1});
  EXPECT_EQ(w.launched(), one);
  EXPECT_EQ(w.launched(), two);
  w.ends(two);
  EXPECT_EQ(client.answer().number, 2);
  w.ends(one, "failed");
  const auto answer = client.answer();
  EXPECT_EQ(answer.number, 1);
  EXPECT_EQ(answer.what, What::errored);
}

TEST(ServerPath, ACancelledReqGetsNoAnswerAndOneThatIsHeldIsNotLaunched) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.cancel(77);  // never asked
  client.ask(1, Balancer::fields(one));
  client.ask(2, Balancer::fields(two));
  client.ask(3, Balancer::fields(three));
  w.launched(), w.launched();  // both cores are taken, the third is held
  client.cancel(3);
  client.cancel(1);
  client.ask(4, Balancer::fields("00000000000000a4"));
  client.health();
  EXPECT_EQ(client.answer().what, What::good);  // all of that has been read
  w.ends(one), w.ends(two);
  EXPECT_EQ(w.launched(), "00000000000000a4");
  w.ends("00000000000000a4");
  EXPECT_EQ(client.answer().number, 2);
  EXPECT_EQ(client.answer().number, 4);
}

TEST(ServerPath, WhatIsGivenUpIsShedInTimeAndNotRun) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 3000);  // it has waited unread for all its time
  client.ask(1, fields);
  EXPECT_EQ(client.answer().what, What::shed);
  // A run is no excuse: its answer comes by the due time.
  fields = Balancer::fields(two);
  fields["budget"] = "300";
  const auto asked = std::chrono::steady_clock::now();
  client.ask(2, fields);
  EXPECT_EQ(w.launched(), two);
  const auto answer = client.answer();
  EXPECT_EQ(answer.number, 2);
  EXPECT_NE(answer.what, What::done);
  EXPECT_LT(std::chrono::steady_clock::now() - asked, 400ms);
}

TEST(ServerCalls, EveryReplyOfTheNextTierHasItsMeaning) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.wantsCall(one, "please");
  auto next = Line::accept(w.nextAt);
  auto asked = next.hear(Asked::read);
  ASSERT_TRUE(asked);
  EXPECT_TRUE(asked->head.starts_with("POST /rpc/call HTTP/1.1\r\n"));
  EXPECT_NE(asked->head.find("Parent-Call: " + one), std::string::npos);
  EXPECT_NE(asked->head.find("Deadline-Ms: "), std::string::npos);
  EXPECT_EQ(asked->body, "please");
  next.say("HTTP/1.1 503 Busy\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n");  // it never ran: called again
  next = Line::accept(w.nextAt);
  asked = next.hear(Asked::read);
  ASSERT_TRUE(asked);
  EXPECT_EQ(asked->body, "please");
  next.say(Peers::response("200 OK", "reply"));
  const auto deliver = w.command();
  EXPECT_EQ(deliver["msg"], "deliver");
  EXPECT_EQ(codec::jsonLines::fromBase64(deliver["blob"]), "reply");
  w.wantsCall(one, "again");
  next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  next.closeHard();  // it may have run; a replayable req calls again
  next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  next.say(Peers::response("500 No"));  // twice is enough: the req is given up
  EXPECT_EQ(client.answer().what, What::shed);
}

TEST(ServerCalls, ACallOfAUniquedReqIsNotRepeatedUnlessItProvablyDidNotRun) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one, "pay");
  fields["token"] = "t1";
  client.ask(1, fields);
  EXPECT_EQ(w.launched(), one);
  w.wantsCall(one, "pay it");
  auto next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  next.say("HTTP/1.1 409 No\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  next.close();
  EXPECT_EQ(client.answer().what, What::errored);
  EXPECT_FALSE(w.nextAt.poll(Poco::Timespan(100000), Poco::Net::Socket::SELECT_READ));
}

TEST(ServerCalls, ACallIsGivenUpByClosingWhenItsReqIsOver) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.wantsCall(one, "please");
  auto next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  client.cancel(1);
  EXPECT_TRUE(next.endsNow());
}

TEST(ServerCalls, ATierThatCantBeReachedEndsTheReqAndNothingElse) {
  Peers w;
  w.nextAt.close();
  w.nextAt = Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
  w.start();
  w.nextAt.close();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.wantsCall(one, "please");
  EXPECT_EQ(client.answer().what, What::shed);
  w.ends(one, "halted", "");
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
}

TEST(ServerRepeats, AUniquedReqRunsOnceAndItsRepeatIsAnsweredFromTheFirst) {
  Peers w;
  w.start();
  auto client = w.balancer();
  const auto pay = [&](std::int32_t number, const std::string& rid) {
    auto fields = Balancer::fields(rid, "pay");
    fields["token"] = "t1";
    client.ask(number, fields);
  };
  pay(1, one);
  EXPECT_EQ(w.launched(), one);
  pay(2, two);  // while the first runs
  w.ends(one, "ok", "paid");
  std::map<std::int32_t, std::string> answers;
  for (int i = 0; i < 2; ++i) {
    const auto answer = client.answer();
    answers[answer.number] = answer.body;
  }
  pay(3, three);  // after it has ended
  answers[client.answer().number] += "paid";
  EXPECT_EQ(answers, (std::map<std::int32_t, std::string>{{1, "paid"}, {2, "paid"}, {3, "paid"}}));
  client.ask(4, Balancer::fields("00000000000000a4"));
  EXPECT_EQ(w.launched(), "00000000000000a4");  // nothing else was launched in between
}

// Tries that come in one turn know of each other, and one that came within the window but is read after it
// still does not run and is not shed.
TEST(ServerRepeats, AUniquedReqRunsOnceHoweverCloseOrLateItsRepeatIsRead) {
  Peers w;
  w.settings["classes"][1]["windowNs"] = 100000000;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one, "pay");
  fields["token"] = "t1";
  const auto came = std::stoll(fields["t0"]);
  const auto first = Balancer::message(1, fields, "x");
  fields["rid"] = two;
  client.say(first + Balancer::message(2, fields, "x"));
  EXPECT_EQ(w.launched(), one);
  w.ends(one, "ok", "paid");
  EXPECT_EQ(client.answer().body, "paid");
  EXPECT_EQ(client.answer().body, "paid");
  std::this_thread::sleep_for(400ms);
  fields["rid"] = three;
  fields["t0"] = std::to_string(came + 80);
  client.ask(3, fields, "x");
  EXPECT_EQ(client.answer().fields.at("why"), "the first try failed");
  fields["rid"] = "00000000000000a4";
  fields["t0"] = std::to_string(came + 300);  // a req of its own again
  client.ask(4, fields);
  EXPECT_EQ(w.launched(), "00000000000000a4");
}

TEST(ServerRepeats, AReadOfTheSameSubjectSharesTheAnswerUnderWay) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one);
  fields["obj"] = "7f3a9c21e0b4d655";
  client.ask(1, fields);
  EXPECT_EQ(w.launched(), one);
  fields["rid"] = two;
  client.ask(2, fields);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);  // the second has been read
  w.ends(one, "ok", "shared");
  EXPECT_EQ(client.answer().body, "shared");
  EXPECT_EQ(client.answer().body, "shared");
}

// Kept results are bounded: what has no room any more is errored, and room comes back when they go.
TEST(Marks, KeepNoMoreResultsThanTheyMay) {
  server::DeduplicationCache marks(10, 10s);
  const server::DeduplicationCache::Time at{};
  const auto key = [](const char* mark) { return server::DeduplicationCache::Key{HandlerId{1}, mark, {}}; };
  for (std::uint32_t i = 1; i <= 2; ++i) {
    marks.keep(key(i == 1 ? "a" : "b"), {}, RequestId{i}, at + 5s);
    marks.ended(RequestId{i}, server::DeduplicationCache::End::done, at, "eight by");
  }
  EXPECT_EQ(marks.find(RequestId{1})->result, "eight by");
  EXPECT_EQ(marks.find(RequestId{2})->end, server::DeduplicationCache::End::errored);
  marks.forget(RequestId{1});
  marks.ended(RequestId{2}, server::DeduplicationCache::End::done, at, "eight by");
  EXPECT_EQ(marks.find(RequestId{2})->result, "eight by");
}

// A long time of new marks: each is looked at when it is over and not before, and none stays.
TEST(Marks, AreEmptiedByTimeAndLookedAtOnlyThen) {
  server::DeduplicationCache marks(1 << 20, 10s);
  const server::DeduplicationCache::Time start{};
  std::size_t most = 0;
  for (std::uint32_t i = 1; i <= 5000; ++i) {
    const auto at = start + 10ms * i;
    marks.expire(at);
    marks.keep({HandlerId{1}, std::to_string(i), {}}, {}, RequestId{i}, at + 1s);
    if (i % 3 == 0) marks.forget(RequestId{i});
    if (i % 3 == 1) marks.ended(RequestId{i}, server::DeduplicationCache::End::done, at, "result");
    most = std::max(most, marks.size());
  }
  EXPECT_LE(most, 2 * 1100u / 3 + 1);  // a second's and ten more, in which a repeat may be read late
  EXPECT_EQ(marks.find(RequestId{4801})->end,
            server::DeduplicationCache::End::errored);  // its second is over, its key stays
  EXPECT_EQ(marks.find(RequestId{4999})->result, "result");
  EXPECT_LE(marks.looks(), 2 * 5000u);
  marks.expire(start + 1h);
  EXPECT_EQ(marks.size(), 0u);
  EXPECT_LE(marks.looks(), 2 * 5000u);
}

TEST(Marks, AResultThatComesAfterItsTimeIsNotKept) {
  server::DeduplicationCache marks(1 << 20, 10s);
  const server::DeduplicationCache::Time at{};
  marks.keep({HandlerId{1}, "a", {}}, {}, RequestId{1}, at + 1s);
  marks.expire(at + 2s);
  marks.ended(RequestId{1}, server::DeduplicationCache::End::done, at + 3s, "late");
  EXPECT_EQ(marks.find(RequestId{1})->result, "");
}

// One that waited and has left is answered no more; the others still wait for the same first.
TEST(Table, ThoseThatWaitLeaveOneByOne) {
  server::RequestTable table;
  for (std::uint32_t i = 1; i <= 4; ++i) {
    peers::IncomingRequest arrived;
    arrived.name = std::to_string(i);
    auto& req = table.add(RequestId{i}, std::move(arrived));
    if (i == 1) continue;
    req.course = server::RequestState::waitingForFirst;
    req.repeats = RequestId{i == 4 ? 2u : 1u};
    table.waitFor(*req.repeats, RequestId{i});
  }
  EXPECT_EQ(table.waitingFor(RequestId{1}), (std::vector{RequestId{2}, RequestId{3}}));
  table.drop(RequestId{2});
  EXPECT_EQ(table.waitingFor(RequestId{1}), std::vector{RequestId{3}});
  EXPECT_EQ(table.waitingFor(RequestId{2}), std::vector{RequestId{4}});
}

TEST(ServerEngine, ABrokenLinkLosesAndDoublesNothing) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  w.engine.closeHard();
  EXPECT_EQ(w.link(), 1u);  // the last notice that was read
  --w.notices;
  w.ends(one);                   // said again: no second answer
  EXPECT_EQ(w.launched(), two);  // it may not have been read
  w.ends(two);
  EXPECT_EQ(client.answer().number, 2);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
}

// A run that must not be doubled and may have been lost with the link is told as errored, never launched
// again.
TEST(ServerEngine, AUniquedRunIsNotLaunchedAgainOnADoubt) {
  Peers w;
  w.start();
  auto client = w.balancer();
  auto fields = Balancer::fields(one, "pay");
  fields["token"] = "t1";
  client.ask(1, fields);
  EXPECT_EQ(w.launched(), one);
  w.engine.closeHard();
  w.link();
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  EXPECT_EQ(client.answer().what, What::errored);
}

TEST(ServerEngine, MayComeUpLateAndNonsenseRenewsTheLink) {
  Peers w;
  w.start(false);
  auto client = w.balancer();
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
  client.ask(9, Balancer::fields(two, "pay"));  // none should come yet; one that does waits for its engine
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
  EXPECT_EQ(w.link("cold"), 0u);
  EXPECT_EQ(w.launched(), two);
  w.ends(two);
  EXPECT_EQ(client.answer().number, 9);
  w.engine.say("no json\n");
  EXPECT_TRUE(w.engine.endsNow());
  EXPECT_EQ(w.link(), 1u);
  w.tell({{"msg", "refusal"}, {"how", "launch"}, {"call", "?"}});
  w.tell({{"msg", "aside"}, {"serial", ++w.notices}, {"how", "hello"}});
  w.ends("0000000000000000");  // of a req that is not in hand
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
}

// However a req ends, nothing of it is left in the books, neither as running nor as a call.
TEST(ServerBeliefs, WhatPassedOverTheSocketsIsWhatIsInHand) {
  Peers w;
  w.start();
  auto client = w.balancer(), gone = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.tell({{"msg", "refusal"}, {"how", "launch"}, {"call", one}});
  EXPECT_EQ(client.answer().what, What::errored);
  gone.ask(1, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  w.wantsCall(two, "please");
  auto next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  gone.closeHard();  // its call is given up, its run ends at the call
  EXPECT_TRUE(next.endsNow());
  w.ends(two, "halted", "");
  client.ask(2, Balancer::fields(three));
  EXPECT_EQ(w.launched(), three);
  client.cancel(2);
  w.engine.closeHard();
  w.link();
  w.ends(three);  // nobody waits for it
  client.ask(3, Balancer::fields(one));
  auto line = w.command();
  while (line["call"] != one) line = w.command();
  EXPECT_EQ(w.standing(), (server::RequestServer::Standing{
                              .held = 0, .onCores = 1, .atCalls = 0, .unowed = 0, .callsOpen = 0}));
}

// A link that stands but says nothing any more is made anew.
TEST(ServerEngine, ALinkWithoutAnswersIsRenewed) {
  Peers w;
  w.start();
  auto silent = std::exchange(w.engine, {});
  EXPECT_EQ(w.link(), 0u);
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
}

// What the engine does not know never ends there: it is answered at once, and leaves its place to others.
TEST(ServerEngine, WhatItRefusesIsErroredAtOnceAndTakesNoPlace) {
  Peers w;
  w.start();
  auto client = w.balancer();
  std::string rid = one;
  const auto asked = std::chrono::steady_clock::now();
  for (std::int32_t number = 1; number <= 6; ++number) {  // more than would run at once
    rid.back() = static_cast<char>('0' + number);
    client.ask(number, Balancer::fields(rid));
    EXPECT_EQ(w.launched(), rid);
    w.tell({{"msg", "refusal"}, {"how", "launch"}, {"call", rid}});
    const auto answer = client.answer();
    EXPECT_EQ(answer.number, number);
    EXPECT_EQ(answer.what, What::errored);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - asked, 1s);
}

// The peers' new addresses are taken under load: runs and notices go on, calls under way end where they are.
TEST(ServerReload, FollowsItsPeersAndLosesNothing) {
  Peers w;
  w.start();
  auto list = Line::accept(w.listAt);
  ASSERT_TRUE(list.hear(Asked::read));
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  w.wantsCall(one, "please");
  auto next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  for (auto* peer : {&w.engineAt, &w.nextAt, &w.listAt}) *peer = Peers::any();
  w.reload();
  w.reload();  // once more, before the move has ended
  auto old = std::exchange(w.engine, {});
  EXPECT_EQ(w.link(), 1u);
  EXPECT_TRUE(old.endsNow());
  list = Line::accept(w.listAt);
  EXPECT_TRUE(list.hear(Asked::read));
  next.say(Peers::response("200 OK", "reply"));
  auto line = w.command();  // said again or not, nothing is launched twice by that
  while (line["msg"] == "launch") line = w.command();
  EXPECT_EQ(line["msg"], "deliver");
  EXPECT_EQ(line["call"], one);
  w.wantsCall(two, "please");
  next = Line::accept(w.nextAt);
  ASSERT_TRUE(next.hear(Asked::read));
  next.say(Peers::response("200 OK", "reply"));
  EXPECT_EQ(w.command()["call"], two);
  w.ends(one), w.ends(two);
  EXPECT_EQ(client.answer().number, 1);
  EXPECT_EQ(client.answer().number, 2);
}

TEST(ServerReload, AFileThatCantBeTakenChangesNothing) {
  Peers w;
  w.start();
  w.file = "no such file";
  w.engineAt = Peers::any();
  w.reload();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
}

TEST(ServerReload, BeforeTheEngineIsUpAndDuringADrainIsOrdinary) {
  Peers w;
  w.start(false);
  w.engineAt = Peers::any();
  w.reload();
  EXPECT_EQ(w.link("cold"), 0u);
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  ::kill(::getpid(), SIGTERM);
  w.engineAt = Peers::any();
  w.reload();
  EXPECT_EQ(w.link(), 0u);
  w.ends(one);
  auto answer = client.answer();
  while (answer.what == What::closing) answer = client.answer();
  EXPECT_EQ(answer.what, What::done);
}

TEST(ServerClients, NonsenseClosesItsConnectionAlone) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  for (const std::string& bad : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0\1\0\0", 4),
                                 std::string("\0\0\0\14\x80\x02\0\1\0\0\0\0\0\0\0\1", 16),
                                 Balancer::message(1, Balancer::fields(two), "x").replace(20, 1, "\x63")}) {
    auto other = w.balancer();
    other.say(bad);
    EXPECT_TRUE(other.endsNow());
  }
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
}

TEST(ServerClients, AReqThatCantBeServedIsSaidSoAndTheConnectionGoesOn) {
  Peers w;
  w.start();
  auto client = w.balancer();
  std::int32_t number = 0;
  const auto refused = [&](const char* field, const char* value) {
    auto fields = Balancer::fields(two);
    fields.erase(field);
    if (value) fields[field] = value;
    client.ask(++number, fields);
    const auto answer = client.answer();
    return answer.what == What::exception && answer.number == number;
  };
  for (const char* field : {"method", "rid", "t0", "peer", "acct", "budget", "mem", "prio"})
    EXPECT_TRUE(refused(field, nullptr)) << field;
  for (const auto& [field, value] : std::map<const char*, const char*>{{"method", "nope"},
                                                                       {"rid", "xyz"},
                                                                       {"t0", "-1"},
                                                                       {"peer", "-1"},
                                                                       {"acct", "nobody"},
                                                                       {"budget", "1e3"},
                                                                       {"mem", "2000"},
                                                                       {"prio", "1.0"},
                                                                       {"obj", "zz"}})
    EXPECT_TRUE(refused(field, value)) << field;
  client.say(codec::thrift::Writer(codec::thrift::Kind::call, "dance", 50).stop().finish());
  EXPECT_EQ(client.answer().what, What::exception);
  client.ask(60, Balancer::fields(two), std::string(2049, 'x'));
  EXPECT_EQ(client.answer().what, What::exception);
  client.ask(61, Balancer::fields(one), std::string(2048, 'x'));
  EXPECT_EQ(w.launched(), one);
  client.ask(62, Balancer::fields(one));  // a name that is in hand already
  EXPECT_EQ(client.answer().number, 62);
  w.ends(one);
  EXPECT_EQ(client.answer().number, 61);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
}

// Balancers that restart come with numbers that are always new, however high.
TEST(ServerClients, ABalancersNumberMayBeAny) {
  Peers w;
  w.start();
  auto client = w.balancer();
  std::int32_t number = 0;
  for (const char* peer : {"65536", "18446744073709551615"}) {
    auto fields = Balancer::fields(number++ == 0 ? one : two);
    fields["peer"] = peer;
    client.ask(number, fields);
    EXPECT_EQ(w.launched(), fields["rid"]);
  }
}

// Times that lie far off mislead nobody: neither about the load nor about how long a caller waits.
TEST(ServerClients, ATimeFarInThePastOrFutureIsRefused) {
  Peers w;
  w.start();
  auto client = w.balancer();
  const auto now = std::stoll(Balancer::fields(one)["t0"]);
  std::int32_t number = 0;
  for (const long long t0 : {0LL, now - 60'000, now + 60'000, 4'000'000'000'000'000LL}) {
    auto fields = Balancer::fields(one);
    fields["t0"] = std::to_string(t0);
    client.ask(++number, fields);
    EXPECT_EQ(client.answer().what, What::exception) << t0;
  }
  client.ask(++number, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  w.ends(one);
  EXPECT_EQ(client.answer().fields.at("hint"), "1.0000");  // nothing of it passed for load
}

// Who says nothing or stops within a message is closed in time; who has an answer to come is not.
TEST(ServerClients, SilenceAndHalfAMessageAreClosed) {
  Peers w;
  w.start();
  const auto began = std::chrono::steady_clock::now();
  auto silent = w.balancer(), half = w.balancer(), client = w.balancer();
  half.health();
  EXPECT_EQ(half.answer().what, What::good);
  half.say(Balancer::message(1, Balancer::fields(two), "x").substr(0, 40));
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  EXPECT_TRUE(silent.endsNow());
  EXPECT_TRUE(half.endsNow());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2700ms);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
}

// What a connection may have open is the protocol's 32; the rest of a flood is refused at once and reaches
// nobody.
TEST(ServerClients, AFloodIsRefusedBeyondWhatTheProtocolAllows) {
  Peers w;
  w.start();
  auto client = w.balancer();
  std::string all;
  for (std::int32_t i = 1; i <= 100; ++i)
    all += Balancer::message(i, Balancer::fields("00000000000001" + std::to_string(10 + i % 90)), "x");
  client.say(all);
  std::vector<std::int32_t> refused;
  for (Answer answer = client.answer(); answer.number != 100; answer = client.answer())
    if (answer.what == What::exception) refused.push_back(answer.number);
  EXPECT_EQ(refused.size(), 67u);
  EXPECT_EQ(refused.front(), 33);
}

// A second req under an open number would take the first one's answer for its own.
TEST(ServerClients, ANumberThatIsOpenAlreadyEndsItsConnection) {
  Peers w;
  w.start();
  auto client = w.balancer(), other = w.balancer();
  other.ask(1, Balancer::fields(two));
  EXPECT_EQ(w.launched(), two);
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  client.ask(1, Balancer::fields(three));
  EXPECT_TRUE(client.endsNow());
  w.ends(two);
  EXPECT_EQ(other.answer().what, What::done);
}

// An idle connection is asked to close; a req that crosses that is still answered, and then it ends.
TEST(ServerClients, AnIdleConnectionIsAskedToCloseAndWhatCrossesIsAnswered) {
  Peers w;
  w.start();
  std::thread questions([&] { EXPECT_EQ(w.launched(), one); });  // answers the questions for gauges meanwhile
  auto client = w.balancer();
  EXPECT_EQ(client.answer().what, What::closing);
  client.ask(1, Balancer::fields(one));
  questions.join();
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  EXPECT_TRUE(client.endsNow());
}

TEST(ServerClients, ACallerThatSendsNoMoreStillGetsItsAnswer) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  client.socket().shutdownSend();
  EXPECT_EQ(w.launched(), one);
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  EXPECT_TRUE(client.endsNow());
}

// A caller that does not read its answers is not read either, so that what waits for it stays bounded.
TEST(ServerClients, ACallerThatDoesNotReadIsNotReadUntilItDoes) {
  Peers w;
  w.start();
  auto slow = w.balancer(), client = w.balancer();
  slow.socket().setReceiveBufferSize(64 << 10);
  slow.socket().setSendBufferSize(64 << 10);
  slow.socket().setBlocking(false);
  const auto bad = Balancer::message(1, {}, "");
  std::size_t sent = 0;
  constexpr std::size_t most = 16 << 20;
  for (int idle = 0; idle < 20 && sent < most; ++idle) {
    try {
      const auto rest = std::string_view(bad).substr(sent % bad.size());
      sent += static_cast<std::size_t>(slow.socket().sendBytes(rest.data(), static_cast<int>(rest.size())));
      idle = 0;
    } catch (const Poco::Exception&) {  // it takes no more for now
      std::this_thread::sleep_for(10ms);
    }
  }
  EXPECT_LT(sent, most);
  client.health();
  EXPECT_EQ(client.answer().what, What::good);
  slow.socket().setBlocking(true);
  ASSERT_GT(sent, bad.size());
  for (std::size_t i = 0; i < sent / bad.size(); ++i) ASSERT_EQ(slow.answer().what, What::exception) << i;
}

TEST(ServerClients, OutOfDescriptorsAnIdleConnectionGivesWay) {
  Peers w;
  w.place.maxDescriptors = 32;  // 18 for balancers
  w.start();
  std::vector<Balancer> clients;
  for (int i = 0; i < 24; ++i) {
    clients.push_back(w.balancer());
    clients.back().health();
    EXPECT_EQ(clients.back().answer().what, What::good) << i;
  }
  EXPECT_TRUE(clients.front().endsNow());
  // Those that say nothing take no place from those that ask.
  auto known = std::move(clients.back());
  clients.clear();
  for (int i = 0; i < 60; ++i) clients.push_back(w.balancer());
  known.health();
  EXPECT_EQ(known.answer().what, What::good);
}

// A herd of balancers that return at once, with all places taken: room is made for each without going through
// all that is open, and those with a req open stay.
TEST(ServerClients, RoomForAHerdIsMadeWithoutGoingThroughAllThatIsOpen) {
  Peers w;
  w.place.maxDescriptors = 256;  // 144 for balancers
  w.start();
  std::vector<Balancer> known;
  for (int i = 0; i < 140; ++i) {
    known.push_back(w.balancer());
    known.back().health();
    ASSERT_EQ(known.back().answer().what, What::good) << i;
  }
  auto busy = w.balancer();
  busy.ask(1, Balancer::fields("00000000000000a1"));
  EXPECT_EQ(w.launched(), "00000000000000a1");
  std::vector<Balancer> herd;
  for (int i = 0; i < 100; ++i) {
    herd.push_back(w.balancer());
    herd.back().health();
    ASSERT_EQ(herd.back().answer().what, What::good) << i;
  }
  EXPECT_TRUE(known.front().endsNow());
  w.ends("00000000000000a1");
  EXPECT_EQ(busy.answer().what, What::done);
  EXPECT_LE(w.looks(), 2 * 100u);
}

TEST(ServerList, ReportsAtOnceAgainAndAfterTheListWasGone) {
  Peers w;
  w.start();
  Line list;
  for (int i = 0; i < 2; ++i) {
    list = Line::accept(w.listAt);
    const auto asked = list.hear(Asked::read);
    ASSERT_TRUE(asked);
    EXPECT_TRUE(asked->head.starts_with("PUT /roster/n3 HTTP/1.1\r\n"));
    EXPECT_EQ(asked->body, R"({"duty":"on"})");
    if (i == 0) list.say("HTTP/1.1 204 No Content\r\n\r\n");
  }
  list.closeHard();
  list = Line::accept(w.listAt);
  ASSERT_TRUE(list.hear(Asked::read));
  list.say("nonsense, nonsense\r\n");
  list = Line::accept(w.listAt);
  EXPECT_TRUE(list.hear(Asked::read));
}

// A list that answers late or never still hears of the server well within what it bears in mind (3 s).
TEST(ServerList, ASlowListHearsNoLaterForIt) {
  Peers w;
  w.start();
  std::vector<Line> reports;  // none is answered, and none cut off before it could be
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 3; ++i) {
    reports.push_back(Line::accept(w.listAt));
    ASSERT_TRUE(reports.back().hear(Asked::read));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1900ms);
  reports.front().say("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_TRUE(reports.front().endsNow());
}

TEST(ServerDrain, AnswersAllRunsNothingPastTheGraceAndEnds) {
  Peers w;
  w.start();
  auto list = Line::accept(w.listAt);
  ASSERT_TRUE(list.hear(Asked::read));
  list.say("HTTP/1.1 204 No Content\r\n\r\n");
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  const auto told = std::chrono::steady_clock::now();
  ::kill(::getpid(), SIGTERM);
  list = Line::accept(w.listAt);
  const auto asked = list.hear(Asked::read);
  ASSERT_TRUE(asked);
  EXPECT_EQ(asked->body, R"({"duty":"off"})");
  client.health();
  EXPECT_EQ(client.answer().what, What::bad);
  std::this_thread::sleep_until(told + 400ms);  // past the grace of 300 ms
  client.ask(2, Balancer::fields(two));
  EXPECT_EQ(client.answer().what, What::shed);
  EXPECT_EQ(client.answer().what, What::closing);
  w.ends(one);
  EXPECT_EQ(client.answer().what, What::done);
  client.close();
  w.waitForEnd();
  EXPECT_LT(std::chrono::steady_clock::now() - told, w.place.shutdownTimeout);
}

TEST(ServerDrain, WhatStillRunsIsAnsweredBeforeTheStop) {
  Peers w;
  w.start();
  auto client = w.balancer();
  client.ask(1, Balancer::fields(one));
  EXPECT_EQ(w.launched(), one);
  const auto told = std::chrono::steady_clock::now();
  ::kill(::getpid(), SIGTERM);
  EXPECT_EQ(client.answer().what, What::closing);
  EXPECT_EQ(client.answer().what, What::shed);
  w.waitForEnd();
  EXPECT_LT(std::chrono::steady_clock::now() - told, w.place.shutdownTimeout);
}

}  // namespace
}  // namespace rainhook
