/// @file
/// One process of the program, started as a user starts it, with its log in a file.
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

/// Owns the process: it is killed, by its id, with this object. Not thread-safe.
class Process {
 public:
  /// Starts the program `words[0]` with the other words as its arguments; its output is appended to `log`.
  /// `environment` is added to the environment, NAME=value each.
  Process(std::vector<std::string> words, const std::string& log, std::vector<std::string> environment = {})
      : log_(log) {
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ != 0) return;
    prepareChild(log);
    for (auto& variable : environment) ::putenv(variable.data());
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  ~Process() { kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool lives() {
    if (!status_ && ::waitpid(pid_, &rawStatus_, WNOHANG) == pid_) recordEnd();
    return !status_;
  }
  void kill() {
    if (!lives()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &rawStatus_, 0);
    recordEnd();
  }
  void terminate() { sendSignal(SIGTERM); }
  void stop() { sendSignal(SIGSTOP); }
  void wake() { sendSignal(SIGCONT); }

  /// The status with which it ended, -1 for a signal; nothing where it still runs after `timeout`.
  std::optional<int> waitFor(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (lives() && std::chrono::steady_clock::now() < deadline) std::this_thread::sleep_for(pollInterval);
    return status_;
  }
  const std::string& log() const { return log_; }
  pid_t id() const { return pid_; }

 private:
  static constexpr std::chrono::milliseconds pollInterval{5};

  /// Between fork and exec.
  static void prepareChild(const std::string& log) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also where the test is aborted
    ::dup2(::open("/dev/null", O_RDONLY), STDIN_FILENO);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);  // the test's descriptors are not the program's
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
  }
  void sendSignal(int signal) {
    if (lives()) ::kill(pid_, signal);
  }
  void recordEnd() { status_ = WIFEXITED(rawStatus_) ? WEXITSTATUS(rawStatus_) : -1; }

  const std::string log_;
  pid_t pid_ = -1;
  int rawStatus_ = 0;  ///< as waitpid gives it
  std::optional<int> status_;
};

}  // namespace rainhook::fleet
