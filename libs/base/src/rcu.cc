#include "almondlink/base/rcu.h"

#include <urcu/urcu-memb.h>

namespace almondlink {

RcuThread::RcuThread() {
  urcu_memb_register_thread();
}

RcuThread::~RcuThread() {
  urcu_memb_unregister_thread();
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
