#include "net/connection.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <system_error>
#include <utility>

namespace rainhook::net {
namespace {

/// Limits the share of an iteration that one connection can use.
constexpr int maxReadsPerEvent = 4;

/// Describes the pending error of a socket (SO_ERROR) and clears it.
std::string describeSocketError(Poco::Net::StreamSocket& socket) {
  return std::system_category().message(socket.impl()->socketError());
}

}  // namespace

Connection::Connection(Reactor& reactor, BufferPool& pool, const Poco::Net::StreamSocket& socket,
                       ConnectionCallbacks callbacks, InputAfterReset inputAfterReset)
    : reactor_(reactor),
      pool_(pool),
      socket_(socket),
      callbacks_(std::move(callbacks)),
      inputAfterReset_(inputAfterReset),
      input_(nullptr, BufferPool::Releaser{&pool}),
      output_(pool) {}

std::shared_ptr<Connection> Connection::fromAccepted(Reactor& reactor, BufferPool& pool,
                                                     const Poco::Net::StreamSocket& socket,
                                                     ConnectionCallbacks callbacks) {
  std::shared_ptr<Connection> connection(
      new Connection(reactor, pool, socket, std::move(callbacks), InputAfterReset::drop));
  connection->registerWithReactor(State::open);
  return connection;
}

std::shared_ptr<Connection> Connection::connectTo(const Address& address, Reactor& reactor, BufferPool& pool,
                                                  ConnectionCallbacks callbacks) {
  std::shared_ptr<Connection> connection(new Connection(reactor, pool, Poco::Net::StreamSocket(),
                                                        std::move(callbacks), InputAfterReset::deliver));
  try {
    connection->socket_.connectNB(address);
    connection->registerWithReactor(State::connecting);
  } catch (const Poco::Exception& error) {
    connection->connectFailureTimer_ =
        reactor.after(Reactor::Wait::zero(), [self = connection.get(), detail = error.displayText()] {
          self->closeWith(CloseReason::unreachable, detail);
        });
  }
  return connection;
}

void Connection::registerWithReactor(State state) {
  state_ = state;
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  // Set before the call: POCO registers the handler even if the operating system then rejects the socket.
  hasErrorInterest_ = true;
  reactor_.addEventHandler(socket_, errorObserver_);
  if (state == State::open)
    setReadInterest(true);
  else
    setWriteInterest(true);
}

void Connection::setReadInterest(bool isWanted) {
  if (std::exchange(hasReadInterest_, isWanted) == isWanted) return;
  if (isWanted) return reactor_.addEventHandler(socket_, readObserver_);
  reactor_.removeEventHandler(socket_, readObserver_);
  refreshInterest();
}

void Connection::setWriteInterest(bool isWanted) {
  if (std::exchange(hasWriteInterest_, isWanted) == isWanted) return;
  if (isWanted) return reactor_.addEventHandler(socket_, writeObserver_);
  reactor_.removeEventHandler(socket_, writeObserver_);
  refreshInterest();
}

// POCO's reactor updates the operating system's poll set when a handler is added, but not when one of several
// handlers is removed. Without this update, a removed interest would wake the loop in every iteration.
void Connection::refreshInterest() {
  reactor_.removeEventHandler(socket_, errorObserver_);
  reactor_.addEventHandler(socket_, errorObserver_);
}

// POCO throws if the operating system never accepted an interest that POCO has registered. It removes the
// handler nevertheless, so that the exception can be ignored.
void Connection::dropInterest(bool& isRegistered, const Poco::AbstractObserver& observer) {
  try {
    if (std::exchange(isRegistered, false)) reactor_.removeEventHandler(socket_, observer);
  } catch (const Poco::Exception&) {
  }
}

void Connection::pauseReading() {
  isReadingPaused_ = true;
  if (state_ == State::open) setReadInterest(false);
}

void Connection::resumeReading() {
  if (!std::exchange(isReadingPaused_, false) || state_ != State::open || hasPeerEnded_) return;
  const auto self = shared_from_this();
  setReadInterest(true);
  runInputStep([this] { deliverInput(); });  // no event follows for bytes that arrived before the pause
}

void Connection::readNow() {
  const auto self = shared_from_this();
  if (state_ == State::open && hasReadInterest_) runInputStep([this] { receive(); });
}

void Connection::discardInput() {
  isDiscardingInput_ = true;
  inputBegin_ = 0;
  inputEnd_ = 0;
  isReadingPaused_ = false;
  if (state_ == State::open && !hasPeerEnded_) setReadInterest(true);
}

void Connection::shutdownSend() {
  const auto self = shared_from_this();
  discardInput();
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception& error) {
    closeWith(CloseReason::connectionLost, error.displayText());
  }
}

void Connection::onReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::open) runInputStep([this] { receive(); });
}

// An exception that a peer's bytes cause closes that peer's connection only.
void Connection::runInputStep(const std::function<void()>& step) {
  try {
    step();
  } catch (const Poco::Exception& error) {
    return closeWith(CloseReason::connectionLost, error.displayText());
  } catch (const std::exception& error) {
    return closeWith(CloseReason::protocolError, error.what());
  }
  if (input_ && inputBegin_ == inputEnd_) input_.reset();
}

