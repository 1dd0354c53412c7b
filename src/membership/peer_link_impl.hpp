#ifndef CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/peer_link.hpp"

#include <kj/async.h>

#include <mutex>
#include <type_traits>
#include <utility>

namespace chivedeal::membership {

class peer_loop;

/// State of a `peer_link`. The loop pointer is used only in the RPC thread, where it is valid as
/// long as the executor runs work.
class peer_link::impl
{
    // Orders what one thread wrote before what the other reads. kj::Executor does that too, but in
    // a library that is built without the thread sanitizer, which then reports false races.
    void hand_over() { const std::lock_guard<mutex> lock(m_hand_over); }

    template<class Func>
    auto start(Func& work)
    {
        hand_over();
        if constexpr (std::is_void_v<decltype(work(*m_loop))>) {
            work(*m_loop);
            hand_over();
        }
        else {
            return work(*m_loop).then([this](auto&& value) {
                hand_over();
                return std::forward<decltype(value)>(value);
            });
        }
    }

public:
    /// Returns false when a stop was requested before.
    bool attach(peer_loop& loop, kj::PromiseFulfiller<void>& stop)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_stopped)
            return false;
        m_loop = &loop;
        m_stop = &stop;
        m_executor = kj::getCurrentThreadExecutor().addRef();
        return true;
    }

    void detach()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_executor = nullptr;
    }

    /// Whether a thread is inside `run`. The loop must not end before: libkj 0.9.2 can leave a
    /// thread waiting for ever whose work arrives while the loop goes.
    bool is_in_use()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_users > 0;
    }

    /// Runs `work` in the RPC thread and waits for it, or for the promise that it returns. Throws
    /// `kj::Exception` when there is no loop or it ends first.
    template<class Func>
    auto run(Func work)
    {
        kj::Own<const kj::Executor> executor;
        {
            const std::lock_guard<mutex> lock(m_mutex);
            if (m_executor.get() == nullptr)
                kj::throwFatalException(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__,
                                                      __LINE__, kj::str("no RPC thread runs")));
            executor = m_executor->addRef();
            ++m_users;
        }
        const auto done = kj::defer([this] {
            const std::lock_guard<mutex> lock(m_mutex);
            --m_users;
        });
        hand_over();
        const auto leave = kj::defer([this] { hand_over(); });
        return executor->executeSync([&] { return start(work); });
    }

    void stop()
    {
        {
            const std::lock_guard<mutex> lock(m_mutex);
            m_stopped = true;
        }
        try {
            run([this](peer_loop&) { m_stop->fulfill(); });
        }
        catch (const kj::Exception&) {
            // The loop ended in the meantime.
        }
    }

private:
    mutex m_mutex;
    mutex m_hand_over;
    bool m_stopped = false;
    int m_users = 0;
    kj::Own<const kj::Executor> m_executor;
    peer_loop* m_loop = nullptr;
    kj::PromiseFulfiller<void>* m_stop = nullptr;
};

} // namespace chivedeal::membership

#endif
