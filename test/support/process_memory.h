#ifndef ALMONDLINK_TEST_SUPPORT_PROCESS_MEMORY_H_
#define ALMONDLINK_TEST_SUPPORT_PROCESS_MEMORY_H_

#include <cstddef>

#include "test/support/process.h"

namespace almondlink::test {

/// Resident memory of a process in bytes, now and at most; 0 if it is gone.
struct ProcessMemory {
  std::size_t resident = 0;
  std::size_t peak = 0;
};

ProcessMemory MemoryOf(const Process& process);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_PROCESS_MEMORY_H_
