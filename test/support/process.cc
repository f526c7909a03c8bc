#include "test/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace almondlink::test {

namespace {

constexpr int kSignalBase = 128;

pid_t Spawn(const std::vector<std::string>& arguments,
            posix_spawn_file_actions_t& actions) {
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  pid_t pid = -1;
  const int status =
      posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (status != 0) {
    throw std::runtime_error("cannot start " + arguments[0]);
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
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  this->pid = Spawn(arguments, actions);
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
  if (pipe(ends.data()) != 0) {
    throw std::runtime_error("no pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
  posix_spawn_file_actions_addclose(&actions, ends[0]);
  const pid_t pid = Spawn(arguments, actions);
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