/// @return the number of bytes that fit into the input buffer after `inputEnd_`.
std::size_t Connection::makeReceiveSpace() {
  if (!input_) {
    input_ = pool_.acquire();
    inputBegin_ = 0;
    inputEnd_ = 0;
  }
  if (inputEnd_ == BufferPool::bufferSize && inputBegin_ > 0) {
    std::memmove(input_->data(), input_->data() + inputBegin_, inputEnd_ - inputBegin_);
    inputEnd_ -= inputBegin_;
    inputBegin_ = 0;
  }
  return BufferPool::bufferSize - inputEnd_;
}

/// The operating system keeps the bytes that arrived before a reset, and reports the reset only after the
/// last of them has been read, which may take several iterations.
bool Connection::closeIfReset() {
  const int error = socket_.impl()->socketError();
  if (error == 0) return false;
  closeWith(CloseReason::connectionLost, std::system_category().message(error));
  return true;
}

void Connection::receive() {
  if (inputAfterReset_ == InputAfterReset::drop && closeIfReset()) return;
  for (int i = 0; i < maxReadsPerEvent && state_ == State::open && hasReadInterest_; ++i) {
    const std::size_t space = makeReceiveSpace();
    if (space == 0)
      return closeWith(CloseReason::protocolError, "message exceeds the receive buffer of " +
                                                       std::to_string(BufferPool::bufferSize) + " bytes");
    const int received = socket_.receiveBytes(input_->data() + inputEnd_, static_cast<int>(space));
    if (received < 0) return;
    if (received == 0) return onEndOfInput();
    const auto count = static_cast<std::size_t>(received);
    if (!isDiscardingInput_) {
      inputEnd_ += count;
      deliverInput();
    }
    if (count < space) return;
  }
}

void Connection::onEndOfInput() {
  hasPeerEnded_ = true;
  setReadInterest(false);
  if (callbacks_.onHalfClosed) return callbacks_.onHalfClosed();
  closeWith(CloseReason::closedByPeer, "connection closed by the peer");
}

void Connection::deliverInput() {
  while (state_ == State::open && !isReadingPaused_ && !isDiscardingInput_ && inputBegin_ < inputEnd_) {
    const std::size_t consumed = callbacks_.onData({input_->data() + inputBegin_, inputEnd_ - inputBegin_});
    if (consumed == 0 || isDiscardingInput_) return;
    inputBegin_ += consumed;
  }
}

void Connection::write(std::string_view bytes) {
  if (state_ == State::closed) return;
  output_.append(bytes);
  if (state_ == State::open && !hasWriteInterest_ && !isFlushScheduled_) scheduleFlush();
}

void Connection::scheduleFlush() {
  isFlushScheduled_ = true;
  reactor_.flushAtIterationEnd([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->isFlushScheduled_ = false;
    if (self->state_ == State::open && !self->hasWriteInterest_) self->flush();
  });
}

void Connection::flush() {
  try {
    while (!output_.empty()) {
      const auto front = output_.front();
      const int sent = socket_.sendBytes(front.data(), static_cast<int>(front.size()));
      if (sent < 0) break;
      hasSentData_ = hasSentData_ || sent > 0;
      output_.consume(static_cast<std::size_t>(sent));
      if (static_cast<std::size_t>(sent) < front.size()) break;
    }
    setWriteInterest(!output_.empty());
  } catch (const Poco::Exception& error) {
    // POCO 1.11 throws if the socket's send buffer is full; the connection is intact.
    if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) return setWriteInterest(true);
    closeWith(CloseReason::connectionLost, error.displayText());
  }
}

void Connection::onWritable(const Poco::AutoPtr<Poco::Net::WritableNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::connecting) {
    if (const int error = socket_.impl()->socketError(); error != 0)
      return closeWith(CloseReason::unreachable, std::system_category().message(error));
    state_ = State::open;
    setReadInterest(!isReadingPaused_);
  }
  if (state_ == State::open) flush();
  if (state_ == State::open && output_.empty() && callbacks_.onSent) callbacks_.onSent();
}

void Connection::onError(const Poco::AutoPtr<Poco::Net::ErrorNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::closed) return;
  // Reads the bytes that arrived before the connection was lost, unless they are dropped.
  if (state_ == State::open && hasReadInterest_) return runInputStep([this] { receive(); });
  const auto reason = state_ == State::connecting ? CloseReason::unreachable : CloseReason::connectionLost;
  closeWith(reason, describeSocketError(socket_));
}

void Connection::closeWith(CloseReason reason, const std::string& detail) {
  if (state_ == State::closed) return;
  const auto self = weak_from_this().lock();
  close();
  if (callbacks_.onClosed) callbacks_.onClosed(reason, detail);
}

void Connection::close() {
  connectFailureTimer_.cancel();
  if (state_ != State::closed) {
    dropInterest(hasReadInterest_, readObserver_);
    dropInterest(hasWriteInterest_, writeObserver_);
    dropInterest(hasErrorInterest_, errorObserver_);
    socket_.close();
  }
  state_ = State::closed;
  output_.clear();  // the input stays, since the data callback that called close() may still read it
  if (const auto self = weak_from_this().lock()) reactor_.retire(self);
}

}  // namespace rainhook::net
