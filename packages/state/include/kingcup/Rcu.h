/** @file Rcu.h Read-copy-update pointers for the tables on the path of a request. */
#pragma once

#include <memory>
#include <mutex>

#include <urcu-bp.h>

namespace kingcup {

/** Marks a read-side critical section; what was read inside stays valid until it ends. Must not block inside. */
class RcuReadGuard {
public:
    RcuReadGuard() { urcu_bp_read_lock(); }
    ~RcuReadGuard() { urcu_bp_read_unlock(); }
    RcuReadGuard(const RcuReadGuard&) = delete;
    RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/** Owns an immutable value that many threads read without locks and few replace. */
template <typename T>
class RcuPointer {
public:
    /** @param initial First value; must not be null. */
    explicit RcuPointer(std::unique_ptr<const T> initial)
        : current(const_cast<T*>(initial.release()))
    {
    }

    ~RcuPointer() { delete this->current; }
    RcuPointer(const RcuPointer&) = delete;
    RcuPointer& operator=(const RcuPointer&) = delete;

    /** Returns the value in force. The reference is valid while the guard lives. */
    const T& read(const RcuReadGuard&) const { return *rcu_dereference(this->current); }

    /** Publishes a new value and frees the old one after all readers have left it. Blocks for a grace period. */
    void replace(std::unique_ptr<const T> next)
    {
        std::lock_guard<std::mutex> lock(this->writerMutex);
        T* old = this->current;
        rcu_assign_pointer(this->current, const_cast<T*>(next.release()));
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    T* current; ///< Never written through; not const because liburcu's macros cannot cast a pointer to const.
    std::mutex writerMutex; ///< Serialises writers.
};

} // namespace kingcup
