// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu/urcu-memb.h>

namespace cypressford {

/// Registers the calling thread with the RCU library for the lifetime of this object.
class RcuThread {
public:
    RcuThread() { urcu_memb_register_thread(); }
    ~RcuThread() { urcu_memb_unregister_thread(); }
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;
};

/// Holds one shared object that many threads read and few replace.  Readers take no lock:
/// a read-side critical section covers the copy of the pointer, which then keeps the object
/// alive for as long as the request needs it.
template <class T> class RcuCell {
public:
    RcuCell() = default;
    ~RcuCell() { delete m_holder.load(); }
    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    /// The current object, or null.  The calling thread must hold an RcuThread.
    std::shared_ptr<const T> load() const
    {
        urcu_memb_read_lock();
        const Holder* holder = m_holder.load(std::memory_order_acquire);
        std::shared_ptr<const T> value = holder ? holder->value : nullptr;
        urcu_memb_read_unlock();
        return value;
    }

    /// Replaces the object; blocks until no reader can hold the old pointer.
    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_writers);
        auto* fresh = new Holder {std::move(value)};
        const Holder* old = m_holder.exchange(fresh, std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    struct Holder {
        std::shared_ptr<const T> value;
    };
    std::atomic<const Holder*> m_holder {nullptr};
    std::mutex m_writers;
};

} // namespace cypressford
