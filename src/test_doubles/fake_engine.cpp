#include "test_doubles/fake_engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "codec/json_lines.h"

namespace rainhook::testDoubles {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// Well beyond the callers' whole time: what waits longer at its call is a run of nobody's.
constexpr auto callsWait = 5s;

}  // namespace

Engine::Engine(std::chrono::milliseconds work, bool calls, bool cold)
    : work_(work), calls_(calls), cold_(cold) {
  thread_ = std::thread([this] { run(); });
}
Engine::~Engine() {
  over_ = true;
  thread_.join();
  if (link_ >= 0) ::close(link_);
}

std::map<std::string, int> Engine::launches() const {
  const std::lock_guard lock(mutex_);
  return launches_;
}

std::vector<std::pair<Clock::duration, std::size_t>> Engine::running() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void Engine::count() {
  const std::lock_guard lock(mutex_);
  counts_.emplace_back(Clock::now() - startedAt_, running_.size());
}

void Engine::say(const std::string& line) {
  if (link_ >= 0) send(link_, line);
}

void Engine::run() {
  while (!over_) {
    if (hangs_) {  // what comes meanwhile stays in the socket, and is read once it goes on
      std::this_thread::sleep_for(1ms);
      continue;
    }
    pollfd on[2] = {{listener_.fd(), POLLIN, 0}, {link_, POLLIN, 0}};
    ::poll(on, link_ >= 0 ? 2 : 1, due_.empty() ? 10 : 1);
    if ((on[0].revents & POLLIN) != 0) {
      if (link_ >= 0) ::close(link_);
      link_ = listener_.accept(), in_.clear();
    } else if (link_ >= 0 && on[1].revents != 0) {
      if (!receive(link_, in_)) ::close(std::exchange(link_, -1));
      for (auto end = in_.find('\n'); end != std::string::npos; end = in_.find('\n')) {
        heard(in_.substr(0, end));
        in_.erase(0, end + 1);
      }
    }
    while (!due_.empty() && due_.top().at <= Clock::now()) {
      const Due due = due_.top();
      due_.pop();
      if (due.halts) {  // its request is over: what still waits at its call ends there
        const auto it = running_.find(due.name);
        if (it == running_.end() || it->second != 1) continue;
        running_.erase(it);
        count();
        say(codec::jsonLines::writeLine({{"msg", "outcome"},
                                         {"serial", ++notices_},
                                         {"call", due.name},
                                         {"how", "halted"},
                                         {"duration", work_.count()},
                                         {"blob", ""}}));
      } else if (due.ends) {
        running_.erase(due.name);
        count();
        say(codec::jsonLines::writeLine({{"msg", "outcome"},
                                         {"serial", ++notices_},
                                         {"call", due.name},
                                         {"how", "ok"},
                                         {"duration", work_.count()},
                                         {"blob", codec::jsonLines::toBase64("done")}}));
      } else if (calls_) {
        running_[due.name] = 1;
        say(codec::jsonLines::writeLine({{"msg", "request"},
                                         {"serial", ++notices_},
                                         {"call", due.name},
                                         {"blob", codec::jsonLines::toBase64("call")}}));
        due_.push({due.at + callsWait, due.name, false, true});
      } else {
        due_.push({due.at + work_ / 2, due.name, true, false});
      }
    }
  }
}

void Engine::heard(const std::string& line) {
  const auto said = json::parse(line, nullptr, false);
  if (!said.is_object()) return;
  const auto what = said.value("msg", "");
  const auto name = said.value("call", "");
  if (what == "subscribe")
    say(codec::jsonLines::writeLine(
        {{"msg", "greeting"},
         {"how", cold_ ? "cold" : "warm"},
         {"duration", std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count()}}));
  if (what == "sample")
    say(codec::jsonLines::writeLine(
        {{"msg", "sampled"},
         {"cookie", said["cookie"]},
         {"stats", {std::min(1.0, static_cast<double>(running_.size()) / 2), running_.size(), 0.1, 1}}}));
  if (what == "launch" && !running_.contains(name)) {
    running_[name] = 0;
    count();
    due_.push({Clock::now() + work_ / 2, name, false, false});
    const std::lock_guard lock(mutex_);
    ++launches_[name];
  }
  if ((what == "deliver" || what == "forgo") && running_.contains(name) && running_[name] == 1) {
    running_[name] = 2;
    due_.push({Clock::now() + work_ / 2, name, true, false});
  }
}

}  // namespace rainhook::testDoubles
