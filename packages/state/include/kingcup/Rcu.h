/** @file Rcu.h Read-copy-update pointers for the tables that are read for every request. */
#pragma once

#include <memory>
#include <mutex>

#include <urcu-bp.h>

namespace kingcup {

/** Read-side critical section of read-copy-update. Values read inside stay valid until it ends. The thread must not block inside. */
class RcuReadGuard {
public:
    RcuReadGuard() { urcu_bp_read_lock(); }
    ~RcuReadGuard() { urcu_bp_read_unlock(); }
    RcuReadGuard(const RcuReadGuard&) = delete;
    RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/** Owns an immutable value that many threads read without locks and that is rarely replaced. */
template <typename T>
class RcuPointer {
public:
    /** @param initial Must not be null. */
    explicit RcuPointer(std::unique_ptr<const T> initial)
        : current(const_cast<T*>(initial.release()))
    {
    }

    ~RcuPointer() { delete this->current; }
    RcuPointer(const RcuPointer&) = delete;
    RcuPointer& operator=(const RcuPointer&) = delete;

    /** Returns the current value. The reference is valid for the lifetime of the guard. */
    const T& read(const RcuReadGuard&) const { return *rcu_dereference(this->current); }

    /** Publishes a new value and frees the old one when no reader can hold it any more. Blocks for an RCU grace period. @param next Must not be null. */
    void replace(std::unique_ptr<const T> next)
    {
        std::lock_guard<std::mutex> lock(this->writerMutex);
        T* old = this->current;
        rcu_assign_pointer(this->current, const_cast<T*>(next.release()));
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    T* current; ///< The value is never modified through this pointer; it is not const because liburcu's macros cannot cast a pointer to const.
    std::mutex writerMutex; ///< Serialises calls of replace.
};

} // namespace kingcup
