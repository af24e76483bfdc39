// One TCP connection: partial reads and writes, write interest only while output waits. It is owned by the
// file of its peer; close() is the one place where its socket is given back.
#pragma once

#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/buffer_pool.h"
#include "net/reactor.h"

namespace rainhook::net {

enum class CloseReason { closedByPeer, connectionLost, unreachable, protocolError };

struct Callbacks {
  // The bytes so far; returns how many of them are done with. What it throws ends the connection as a
  // protocol error.
  std::function<std::size_t(std::string_view)> onData;
  // Once, and never after close(): the connection is closed already.
  std::function<void(CloseReason, const std::string&)> onClosed;
  // All that had to wait has been sent.
  std::function<void()> onSent;
  // The peer sends no more; where absent the connection ends as closed by the peer.
  std::function<void()> onHalfClosed;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Address = Poco::Net::SocketAddress;

  static std::shared_ptr<Connection> fromAccepted(Reactor& reactor, BufferPool& pool,
                                                  const Poco::Net::StreamSocket& socket, Callbacks callbacks);
  // Begins to connect; how that ends comes by the callbacks, not from within this call.
  static std::shared_ptr<Connection> connectTo(const Address& address, Reactor& reactor, BufferPool& pool,
                                               Callbacks callbacks);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void write(std::string_view bytes);
  std::size_t pendingBytes() const { return out_.size(); }
  // Whether anything was sent.
  bool hasSentData() const { return sentAny_; }
  void pauseReading();
  void resumeReading();
  // Takes what the system holds of the peer's bytes now, as far as one turn reads.
  void readNow();
  // What comes from now on is read and thrown away; only its end, or a break, is told.
  void discardInput();
  // Half-close: ends our side, after all that was sent; what comes is discarded. Nothing may wait to be sent.
  void shutdownSend();
  void close();

 private:
  enum class State { connecting, open, closed };
  Connection(Reactor& reactor, BufferPool& pool, const Poco::Net::StreamSocket& socket, Callbacks callbacks);
  void start(State state);
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void failed(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void read();
  void feed();
  void take(const std::function<void()>& reading);
  void send();
  void end(CloseReason how, const std::string& why);
  void wantReading(bool wanted);
  void wantWriting(bool wanted);
  void renewInterest();
  void flushLater();

  static constexpr int readsATurn = 4;

  Reactor& reactor_;
  BufferPool& pool_;
  Poco::Net::StreamSocket socket_;
  const Callbacks callbacks_;
  State state_ = State::connecting;
  BufferPool::Lease in_;  // held only while a message is not whole
  std::size_t from_ = 0, to_ = 0;
  SendBuffer out_;
  bool reading_ = false, writing_ = false, paused_ = false, ended_ = false, sentAny_ = false;
  bool flushing_ = false, watched_ = false, discarding_ = false;
  Reactor::Timer late_;
  Poco::NObserver<Connection, Poco::Net::ReadableNotification> onRead_{*this, &Connection::readable};
  Poco::NObserver<Connection, Poco::Net::WritableNotification> onWrite_{*this, &Connection::writable};
  Poco::NObserver<Connection, Poco::Net::ErrorNotification> onError_{*this, &Connection::failed};
};

}  // namespace rainhook::net
