#include "chivedeal/forward/event_queue.hpp"

#include <utility>

namespace chivedeal::forward {

void event_queue::on_event(node_event event)
{
    // Fails only while the node shuts down.
    if (m_ring.push(std::move(event)))
        m_wake.raise();
}

void event_queue::close()
{
    m_ring.close();
    m_wake.raise();
}

} // namespace chivedeal::forward
