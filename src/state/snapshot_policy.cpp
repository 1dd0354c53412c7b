#include "chivedeal/state/snapshot_policy.hpp"

#include <algorithm>

namespace chivedeal::state {

bool snapshot_policy::decide(const log_progress& progress, bool holds_lease, absl::Time now)
{
    if (m_newest_time == absl::InfinitePast() || progress.snapshots_seen != m_snapshots_seen) {
        m_newest_time = now;
        m_snapshots_seen = progress.snapshots_seen;
    }
    // A snapshot first seen at startup may already be a quarter of the retention old. With a limit
    // of another quarter, no more than half of the retention passes between snapshots.
    const bool old = now - m_newest_time >= m_options.retention / 4;
    const bool large =
        progress.record_bytes >= std::max(m_options.max_record_bytes, progress.snapshot_bytes);
    if (!holds_lease || !(old || large) || now - m_last_attempt < m_options.retry_after)
        return false;
    m_last_attempt = now;
    return true;
}

} // namespace chivedeal::state
