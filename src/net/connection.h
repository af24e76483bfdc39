/// @file
/// One TCP connection: partial reads and writes, backpressure, half-close.
#pragma once

#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/buffer_pool.h"
#include "net/reactor.h"

namespace rainhook::net {

/// Why a connection ended without close() having been called.
enum class CloseReason {
  closedByPeer,    ///< The peer shut down its side in good order.
  connectionLost,  ///< The system reported an error after the connection was established.
  unreachable,     ///< The connection was never established.
  protocolError,   ///< The data callback threw, or a message outgrew the receive buffer.
};

/// How a connection tells its owner what happens. All are called on the reactor's thread. Each may call any
/// function of the connection. After close() the owner may drop its pointer at once, from within a callback
/// too: the reactor keeps the connection, and these functions, until the iteration has ended. Only `onData`
/// is required.
struct ConnectionCallbacks {
  /// Gets all bytes that were received and not consumed yet; returns how many of them it consumes, 0 where a
  /// message is not whole. It is called again at once while it consumes some. The bytes are valid during the
  /// call only. An exception of it ends the connection as a protocol error. Called from within readNow() and
  /// resumeReading(), too.
  std::function<std::size_t(std::string_view)> onData;
  /// The connection has ended and is closed already. Called once at most, and never after close(). Comes from
  /// within readNow(), resumeReading() and shutdownSend(), too, but never from connectTo() or write().
  std::function<void(CloseReason, const std::string& detail)> onClosed;
  /// Output that the system had not taken at once has been sent, and none waits.
  std::function<void()> onSent;
  /// The peer sends no more, but may still read; where absent, the connection ends as closed by the peer.
  std::function<void()> onHalfClosed;
};

/// A TCP connection on a reactor. Its owner holds the shared pointer; close() is the one place where the
/// socket is given back, and the destructor calls it. Used on the reactor's thread only; the reactor and the
/// pool must outlive it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// A host's address and a port.
  using Address = Poco::Net::SocketAddress;

  /// @throws Poco::Exception where the system refuses to set the socket up; it is closed then.
  static std::shared_ptr<Connection> fromAccepted(Reactor& reactor, BufferPool& pool,
                                                  const Poco::Net::StreamSocket& socket,
                                                  ConnectionCallbacks callbacks);
  /// Begins to connect. A failure comes by `onClosed` as `unreachable`, not from within this call.
  static std::shared_ptr<Connection> connectTo(const Address& address, Reactor& reactor, BufferPool& pool,
                                               ConnectionCallbacks callbacks);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Queues bytes; they are sent from the end of this iteration on. Has no effect on a closed connection.
  void write(std::string_view bytes);
  /// Bytes that were written and that the system has not taken yet.
  [[nodiscard]] std::size_t pendingBytes() const { return output_.size(); }
  /// Whether the system has taken any bytes.
  [[nodiscard]] bool hasSentData() const { return hasSentData_; }
  /// `onData` is not called until resumeReading().
  void pauseReading();
  /// Hands over what was received before the pause, then reads on.
  void resumeReading();
  /// Reads at once what the system holds of the peer's bytes, as far as one event would.
  void readNow();
  /// From now on all input is read and thrown away; only the peer's end, or a loss, is told.
  void discardInput();
  /// Shuts down our side; input is discarded from then on. No output may be pending.
  void shutdownSend();
  /// Closes the socket and drops pending output. No callback comes afterwards.
  void close();

 private:
  enum class State { connecting, open, closed };

  Connection(Reactor& reactor, BufferPool& pool, const Poco::Net::StreamSocket& socket,
             ConnectionCallbacks callbacks);
  void registerWithReactor(State state);
  void onReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void onWritable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void onError(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void receive();
  std::size_t makeReceiveSpace();
  void onEndOfInput();
  void deliverInput();
  void runInputStep(const std::function<void()>& step);
  void scheduleFlush();
  void flush();
  void closeWith(CloseReason reason, const std::string& detail);
  void setReadInterest(bool isWanted);
  void setWriteInterest(bool isWanted);
  void refreshInterest();
  void dropInterest(bool& isRegistered, const Poco::AbstractObserver& observer);

  Reactor& reactor_;
  BufferPool& pool_;
  Poco::Net::StreamSocket socket_;
  const ConnectionCallbacks callbacks_;
  State state_ = State::connecting;
  /// Held only while a message is not whole; its received bytes lie from `inputBegin_` to `inputEnd_`.
  BufferPool::Lease input_;
  std::size_t inputBegin_ = 0;
  std::size_t inputEnd_ = 0;
  SendBuffer output_;
  bool hasReadInterest_ = false;
  bool hasWriteInterest_ = false;
  bool hasErrorInterest_ = false;
  bool isReadingPaused_ = false;
  bool isDiscardingInput_ = false;
  bool hasPeerEnded_ = false;
  bool hasSentData_ = false;
  bool isFlushScheduled_ = false;
  /// Tells of a failure that connectTo() met.
  Reactor::Timer connectFailureTimer_;
  Poco::NObserver<Connection, Poco::Net::ReadableNotification> readObserver_{*this, &Connection::onReadable};
  Poco::NObserver<Connection, Poco::Net::WritableNotification> writeObserver_{*this, &Connection::onWritable};
  Poco::NObserver<Connection, Poco::Net::ErrorNotification> errorObserver_{*this, &Connection::onError};
};

}  // namespace rainhook::net
