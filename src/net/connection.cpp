#include "net/connection.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <cstring>

namespace rainhook::net {

Connection::Connection(Reactor& reactor, BufferPool& pool, const Poco::Net::StreamSocket& socket,
                       Callbacks callbacks)
    : reactor_(reactor),
      pool_(pool),
      socket_(socket),
      callbacks_(std::move(callbacks)),
      in_(nullptr, BufferPool::Releaser{&pool}),
      out_(pool) {}

std::shared_ptr<Connection> Connection::fromAccepted(Reactor& reactor, BufferPool& pool,
                                                     const Poco::Net::StreamSocket& socket,
                                                     Callbacks callbacks) {
  std::shared_ptr<Connection> made(new Connection(reactor, pool, socket, std::move(callbacks)));
  made->start(State::open);
  return made;
}

std::shared_ptr<Connection> Connection::connectTo(const Address& address, Reactor& reactor, BufferPool& pool,
                                                  Callbacks callbacks) {
  std::shared_ptr<Connection> made(
      new Connection(reactor, pool, Poco::Net::StreamSocket(), std::move(callbacks)));
  try {
    made->socket_.connectNB(address);
    made->start(State::connecting);
  } catch (const Poco::Exception& error) {
    made->late_ = reactor.after(Reactor::Wait::zero(), [self = made.get(), why = error.displayText()] {
      self->end(CloseReason::unreachable, why);
    });
  }
  return made;
}

void Connection::start(State state) {
  state_ = state;
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  watched_ = true;  // said first: where the system refuses, POCO has entered the handler all the same
  reactor_.addEventHandler(socket_, onError_);
  if (state == State::open)
    wantReading(true);
  else
    wantWriting(true);
}

void Connection::wantReading(bool wanted) {
  if (std::exchange(reading_, wanted) == wanted) return;
  wanted ? reactor_.addEventHandler(socket_, onRead_) : reactor_.removeEventHandler(socket_, onRead_);
  if (!wanted) renewInterest();
}
void Connection::wantWriting(bool wanted) {
  if (std::exchange(writing_, wanted) == wanted) return;
  wanted ? reactor_.addEventHandler(socket_, onWrite_) : reactor_.removeEventHandler(socket_, onWrite_);
  if (!wanted) renewInterest();
}
// POCO's reactor asks the system anew when a handler is added, but not when one of several is removed:
// without this an interest that ended would ring on in every turn.
void Connection::renewInterest() {
  reactor_.removeEventHandler(socket_, onError_);
  reactor_.addEventHandler(socket_, onError_);
}

void Connection::pauseReading() {
  paused_ = true;
  if (state_ == State::open) wantReading(false);
}

void Connection::resumeReading() {
  if (!std::exchange(paused_, false) || state_ != State::open || ended_) return;
  const auto self = shared_from_this();
  wantReading(true);
  take([this] { feed(); });  // what came before the pause rings no bell
}

void Connection::readNow() {
  const auto self = shared_from_this();
  if (state_ == State::open && reading_) take([this] { read(); });
}

void Connection::discardInput() {
  discarding_ = true;
  from_ = to_ = 0;
  paused_ = false;
  if (state_ == State::open && !ended_) wantReading(true);
}

void Connection::shutdownSend() {
  const auto self = shared_from_this();
  discardInput();
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception& error) {
    end(CloseReason::connectionLost, error.displayText());
  }
}

void Connection::readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::open) take([this] { read(); });
}

void Connection::take(const std::function<void()>& reading) {
  try {
    reading();
  } catch (const Poco::Exception& error) {
    return end(CloseReason::connectionLost, error.displayText());
  } catch (const std::exception& nonsense) {  // whatever a peer's bytes may lead to ends its connection alone
    return end(CloseReason::protocolError, nonsense.what());
  }
  if (in_ && from_ == to_) in_.reset();
}

