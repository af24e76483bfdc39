// One process of the program, started as a user starts it, its log in a file. It ends with this object, by
// its id.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rainhook::fleet {

class Process {
 public:
  // `more` is added to its environment, NAME=value each.
  Process(std::vector<std::string> words, const std::string& log, std::vector<std::string> more = {})
      : log_(log) {
    std::vector<char*> argv;
    for (auto& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also where the test is aborted
    ::dup2(::open("/dev/null", O_RDONLY), 0);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1), ::dup2(out, 2);
    ::close_range(3, ~0U, 0);  // what the test holds is not the program's
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    for (auto& variable : more) ::putenv(variable.data());
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ~Process() { kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool lives() {
    if (!status_ && ::waitpid(pid_, &raw_, WNOHANG) == pid_) ended();
    return !status_;
  }
  void kill() { endBy(SIGKILL); }
  void terminate() {
    if (lives()) ::kill(pid_, SIGTERM);
  }
  void stop() {
    if (lives()) ::kill(pid_, SIGSTOP);
  }
  void wake() {
    if (lives()) ::kill(pid_, SIGCONT);
  }
  // The status it ended with, -1 for a signal; nothing where it goes on longer.
  std::optional<int> waitFor(std::chrono::milliseconds most) {
    for (const auto end = std::chrono::steady_clock::now() + most;
         lives() && std::chrono::steady_clock::now() < end;)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return status_;
  }
  const std::string& log() const { return log_; }
  pid_t id() const { return pid_; }

 private:
  void endBy(int signal) {
    if (!lives()) return;
    ::kill(pid_, signal);
    ::waitpid(pid_, &raw_, 0);
    ended();
  }
  void ended() { status_ = WIFEXITED(raw_) ? WEXITSTATUS(raw_) : -1; }

  const std::string log_;
  pid_t pid_ = -1;
  int raw_ = 0;
  std::optional<int> status_;
};

}  // namespace rainhook::fleet
