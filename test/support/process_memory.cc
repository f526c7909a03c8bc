#include "test/support/process_memory.h"

#include <fstream>
#include <sstream>
#include <string>

namespace almondlink::test {

namespace {

constexpr std::size_t kBytesPerKb = 1024;

}  // namespace

ProcessMemory MemoryOf(const Process& process) {
  ProcessMemory memory;
  std::ifstream status("/proc/" + std::to_string(process.Id()) + "/status");
  std::string name;
  std::size_t size = 0;
  std::string line;
  while (std::getline(status, line)) {
    std::istringstream text(line);
    if (!(text >> name >> size)) {
      continue;
    }
    if (name == "VmRSS:") {
      memory.resident = size * kBytesPerKb;
    } else if (name == "VmHWM:") {
      memory.peak = size * kBytesPerKb;
    }
  }
  return memory;
}

}  // namespace almondlink::test
