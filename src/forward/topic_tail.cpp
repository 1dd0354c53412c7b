#include "chivedeal/forward/topic_tail.hpp"

#include <algorithm>
#include <cmath>

namespace chivedeal::forward {

absl::Duration topic_tail::on_failed_read()
{
    const double factor = std::exp2(m_failures++);
    if (m_is_follower)
        return std::min(m_options.max_follower_retry_delay,
                        m_options.min_follower_retry_delay * factor);
    return std::min(m_options.max_retry_delay, m_options.min_retry_delay * factor);
}

bool topic_tail::begin_epoch(std::uint64_t epoch)
{
    if (epoch <= m_epoch)
        return false;
    m_epoch = epoch;
    m_next_offset.reset();
    m_missed_records = false;
    return true;
}

bool topic_tail::on_relay(const relayed_batch& batch, absl::Time now)
{
    if (batch.epoch != m_epoch)
        return false;
    if (!m_next_offset || batch.end_offset < *m_next_offset)
        return false;
    const bool is_contiguous = batch.begin_offset <= *m_next_offset &&
                               (batch.complete || batch.end_offset == *m_next_offset);
    if (!is_contiguous) {
        m_missed_records = true;
        return false;
    }
    const bool has_news = batch.end_offset > *m_next_offset;
    m_next_offset = batch.end_offset;
    m_missed_records = false;
    // If two nodes read, the one with the higher ID stops.
    if (batch.sender < m_options.self) {
        m_relay_valid_until = now + m_options.relay_validity;
        m_is_follower = true;
        m_failures = 0;
    }
    return has_news;
}

} // namespace chivedeal::forward
