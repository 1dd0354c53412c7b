#include "chivedeal/forward/event_inbox.hpp"

#include <utility>

namespace chivedeal::forward {

void event_inbox::on_event(node_event event)
{
    // Fails only when the node stops.
    if (m_ring.push(std::move(event)))
        m_wake.raise();
}

void event_inbox::close()
{
    m_ring.close();
    m_wake.raise();
}

} // namespace chivedeal::forward
