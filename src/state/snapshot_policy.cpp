#include "chivedeal/state/snapshot_policy.hpp"

#include <algorithm>

namespace chivedeal::state {

bool snapshot_policy::decide(const log_progress& progress, bool holds_lease, absl::Time now)
{
    if (m_newest == absl::InfinitePast() || progress.snapshots_seen != m_seen) {
        m_newest = now;
        m_seen = progress.snapshots_seen;
    }
    // A quarter: a snapshot that was seen on start may already be as old again, and half of the
    // retention must not pass.
    const bool old = now - m_newest >= m_options.retention / 4;
    const bool large =
        progress.record_bytes >= std::max(m_options.max_record_bytes, progress.snapshot_bytes);
    if (!holds_lease || !(old || large) || now - m_tried < m_options.retry_after)
        return false;
    m_tried = now;
    return true;
}

} // namespace chivedeal::state
