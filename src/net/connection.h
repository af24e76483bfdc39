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

/// Why a connection ended without a call of close().
enum class CloseReason {
  closedByPeer,    ///< The peer shut down its side of the connection in an orderly way.
  connectionLost,  ///< The system reported an error after the connection was established.
  unreachable,     ///< The connection was never established.
  protocolError,   ///< The data callback threw, or a message outgrew the receive buffer.
};

/// Functions through which a connection notifies its owner. The connection calls them on the reactor's
/// thread. Each may call any function of the connection. After close() the owner may drop its pointer
/// immediately, even within a callback: the reactor keeps the connection and these functions alive until the
/// end of the iteration. Only `onData` is required.
struct ConnectionCallbacks {
  /// Receives all bytes that have arrived and have not been consumed yet. Returns the number of bytes that it
  /// consumed, or 0 if a message is incomplete. The connection calls it again immediately as long as it
  /// consumes bytes. The bytes are valid during the call only. If it throws, the connection ends with a
  /// protocol error. readNow() and resumeReading() may also call it.
  std::function<std::size_t(std::string_view)> onData;
  /// Reports that the connection has ended; the socket is closed already. Called at most once, and never
  /// after close(). readNow(), resumeReading() and shutdownSend() may call it; connectTo() and write() never
  /// do.
  std::function<void(CloseReason, const std::string& detail)> onClosed;
  /// Reports that all pending output has been sent, after the operating system had not accepted all of it
  /// immediately.
  std::function<void()> onSent;
  /// Reports that the peer has shut down its sending side and may still read. If this function is absent, the
  /// connection ends with `closedByPeer` instead.
  std::function<void()> onHalfClosed;
};

/// A TCP connection on a reactor. Its owner holds the shared pointer. The socket is closed by close(), by the
/// destructor, or when the connection ends for a CloseReason. A connection may be used on the reactor's
/// thread only; the reactor and the pool must outlive it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// A host address and a port.
  using Address = Poco::Net::SocketAddress;

  /// Creates a connection from an accepted socket. If the peer resets the connection, the input that has not
  /// been read by then is dropped, since no response to it could reach the peer.
  /// @throws Poco::Exception if the operating system rejects the socket's setup; the socket is closed then.
  static std::shared_ptr<Connection> fromAccepted(Reactor& reactor, BufferPool& pool,
                                                  const Poco::Net::StreamSocket& socket,
                                                  ConnectionCallbacks callbacks);
  /// Starts to connect. If the peer resets the connection, the input that arrived before is still delivered.
  /// A failure to connect is reported through `onClosed` as `unreachable`, never during this call.
  static std::shared_ptr<Connection> connectTo(const Address& address, Reactor& reactor, BufferPool& pool,
                                               ConnectionCallbacks callbacks);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Queues bytes; sending starts at the end of this iteration. Has no effect on a closed connection.
  void write(std::string_view bytes);
  /// Number of bytes that were written and that the operating system has not accepted yet.
  [[nodiscard]] std::size_t pendingBytes() const { return output_.size(); }
  /// Whether the operating system has accepted any bytes.
  [[nodiscard]] bool hasSentData() const { return hasSentData_; }
  /// Stops calls of `onData` until resumeReading().
  void pauseReading();
  /// Passes the bytes that arrived before the pause to `onData`, then continues to read.
  void resumeReading();
  /// Immediately reads the bytes that the operating system has received, at most as many as one readable
  /// event would.
  void readNow();
  /// Discards all input from now on; only the end of the connection is still reported.
  void discardInput();
  /// Shuts down the sending side and discards input from then on. No output may be pending.
  void shutdownSend();
  /// Closes the socket and drops pending output. No callback is called afterwards.
  void close();

 private:
  enum class State { connecting, open, closed };
  /// What happens to unread input when the peer has reset the connection.
  enum class InputAfterReset { drop, deliver };

  Connection(Reactor& reactor, BufferPool& pool, const Poco::Net::StreamSocket& socket,
             ConnectionCallbacks callbacks, InputAfterReset inputAfterReset);
  void registerWithReactor(State state);
  void onReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void onWritable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void onError(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  void receive();
  bool closeIfReset();
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
  const InputAfterReset inputAfterReset_;
  State state_ = State::connecting;
  /// Leased only while a message is incomplete; its received bytes are in [`inputBegin_`, `inputEnd_`).
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
  /// Reports a failure of connectTo() after that call has returned.
  Reactor::Timer connectFailureTimer_;
  Poco::NObserver<Connection, Poco::Net::ReadableNotification> readObserver_{*this, &Connection::onReadable};
  Poco::NObserver<Connection, Poco::Net::WritableNotification> writeObserver_{*this, &Connection::onWritable};
  Poco::NObserver<Connection, Poco::Net::ErrorNotification> errorObserver_{*this, &Connection::onError};
};

}  // namespace rainhook::net
