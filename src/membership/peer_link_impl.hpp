#ifndef CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/peer_link.hpp"

#include <kj/async.h>

#include <mutex>

namespace chivedeal::membership {

class peer_loop;

/// State of a `peer_link`. The loop pointer is used only in the RPC thread, where it is valid as
/// long as the executor runs work.
class peer_link::impl
{
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
        }
        return executor->executeSync([&] { return work(*m_loop); });
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
    bool m_stopped = false;
    kj::Own<const kj::Executor> m_executor;
    peer_loop* m_loop = nullptr;
    kj::PromiseFulfiller<void>* m_stop = nullptr;
};

} // namespace chivedeal::membership

#endif
