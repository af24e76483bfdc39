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

#include "codec/thrift.h"
#include "decision/decision.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/reactor.h"

namespace rainhook::peers {

// Where an answer goes: a connection and the req's number on it.
enum class ConnectionId : std::uint32_t {};
struct ResponseHandle {
  ConnectionId connection{};
  std::int32_t sequenceNumber = 0;
};

struct IncomingRequest {
  ResponseHandle response;
  std::string name;  // what the engine and the next tier call it
  HandlerId handler{};
  TenantId tenant{};
  ClientId client{};
  ResourceKey resourceKey{};
  std::string idempotencyKey;  // by which a repeat of a uniqued req is known
  double rank = 0, queuedMemoryKb = 0;
  std::optional<Duration> estimatedWork;
  std::chrono::system_clock::time_point readAt{};  // as the protocol counts; it came `unread` before
  Duration readDelay{};
  std::optional<Duration> timeRemaining;  // none where the settings say that callers don't tell it
  std::string body;
};

class RequestListener {
 public:
  struct Listener {
    virtual ~Listener() = default;
    // The id of the req from now on, or why it can't be taken, which answers it as errored.
    virtual std::variant<RequestId, std::string_view> onRequest(IncomingRequest&& req) = 0;
    virtual void onClientDisconnected(RequestId id) = 0;
  };
  // What the settings say of reqs.
  struct RequestRules {
    std::vector<std::string> handlers, tenants;
    std::vector<Duration> clientTimeouts;  // by handler
    bool clientsSendTimeRemaining = true;  // callers say how long they wait
  };

  // A req that nobody has waited for this long is not taken.
  static constexpr Duration longPast = std::chrono::seconds(10);

  // Worked out from the limits: connections, and bytes that wait to be sent on all of them.
  struct Limits {
    std::size_t connections = 0, outputBytes = 0;
  };

  RequestListener(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log, Listener& hearer,
                  RequestRules terms, Limits most);

  void listen(const Poco::Net::SocketAddress& address);
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  void sendResult(ResponseHandle ticket, std::string_view result);
  void sendShed(ResponseHandle ticket, Duration stayAway, bool lastTry);
  void sendFailure(ResponseHandle ticket, std::string_view why);
  void setHealth(bool good) { good_ = good; }
  bool isHealthy() const { return good_; }
  void setLoadSignal(double value) { signal_ = value; }
  void setIdleTimeout(Duration idle) { idleAfter_ = idle; }
  // Connection draining: every caller is asked to leave once it has its answers. New connections are still
  // taken, since a caller may be on its way.
  void startDraining();
  // The listener ends, once all that the machine accepted is taken; false while there is more.
  bool stopListening();
  // Connections on which nothing is open are ended from our side, without waiting for the callers' goodwill.
  void closeIdleConnections();
  std::size_t openConnections() const { return clients_.size(); }
  // How many connections were gone through so far to make room for others.
  std::uint64_t entriesScanned() const { return looks_; }

 private:
  using Order = std::list<ConnectionId>;
  struct Client {
    std::shared_ptr<net::Connection> connection;
    std::map<std::int32_t, RequestId> owed;  // a req leaves when it is answered or its caller has left
    net::Reactor::Clock::time_point usedAt;
    std::optional<net::Reactor::Clock::time_point> askedAt;     // to leave, by `closing`
    std::optional<net::Reactor::Clock::time_point> begunAt;     // a message that is not whole yet
    std::optional<net::Reactor::Clock::time_point> heardAt;     // the last bytes of it
    std::optional<net::Reactor::Clock::time_point> shutDownAt;  // our side has ended, the peer's has not
    bool sendsNoMore = false, spoke = false;
    bool condemned = false;  // it sent nonsense: what it is owed is answered, nothing more is read
    Order::iterator place;
  };

  void acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void wantAccepting(bool wanted);
  void take(Poco::Net::StreamSocket socket);
  std::size_t came(ConnectionId id, std::string_view bytes);
  std::size_t takeFrame(ConnectionId id, std::string_view bytes);
  void message(ConnectionId id, const codec::thrift::Message& message);
  void call(ConnectionId id, const codec::thrift::Message& message);
  bool readReq(const codec::thrift::Message& message, IncomingRequest& req, std::string& fault) const;
  void left(ConnectionId id, net::CloseReason how, const std::string& why);
  void answer(ResponseHandle ticket, std::string_view message);
  std::string good(std::string_view method, std::int32_t number, std::string_view result) const;
  // One of the exceptions that the service declares.
  void declared(ResponseHandle ticket, std::int16_t exception, const codec::thrift::Fields& fields);
  void askToLeave(Client& client);
  bool endOrderly(ConnectionId id);
  void sweep();
  void boundOutput();
  void readOn(ConnectionId id);
  static bool quiet(const Client& client);
  static bool full(const Client& client);
  void used(Client& client);
  bool closeOneIdle(Order& order);
  codec::thrift::Fields spoken() const;

  static constexpr std::size_t longestFrame = 8 * 1024, mostWaiting = 32 * 1024, mostOwed = 32;
  static constexpr int kernelHolds = 64 * 1024;
  // `closing` is heeded within 50 ms, by the protocol; a peer that has not ended its side a while after we
  // ended ours is not waited for.
  static constexpr Duration sweepEvery = std::chrono::milliseconds(100),
                            askingLasts = std::chrono::seconds(1), heeded = std::chrono::milliseconds(150),
                            lingers = std::chrono::milliseconds(500), wholeWithin = std::chrono::seconds(2),
                            clocksDiffer = std::chrono::seconds(5);

  net::Reactor& reactor_;
  net::BufferPool& pool_;
  logging::Log& log_;
  Listener& hearer_;
  const RequestRules terms_;
  const std::size_t mostOpen_, mostOutput_;
  Poco::Net::ServerSocket listener_;
  Poco::NObserver<RequestListener, Poco::Net::ReadableNotification> onAccept_{*this,
                                                                              &RequestListener::acceptable};
  bool listening_ = false, accepting_ = false, draining_ = false;
  const Duration longestWait_;  // of any caller: a message that takes longer to come is for nobody
  std::map<ConnectionId, Client> clients_;  // a client leaves when its connection ends
  Order silent_, spoken_;  // of them, those that never spoke and the others, used longest ago first
  std::uint64_t looks_ = 0;
  std::uint32_t numbered_ = 0;
  bool good_ = true;
  std::optional<double> signal_;
  std::optional<Duration> idleAfter_;
  net::Reactor::Timer sweeping_;
};

}  // namespace rainhook::peers
