#ifndef CHIVEDEAL_FORWARD_EVENT_INBOX_HPP
#define CHIVEDEAL_FORWARD_EVENT_INBOX_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/forward/node_event.hpp"
#include "chivedeal/forward/node_event_listener.hpp"
#include "chivedeal/forward/wake_signal.hpp"

#include <cstddef>
#include <optional>

namespace chivedeal::forward {

/// The ring by which a duty gets events; also wakes a duty that sleeps on sockets.
class event_inbox : public node_event_listener
{
public:
    explicit event_inbox(std::size_t capacity) : m_ring(capacity) {}

    /// Waits for room.
    void on_event(node_event event) override;

    /// Waits at most `timeout`.
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
