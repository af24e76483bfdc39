/// @file
/// One process of the program, started from its command line, with its log in a file.
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

/// Owns one process and kills it on destruction. Not thread-safe.
class Process {
 public:
  /// Starts the program `words[0]` with the other words as its arguments and appends its output to the file
  /// `log`. `environment` contains variables of the form NAME=value that are added to the environment.
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

  /// Returns whether the process has not ended yet.
  bool isRunning() {
    if (!status_ && ::waitpid(pid_, &rawStatus_, WNOHANG) == pid_) recordEnd();
    return !status_;
  }
  void kill() {
    if (!isRunning()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &rawStatus_, 0);
    recordEnd();
  }
  void terminate() { sendSignal(SIGTERM); }
  /// Pauses the process.
  void pause() { sendSignal(SIGSTOP); }
  /// Resumes the paused process.
  void resume() { sendSignal(SIGCONT); }

  /// Waits until the process ends, at most `timeout`. Returns its exit status, -1 if a signal ended it, and
  /// no value if it is still running.
  std::optional<int> waitFor(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (isRunning() && std::chrono::steady_clock::now() < deadline)
      std::this_thread::sleep_for(pollInterval);
    return status_;
  }
  const std::string& log() const { return log_; }
  pid_t id() const { return pid_; }

 private:
  static constexpr std::chrono::milliseconds pollInterval{5};

  /// Runs in the child between fork and exec.
  static void prepareChild(const std::string& log) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends the child also if the test aborts
    ::dup2(::open("/dev/null", O_RDONLY), STDIN_FILENO);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);  // closes the inherited descriptors of the test
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
  }
  void sendSignal(int signal) {
    if (isRunning()) ::kill(pid_, signal);
  }
  void recordEnd() { status_ = WIFEXITED(rawStatus_) ? WEXITSTATUS(rawStatus_) : -1; }

  const std::string log_;
  pid_t pid_ = -1;
  int rawStatus_ = 0;  ///< set by waitpid
  std::optional<int> status_;
};

}  // namespace rainhook::fleet
