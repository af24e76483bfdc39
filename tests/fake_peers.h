// Small stand-ins on loopback for all peers that a real server speaks with.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <signal.h>

#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "codec/http.h"
#include "codec/json_lines.h"
#include "codec/thrift.h"
#include "server/request_server.h"

namespace rainhook {

using namespace std::chrono_literals;

// One connection to the server under test, spoken on in steps that wait, but not for ever.
class Line {
 public:
  static constexpr int patienceMs = 4000;
  Line() = default;
  explicit Line(Poco::Net::StreamSocket socket) : socket_(std::move(socket)) {
    socket_.setReceiveTimeout(Poco::Timespan(patienceMs * 1000));
  }
  static Line accept(Poco::Net::ServerSocket& at) {
    if (!at.poll(Poco::Timespan(patienceMs * 1000), Poco::Net::Socket::SELECT_READ)) return {};
    return Line(at.acceptConnection());
  }
  void say(std::string_view bytes) {
    while (!bytes.empty())
      bytes.remove_prefix(
          static_cast<std::size_t>(socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()))));
  }
  // Takes what `parse` makes of the bytes so far: anything with a `size`; nothing at the end of the
  // connection.
  template <typename Parse>
  auto hear(Parse parse) -> decltype(parse(std::string_view())) {
    for (;;) {
      if (auto heard = parse(std::string_view(bytes_))) {
        bytes_.erase(0, heard->size);
        return heard;
      }
      if (!more()) return std::nullopt;
    }
  }
  bool endsNow() {
    while (more()) {
    }
    return ended_;
  }
  bool wasReset() const { return reset_; }
  bool isOpen() const { return socket_.impl()->initialized(); }
  void close() { socket_.close(); }
  void closeHard() {
    socket_.setLinger(true, 0);
    socket_.close();
  }
  Poco::Net::StreamSocket& socket() { return socket_; }

 private:
  bool more() {
    char part[4096];
    try {
      const int got = socket_.receiveBytes(part, sizeof part);
      ended_ = got <= 0;
      bytes_.append(part, static_cast<std::size_t>(std::max(got, 0)));
    } catch (const Poco::TimeoutException&) {
      return false;
    } catch (const Poco::Exception&) {
      ended_ = reset_ = true;
    }
    return !ended_;
  }
  Poco::Net::StreamSocket socket_;
  std::string bytes_;
  bool ended_ = false, reset_ = false;
};

// An answer as a balancer reads it.
struct Answer {
  std::int32_t number = 0;
  enum class What { none, done, shed, errored, exception, closing, good, bad } what = What::none;
  std::string body;
  codec::thrift::Fields fields;
  std::size_t size = 0;
};

// A balancer's connection.
class Balancer : public Line {
 public:
  using Line::Line;
  static codec::thrift::Fields fields(const std::string& rid, const std::string& method = "read") {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {{"method", method},
            {"rid", rid},
            {"peer", "4"},
            {"acct", "acme"},
            {"budget", "3000"},
            {"mem", "24.5"},
            {"prio", "0.6250"},
            {"t0", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count())}};
  }
  static std::string message(std::int32_t number, const codec::thrift::Fields& fields,
                             std::string_view body) {
    using codec::thrift::Type;
    return codec::thrift::Writer(codec::thrift::Kind::call, "call", number)
        .field(1, Type::map)
        .fields(fields)
        .field(2, Type::text)
        .text(body)
        .stop()
        .finish();
  }
  void ask(std::int32_t number, const codec::thrift::Fields& fields, std::string_view body = "body") {
    say(message(number, fields, body));
  }
  static std::string cancelling(std::int32_t number) {
    return codec::thrift::Writer(codec::thrift::Kind::oneway, "cancel", 99)
        .field(1, codec::thrift::Type::i32)
        .i32(number)
        .stop()
        .finish();
  }
  void cancel(std::int32_t number) { say(cancelling(number)); }
  void health() {
    say(codec::thrift::Writer(codec::thrift::Kind::call, "health", 1)
            .field(1, codec::thrift::Type::boolean)
            .boolean(false)
            .stop()
            .finish());
  }
  Answer answer() {
    const auto heard = hear([](std::string_view bytes) -> std::optional<Answer> {
      const auto frame = codec::thrift::readFrame(bytes, 1 << 20);
      if (!frame) return std::nullopt;
      const auto message = codec::thrift::readMessage(frame->content);
      Answer out;
      out.number = message.sequence, out.size = frame->size;
      if (message.name == "closing") out.what = Answer::What::closing;
      if (message.kind == codec::thrift::Kind::exception) out.what = Answer::What::exception;
      if (message.kind != codec::thrift::Kind::reply) return out;
      constexpr Answer::What kinds[] = {Answer::What::done, Answer::What::shed, Answer::What::errored};
      codec::thrift::Reader(message.body).readStruct([&](std::int16_t kind, auto, codec::thrift::Reader& in) {
        out.what = kinds[kind];
        in.readStruct([&](std::int16_t, codec::thrift::Type type, codec::thrift::Reader& value) {
          if (type == codec::thrift::Type::text) return out.body = value.text(), true;
          if (type == codec::thrift::Type::map) return out.fields = value.fields(), true;
          const bool good = value.byte() != 0;
          if (message.name == "health") out.what = good ? Answer::What::good : Answer::What::bad;
          return true;
        });
        return true;
      });
      return out;
    });
    return heard.value_or(Answer{});
  }
};

// An HTTP request as the next tier or the list reads it.
struct Asked {
  std::string head, body;
  std::size_t size = 0;
  static std::optional<Asked> read(std::string_view bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos) return std::nullopt;
    const auto length = std::stoul(std::string(bytes.substr(bytes.find("Content-Length: ") + 16)));
    if (bytes.size() < end + 4 + length) return std::nullopt;
    return Asked{std::string(bytes.substr(0, end)), std::string(bytes.substr(end + 4, length)),
                 end + 4 + length};
  }
};

