#ifndef ALMONDLINK_BASE_RCU_H_
#define ALMONDLINK_BASE_RCU_H_

#include <atomic>
#include <memory>

/// Read-copy-update over liburcu (memory-barrier flavour).
namespace almondlink {

/// Registers the calling thread as a reader for as long as it lives. Every
/// thread that reads an RcuCell needs one on its stack first; several on one
/// thread are fine.
class RcuThread {
 public:
  RcuThread();
  ~RcuThread();
  RcuThread(const RcuThread&) = delete;
  RcuThread& operator=(const RcuThread&) = delete;
};

namespace rcu_internal {
void ReadLock();
void ReadUnlock();
void WaitForReaders();
}  // namespace rcu_internal

/// A pointer to an immutable T that readers take without waiting and a writer
/// replaces as a whole.
template <typename T>
class RcuCell {
 public:
  using Pointer = std::shared_ptr<const T>;

  RcuCell() : current(new Pointer()) {}
  ~RcuCell() { delete this->current.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// The current value, null before the first Replace. Wait-free; any thread
  /// that holds an RcuThread.
  Pointer Read() const {
    rcu_internal::ReadLock();
    Pointer value = *this->current.load(std::memory_order_acquire);
    rcu_internal::ReadUnlock();
    return value;
  }

  /// Publishes `next` and waits until no reader can see the old pointer. One
  /// writer at a time; never from a request's path.
  void Replace(Pointer next) {
    Pointer* old = this->current.exchange(new Pointer(std::move(next)),
                                          std::memory_order_acq_rel);
    rcu_internal::WaitForReaders();
    delete old;
  }

 private:
  std::atomic<Pointer*> current;
};

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_RCU_H_
