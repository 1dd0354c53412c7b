#ifndef CHIVEDEAL_FORWARD_EVENT_QUEUE_HPP
#define CHIVEDEAL_FORWARD_EVENT_QUEUE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/wake_signal.hpp"

#include <cstddef>
#include <optional>

namespace chivedeal::forward {

/// Queue of events for one duty. Its wake signal interrupts a duty that waits on sockets.
class event_queue : public node_event_listener
{
public:
    explicit event_queue(std::size_t capacity) : m_ring(capacity) {}

    /// Blocks while the queue is full.
    void on_event(node_event event) override;

    /// Waits up to `timeout` for an event.
    std::optional<node_event> pop(absl::Duration timeout) { return m_ring.pop(timeout); }

    wake_signal& wake() { return m_wake; }

    void close();
    bool closed() const { return m_ring.closed(); }

private:
    bounded_ring<node_event> m_ring;
    wake_signal m_wake;
};

} // namespace chivedeal::forward

#endif
