#ifndef CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_PEER_LINK_IMPL_HPP

#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/peer_link.hpp"
#include "peer_work_queue.hpp"

#include <memory>
#include <mutex>
#include <utility>

namespace chivedeal::membership {

/// State of a `peer_link`: the work queue of the running RPC thread, one for each of its runs.
class peer_link::impl
{
public:
    /// Opens a queue for a run of the RPC thread. Returns null when a stop was requested before.
    std::shared_ptr<peer_work_queue> attach()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_stopped)
            return nullptr;
        m_queue = std::make_shared<peer_work_queue>();
        return m_queue;
    }

    void detach()
    {
        std::shared_ptr<peer_work_queue> queue;
        {
            const std::lock_guard<mutex> lock(m_mutex);
            queue = std::move(m_queue);
            m_queue = nullptr;
        }
        if (queue)
            queue->close();
    }

    /// Submits work to the RPC thread. Work that is not run any more is destroyed.
    [[nodiscard]] bool post(peer_work_queue::work item)
    {
        const auto queue = get_queue();
        return queue && queue->post(std::move(item));
    }

    void stop()
    {
        {
            const std::lock_guard<mutex> lock(m_mutex);
            m_stopped = true;
        }
        if (const auto queue = get_queue())
            queue->close();
    }

private:
    std::shared_ptr<peer_work_queue> get_queue()
    {
        const std::lock_guard<mutex> lock(m_mutex);
        return m_queue;
    }

    mutex m_mutex;
    bool m_stopped = false;
    std::shared_ptr<peer_work_queue> m_queue;
};

} // namespace chivedeal::membership

#endif
