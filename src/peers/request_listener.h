// The balancers: framed Thrift on accepted connections. Their reqs come out in the project's words, answers
// go in; the protocol's names end in clients.cpp.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decision/decision.h"
#include "net/connection.h"
#include "logging/log.h"
#include "net/reactor.h"
#include "codec/thrift.h"

namespace rainhook::net {

// Where an answer goes: a connection and the req's number on it.
enum class ClientId : std::uint32_t {};
struct Ticket {
  ClientId client{};
  std::int32_t number = 0;
};

struct ArrivedReq {
  Ticket ticket;
  std::string name;  // what the engine and the next tier call it
  HandlerId handler{};
  CustomerId customer{};
  CallerId caller{};
  SubjectId subject{};
  std::string mark;  // by which a repeat of a uniqued req is known
  double rank = 0, heldKb = 0;
  std::optional<Span> workHint;
  std::chrono::system_clock::time_point readAt{};  // as the protocol counts; it came `unread` before
  Span unread{};
  std::optional<Span> patience;  // none where the settings say that callers don't tell it
  std::string body;
};

class Clients {
 public:
  struct Hearer {
    virtual ~Hearer() = default;
    // The id of the req from now on, or why it can't be taken, which answers it as errored.
    virtual std::variant<ReqId, std::string_view> reqCame(ArrivedReq&& req) = 0;
    virtual void callerLeft(ReqId id) = 0;
  };
  // What the settings say of reqs.
  struct Terms {
    std::vector<std::string> handlers, customers;
    std::vector<Span> clientTimeouts;  // by handler
    bool tellsPatience = true;         // callers say how long they wait
  };

  // A req that nobody has waited for this long is not taken.
  static constexpr Span longPast = std::chrono::seconds(10);

  // Worked out from the limits: connections, and bytes that wait to be sent on all of them.
  struct Most {
    std::size_t connections = 0, output = 0;
  };

  Clients(Reactor& reactor, BufferPool& pool, Log& log, Hearer& hearer, Terms terms, Most most);

  void listen(const Poco::Net::SocketAddress& address);
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  void done(Ticket ticket, std::string_view result);
  void shed(Ticket ticket, Span stayAway, bool lastTry);
  void errored(Ticket ticket, std::string_view why);
  void sayHealth(bool good) { good_ = good; }
  bool good() const { return good_; }
  void saySignal(double value) { signal_ = value; }
  void closeIdleAfter(Span idle) { idleAfter_ = idle; }
  // Connection draining: every caller is asked to leave once it has its answers. New connections are still
  // taken, since a caller may be on its way.
  void drain();
  // The listener ends, once all that the machine accepted is taken; false while there is more.
  bool endListening();
  // Connections on which nothing is open are ended from our side, without waiting for the callers' goodwill.
  void endResting();
  std::size_t open() const { return clients_.size(); }
  // How many connections were gone through so far to make room for others.
  std::uint64_t looks() const { return looks_; }

 private:
  using Order = std::list<ClientId>;
  struct Client {
    std::shared_ptr<Connection> connection;
    std::map<std::int32_t, ReqId> owed;  // a req leaves when it is answered or its caller has left
    Reactor::Clock::time_point usedAt;
    std::optional<Reactor::Clock::time_point> askedAt;     // to leave, by `closing`
    std::optional<Reactor::Clock::time_point> begunAt;     // a message that is not whole yet
    std::optional<Reactor::Clock::time_point> heardAt;     // the last bytes of it
    std::optional<Reactor::Clock::time_point> shutDownAt;  // our side has ended, the peer's has not
    bool sendsNoMore = false, spoke = false;
    bool condemned = false;  // it sent nonsense: what it is owed is answered, nothing more is read
    Order::iterator place;
  };

  void acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void wantAccepting(bool wanted);
  void take(Poco::Net::StreamSocket socket);
  std::size_t came(ClientId id, std::string_view bytes);
  std::size_t takeFrame(ClientId id, std::string_view bytes);
  void message(ClientId id, const thrift::Message& message);
  void call(ClientId id, const thrift::Message& message);
  bool readReq(const thrift::Message& message, ArrivedReq& req, std::string& fault) const;
  void left(ClientId id, Ending how, const std::string& why);
  void answer(Ticket ticket, std::string_view message);
  std::string good(std::string_view method, std::int32_t number, std::string_view result) const;
  // One of the exceptions that the service declares.
  void declared(Ticket ticket, std::int16_t exception, const thrift::Fields& fields);
  void askToLeave(Client& client);
  bool endOrderly(ClientId id);
  void sweep();
  void boundOutput();
  void readOn(ClientId id);
  static bool quiet(const Client& client);
  static bool full(const Client& client);
  void used(Client& client);
  bool closeOneIdle(Order& order);
  thrift::Fields spoken() const;

  static constexpr std::size_t longestFrame = 8 * 1024, mostWaiting = 32 * 1024, mostOwed = 32;
  static constexpr int kernelHolds = 64 * 1024;
  // `closing` is heeded within 50 ms, by the protocol; a peer that has not ended its side a while after we
  // ended ours is not waited for.
  static constexpr Span sweepEvery = std::chrono::milliseconds(100), askingLasts = std::chrono::seconds(1),
                        heeded = std::chrono::milliseconds(150), lingers = std::chrono::milliseconds(500),
                        wholeWithin = std::chrono::seconds(2), clocksDiffer = std::chrono::seconds(5);

  Reactor& reactor_;
  BufferPool& pool_;
  Log& log_;
  Hearer& hearer_;
  const Terms terms_;
  const std::size_t mostOpen_, mostOutput_;
  Poco::Net::ServerSocket listener_;
  Poco::NObserver<Clients, Poco::Net::ReadableNotification> onAccept_{*this, &Clients::acceptable};
  bool listening_ = false, accepting_ = false, draining_ = false;
  const Span longestWait_;              // of any caller: a message that takes longer to come is for nobody
  std::map<ClientId, Client> clients_;  // a client leaves when its connection ends
  Order silent_, spoken_;  // of them, those that never spoke and the others, used longest ago first
  std::uint64_t looks_ = 0;
  std::uint32_t numbered_ = 0;
  bool good_ = true;
  std::optional<double> signal_;
  std::optional<Span> idleAfter_;
  Reactor::Timer sweeping_;
};

}  // namespace rainhook::net
