#include "test/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace almondlink::test {

namespace {

constexpr int kSignalBase = 128;
constexpr int kCannotExecute = 127;

/// Starts a child whose output goes to `output`. It dies with this thread, so
/// that a test that is aborted leaves nothing behind.
pid_t Spawn(const std::vector<std::string>& arguments, int output) {
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("cannot start " + arguments[0]);
  }
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(words[0], words.data());
    _exit(kCannotExecute);
  }
  return pid;
}

int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  const int file =
      open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  this->pid = Spawn(arguments, file);
  close(file);
}

Process::Process(Process&& other) noexcept
    : pid(std::exchange(other.pid, -1)) {}

Process& Process::operator=(Process&& other) noexcept {
  this->Kill();
  this->pid = std::exchange(other.pid, -1);
  return *this;
}

Process::~Process() {
  this->Kill();
}

void Process::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

int Process::Wait() {
  int status = 0;
  if (this->pid > 0) {
    waitpid(this->pid, &status, 0);
    this->pid = -1;
  }
  return ExitCode(status);
}

void Process::Kill() {
  this->Signal(SIGKILL);
  this->Wait();
}

int RunCommand(const std::vector<std::string>& arguments, std::string& output) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
  const pid_t pid = Spawn(arguments, ends[1]);
  close(ends[1]);
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = read(ends[0], buffer.data(), buffer.size())) > 0) {
    output.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(ends[0]);
  int status = 0;
  waitpid(pid, &status, 0);
  return ExitCode(status);
}

}  // namespace almondlink::test