void Connection::read() {
  for (int i = 0; i < readsATurn && state_ == State::open && reading_; ++i) {
    if (!in_) in_ = pool_.acquire(), from_ = to_ = 0;
    if (to_ == BufferPool::bufferSize && from_ > 0) {
      std::memmove(in_->data(), in_->data() + from_, to_ - from_);
      to_ -= from_, from_ = 0;
    }
    const auto space = BufferPool::bufferSize - to_;
    if (space == 0) return end(CloseReason::protocolError, "a message longer than a buffer");
    const int got = socket_.receiveBytes(in_->data() + to_, static_cast<int>(space));
    if (got < 0) return;
    if (got == 0) {
      ended_ = true;
      wantReading(false);
      if (callbacks_.onHalfClosed) return callbacks_.onHalfClosed();
      return end(CloseReason::closedByPeer, "closed by the peer");
    }
    if (discarding_) {
      if (static_cast<std::size_t>(got) < space) return;
      continue;
    }
    to_ += static_cast<std::size_t>(got);
    feed();
    if (static_cast<std::size_t>(got) < space) return;
  }
}

void Connection::feed() {
  while (state_ == State::open && !paused_ && !discarding_ && from_ < to_) {
    const std::size_t used = callbacks_.onData({in_->data() + from_, to_ - from_});
    if (used == 0 || discarding_) return;
    from_ += used;
  }
}

void Connection::write(std::string_view bytes) {
  if (state_ == State::closed) return;
  out_.append(bytes);
  if (state_ == State::open && !writing_ && !flushing_) flushLater();
}

void Connection::flushLater() {
  flushing_ = true;
  reactor_.flushAtIterationEnd([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->flushing_ = false;
    if (self->state_ == State::open && !self->writing_) self->send();
  });
}

void Connection::send() {
  try {
    while (!out_.empty()) {
      const auto front = out_.front();
      const int sent = socket_.sendBytes(front.data(), static_cast<int>(front.size()));
      if (sent < 0) break;
      sentAny_ = sentAny_ || sent > 0;
      out_.consume(static_cast<std::size_t>(sent));
      if (static_cast<std::size_t>(sent) < front.size()) break;
    }
    wantWriting(!out_.empty());
  } catch (const Poco::Exception& error) {
    // POCO 1.11 throws where a socket takes no more for now; that breaks nothing.
    if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) return wantWriting(true);
    end(CloseReason::connectionLost, error.displayText());
  }
}

void Connection::writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::connecting) {
    if (const int error = socket_.impl()->socketError(); error != 0)
      return end(CloseReason::unreachable, std::strerror(error));
    state_ = State::open;
    wantReading(!paused_);
  }
  if (state_ == State::open) send();
  if (state_ == State::open && out_.empty() && callbacks_.onSent) callbacks_.onSent();
}

void Connection::failed(const Poco::AutoPtr<Poco::Net::ErrorNotification>&) {
  const auto self = shared_from_this();
  if (state_ == State::closed) return;
  // What came before the break is still read.
  if (state_ == State::open && reading_) return take([this] { read(); });
  const int error = socket_.impl()->socketError();
  end(state_ == State::connecting ? CloseReason::unreachable : CloseReason::connectionLost,
      std::strerror(error));
}

void Connection::end(CloseReason how, const std::string& why) {
  if (state_ == State::closed) return;
  const auto self = weak_from_this().lock();
  close();
  if (callbacks_.onClosed) callbacks_.onClosed(how, why);
}

void Connection::close() {
  late_.cancel();
  if (state_ != State::closed) {
    // POCO throws where the system never took the interest that it has entered; it is out of its books then.
    const auto takeBack = [this](bool& entered, const Poco::AbstractObserver& observer) {
      try {
        if (std::exchange(entered, false)) reactor_.removeEventHandler(socket_, observer);
      } catch (const Poco::Exception&) {
      }
    };
    takeBack(reading_, onRead_);
    takeBack(writing_, onWrite_);
    takeBack(watched_, onError_);
    socket_.close();
  }
  state_ = State::closed;
  out_.clear();  // what came in may still be looked at by the callback that closes
  if (const auto self = weak_from_this().lock()) reactor_.retire(self);
}

}  // namespace rainhook::net
