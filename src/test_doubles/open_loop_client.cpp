#include "test_doubles/open_loop_client.h"

#include <utility>

#include "codec/thrift.h"

namespace rainhook::testDoubles {

using namespace std::chrono_literals;
using codec::thrift::Type;

Caller::Caller(std::string address, std::string handler, std::chrono::milliseconds each,
               std::chrono::milliseconds budget, int number)
    : address_(std::move(address)),
      handler_(std::move(handler)),
      each_(each),
      budget_(budget),
      caller_(number) {
  thread_ = std::thread([this] { run(); });
}
Caller::~Caller() {
  over_ = true;
  if (thread_.joinable()) thread_.join();
  if (fd_ >= 0) ::close(fd_);
}

void Caller::end() {
  ending_ = true;
  if (thread_.joinable()) thread_.join();
}

std::map<std::string, Caller::Sent> Caller::history() const {
  const std::lock_guard lock(mutex_);
  return history_;
}

void Caller::broke() {
  const std::lock_guard lock(mutex_);
  for (const auto& [number, name] : open_) history_[name].broken = true;
  open_.clear(), in_.clear();
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Caller::run() {
  auto next = Clock::now();
  std::uint64_t count = 0;
  for (auto until = Clock::time_point::max(); !over_ && Clock::now() < until;) {
    if (ending_ && until == Clock::time_point::max()) until = Clock::now() + budget_ * 3 / 2;
    if (ending_ && open_.empty()) return;
    const auto now = Clock::now();
    if (!ending_ && now >= next) {
      next += each_;
      if (fd_ < 0) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = addressOf(address_);
        number_ = 0;
        if (::connect(fd_, plain(at), sizeof at) != 0) ::close(std::exchange(fd_, -1));
      }
      // The protocol allows 32 open on a connection; what is beyond is not sent, nor counted.
      if (fd_ >= 0 && open_.size() < 32) {
        char name[17];
        std::snprintf(name, sizeof name, "%04x%012llx", static_cast<unsigned>(caller_),
                      static_cast<unsigned long long>(++count));
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        const codec::thrift::Fields fields{{"method", handler_},
                                           {"rid", name},
                                           {"t0", std::to_string(millis.count())},
                                           {"peer", std::to_string(caller_)},
                                           {"acct", "acme"},
                                           {"mem", "24.5"},
                                           {"prio", "0.5000"},
                                           {"budget", std::to_string(budget_.count())}};
        {
          const std::lock_guard lock(mutex_);
          history_[name].at = now;
        }
        open_[++number_] = name;
        if (!send(fd_, codec::thrift::Writer(codec::thrift::Kind::call, "call", number_)
                           .field(1, Type::map)
                           .fields(fields)
                           .field(2, Type::text)
                           .text("body")
                           .stop()
                           .finish()))
          broke();
      }
    }
    pollfd on{fd_, POLLIN, 0};
    ::poll(&on, fd_ >= 0 ? 1 : 0, 1);
    if (fd_ < 0 || on.revents == 0) continue;
    if (!receive(fd_, in_)) broke();
    answered(in_);
  }
}

void Caller::answered(std::string& in) {
  for (auto frame = codec::thrift::readFrame(in, 1 << 20); frame;
       frame = codec::thrift::readFrame(in, 1 << 20)) {
    const auto message = codec::thrift::readMessage(frame->content);
    const std::lock_guard lock(mutex_);
    if (const auto it = open_.find(message.sequence);
        it != open_.end() && message.kind != codec::thrift::Kind::oneway) {
      Sent& sent = history_[it->second];
      ++sent.answers;
      sent.took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sent.at);
      codec::thrift::Reader(message.body).readStruct([&](std::int16_t kind, Type, codec::thrift::Reader&) {
        sent.done = message.kind == codec::thrift::Kind::reply && kind == 0;
        return false;
      });
      open_.erase(it);
    } else if (message.kind == codec::thrift::Kind::reply) {  // a second answer, or one to nobody
      ++history_["unasked"].answers;
    }
    in.erase(0, frame->size);
  }
}

}  // namespace rainhook::testDoubles
