#include "almondlink/base/rcu.h"

#include <urcu/urcu-memb.h>

namespace almondlink {

namespace {

/// RcuThreads alive on this thread; liburcu may be told of a thread once only.
thread_local int registrations = 0;

}  // namespace

RcuThread::RcuThread() {
  if (registrations++ == 0) {
    urcu_memb_register_thread();
  }
}

RcuThread::~RcuThread() {
  if (--registrations == 0) {
    urcu_memb_unregister_thread();
  }
}

namespace rcu_internal {

void ReadLock() {
  urcu_memb_read_lock();
}

void ReadUnlock() {
  urcu_memb_read_unlock();
}

void WaitForReaders() {
  urcu_memb_synchronize_rcu();
}

}  // namespace rcu_internal
}  // namespace almondlink
