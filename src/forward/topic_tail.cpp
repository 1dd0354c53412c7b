#include "chivedeal/forward/topic_tail.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

absl::Duration topic_tail::on_failed_read()
{
    const double factor = std::exp2(m_failures++);
    if (m_follows)
        return std::min(m_options.longest_follower_pause, m_options.first_follower_pause * factor);
    return std::min(m_options.longest_pause, m_options.first_pause * factor);
}

bool topic_tail::on_relay(const relayed_batch& batch, absl::Time now)
{
    if (!m_next || batch.next < *m_next)
        return false;
    const bool fits = batch.begin <= *m_next && (batch.complete || batch.next == *m_next);
    if (!fits) {
        m_behind = true;
        return false;
    }
    const bool has_news = batch.next > *m_next;
    m_next = batch.next;
    m_behind = false;
    // Of two nodes that read, the one with the higher name stops.
    if (batch.sender < m_options.self) {
        m_trusted_until = now + m_options.trust;
        m_follows = true;
        m_failures = 0;
    }
    return has_news;
}

} // namespace chivedeal::forward
