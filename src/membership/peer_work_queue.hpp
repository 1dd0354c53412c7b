#ifndef CHIVEDEAL_SRC_MEMBERSHIP_PEER_WORK_QUEUE_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_PEER_WORK_QUEUE_HPP

#include "chivedeal/core/bounded_ring.hpp"

#include <functional>
#include <optional>

namespace chivedeal::membership {

class peer_loop;

/// Work that other threads submit to the RPC thread. The ring carries it; the event descriptor
/// only wakes the event loop, which can't wait on the ring's condition variable.
class peer_work_queue
{
public:
    using work = std::function<void(peer_loop&)>;

    /// Throws `std::runtime_error` when the process has no descriptor left.
    peer_work_queue();
    ~peer_work_queue();
    peer_work_queue(const peer_work_queue&) = delete;
    peer_work_queue& operator=(const peer_work_queue&) = delete;

    /// Returns false, without keeping the work, when the ring is full or closed.
    [[nodiscard]] bool post(work item);

    /// Later posts fail; the event loop is woken.
    void close();
    bool closed() const { return m_ring.closed(); }

    /// Returns the next item without waiting.
    std::optional<work> next() { return m_ring.pop(absl::ZeroDuration()); }

    /// Non-blocking; readable after a `post` or `close`.
    int wake_descriptor() const { return m_wake; }

private:
    void wake() const;

    bounded_ring<work> m_ring;
    int m_wake;
};

} // namespace chivedeal::membership

#endif
