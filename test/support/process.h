#ifndef ALMONDLINK_TEST_SUPPORT_PROCESS_H_
#define ALMONDLINK_TEST_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace almondlink::test {

/// A child process; killed and reaped by its id when the object goes.
class Process {
 public:
  /// Starts `arguments`; its output goes to `output`.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  void Signal(int number) const;
  /// Waits for the end; the exit code, or 128 + signal.
  int Wait();
  /// SIGKILL and Wait.
  void Kill();
  bool IsRunning() const { return this->pid > 0; }
  pid_t Id() const { return this->pid; }

 private:
  pid_t pid = -1;
};

/// Runs a command to its end and returns its exit code; output is appended.
int RunCommand(const std::vector<std::string>& arguments, std::string& output);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_PROCESS_H_