// A server on a thread of its own, with its engine, next tier and list at hand.
class Peers {
 public:
  nlohmann::json settings = nlohmann::json::parse(R"({"classes": [
        {"name": "read", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "free"},
        {"name": "pay", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "guarded",
         "windowNs": 5000000000}],
      "orgs": [{"name": "acme"}, {"name": "other"}], "servers": 3,
      "domain": {"cores": 2, "memoryKb": 50000.0, "runFactor": 4.0, "keyKb": 1.0, "passesDeadline": true,
                 "below": "tier", "classCalls": [true, true], "freshNs": 2000000000, "signal": "weight",
                 "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
      "invariants": {"stopSendingWithinNs": 300000000, "fallMultiple": 8.0},
      "limits": {"retryAfter": true, "maxRetryAfterNs": 1000000000}})");
  ServerEndpoints place;
  Peers() { place.maxDescriptors = 1024, place.memoryMb = 192; }
  static Poco::Net::ServerSocket any() {
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
  }
  Poco::Net::ServerSocket engineAt = any(), nextAt = any(), listAt = any();
  Line engine;

  ~Peers() { stop(); }
  void start(bool engineUp = true) {
    place.name = "n3", place.listen = "127.0.0.1:0", place.shutdownTimeout = 1200ms;
    place.engine = engineAt.address().toString(), place.downstream = nextAt.address().toString();
    place.registry = listAt.address().toString();
    server_ = std::make_unique<server::RequestServer>(
        reactor_, log_,
        ServerConfiguration{place, readDeploymentSettings(flattenSettingsJson(settings)), {}});
    reactor_.onSignals({SIGTERM, SIGHUP, SIGUSR1}, [this](int signal) {
      if (signal == SIGUSR1) return std::exchange(pause_, {})();
      if (signal != SIGHUP) return server_->leave();
      file.empty() ? server_->reload({place, {}, {}}) : server_->reloadFrom(file);
    });
    server_->open();
    thread_ = std::thread([this] { reactor_.run(); });
    if (engineUp) link();
  }
  // The server does nothing while this goes on; what its peers do meanwhile it finds all at once.
  void paused(const std::function<void()>& meanwhile) {
    std::promise<void> stands, goesOn;
    pause_ = [&] {
      stands.set_value();
      goesOn.get_future().wait();
    };
    ::kill(::getpid(), SIGUSR1);
    stands.get_future().wait();
    meanwhile();
    goesOn.set_value();
  }
  // The peers' addresses as they are now, by SIGHUP.
  void reload() {
    place.engine = engineAt.address().toString(), place.downstream = nextAt.address().toString();
    place.registry = listAt.address().toString();
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(20ms);
  }
  void stop() {
    stopRunning();
    server_.reset();
  }
  // What the server believes to have in hand, once it stands still.
  server::RequestServer::Standing standing() {
    std::this_thread::sleep_for(100ms);
    stopRunning();
    return server_->standing();
  }
  void waitForEnd() { thread_.join(); }
  // How many connections were gone through to make room; ends the server's thread.
  std::uint64_t looks() {
    stopRunning();
    return server_->looks();
  }
  Balancer balancer() { return Balancer(Poco::Net::StreamSocket(server_->address())); }

  // Takes a new link, and says which notice was read last.
  std::uint64_t link(const char* how = "warm") {
    engine = Line::accept(engineAt);
    const auto first = engine.hear(codec::jsonLines::readLine);
    tell({{"msg", "greeting"}, {"how", how}, {"duration", 5.0}});
    return first ? first->object.value("serial", std::uint64_t{99}) : 99;
  }
  void tell(const nlohmann::json& notice) { engine.say(codec::jsonLines::writeLine(notice)); }
  // The next command that is no question, within a bound; questions are answered, and go on without end.
  nlohmann::json command() {
    for (const auto end = std::chrono::steady_clock::now() + 4s; std::chrono::steady_clock::now() < end;) {
      const auto line = engine.hear(codec::jsonLines::readLine);
      if (!line) return {{"msg", "none"}};
      if (line->object["msg"] != "sample") return line->object;
      tell({{"msg", "sampled"}, {"cookie", line->object["cookie"]}, {"stats", {0.5, 1, 0.1, 3}}});
    }
    return {{"msg", "none"}};
  }
  std::string launched() {
    const auto line = command();
    return line.value("msg", "") == "launch" ? line.value("call", "") : line.dump();
  }
  std::uint64_t ends(const std::string& name, const char* how = "ok", std::string_view result = "result") {
    tell({{"msg", "outcome"},
          {"serial", ++notices},
          {"call", name},
          {"how", how},
          {"duration", 12.5},
          {"blob", codec::jsonLines::toBase64(result)}});
    return notices;
  }
  void wantsCall(const std::string& name, std::string_view body) {
    tell({{"msg", "request"},
          {"serial", ++notices},
          {"call", name},
          {"blob", codec::jsonLines::toBase64(body)}});
  }
  static std::string response(const std::string& status, std::string_view body = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
  }
  std::uint64_t notices = 0;
  std::string file;  // read again on SIGHUP, where it is named

 private:
  void stopRunning() {
    reactor_.stop();
    reactor_.wakeUp();
    if (thread_.joinable()) thread_.join();
  }
  net::Reactor reactor_;
  logging::Log log_;
  std::unique_ptr<server::RequestServer> server_;
  std::thread thread_;
  std::function<void()> pause_;
};

}  // namespace rainhook
